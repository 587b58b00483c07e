#include "cicadalb/services/ClaimBatcher.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <ostream>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t unixNow = 1000000;

/// One stored value with compare-and-swap.
struct Store {
    std::string value;
    Revision revision = 0;

    std::optional<KeyValueEntry> entry() const
    {
        return revision == 0 ? std::nullopt : std::optional<KeyValueEntry>(KeyValueEntry { "bucket", value, revision });
    }

    Result<Revision> compareAndSwap(const CompareAndSwap& swap)
    {
        if (swap.expected != revision)
            return failure(ErrorCode::Conflict, "the key does not have the expected revision");
        value = swap.value;
        return ++revision;
    }
};

enum class CallOutcome : std::uint8_t { Delivered,
    AnswerLost,
    RequestLost,
    Unavailable,
    /// The answer is lost, and the write takes effect at some later time.
    Delayed };

struct SimulatedHost {
    std::unique_ptr<ClaimBatcher> batcher;
    std::optional<ClaimAction> openCall;
    std::map<ClaimTicket, std::string> keyOfTicket;
    /// Keys of the fresh claims that this run of the host may still release, by claim ID.
    std::map<std::string, std::string> releasableClaims;
};

/// Simulated hosts that share one bucket.
struct Simulation {
    Store store;
    std::vector<SimulatedHost> simulatedHosts;
    std::vector<CompareAndSwap> delayedWrites;
    std::map<std::string, std::size_t> freshCounts;
    std::size_t resolvedCount = 0;
    std::size_t startCount = 0;
    TimePoint now = ManualClock().now();

    explicit Simulation(std::size_t hostCount)
        : simulatedHosts(hostCount)
    {
        for (std::size_t i = 0; i < hostCount; ++i)
            restart(i);
    }

    void restart(std::size_t host)
    {
        if (simulatedHosts[host].openCall && simulatedHosts[host].openCall->write)
            delayedWrites.push_back(*simulatedHosts[host].openCall->write);
        simulatedHosts[host] = SimulatedHost { std::make_unique<ClaimBatcher>("bucket", "run" + std::to_string(++startCount), ClaimSettings {}), {}, {}, {} };
    }

    void claim(std::size_t host, const std::string& key, const std::string& body)
    {
        const auto ticket = simulatedHosts[host].batcher->claim(key, body, now);
        simulatedHosts[host].keyOfTicket.emplace(ticket.value(), key);
    }

    void send(std::size_t host)
    {
        if (!simulatedHosts[host].openCall)
            simulatedHosts[host].openCall = simulatedHosts[host].batcher->next(now, unixNow);
        collectDecisions(host);
    }

    void answer(std::size_t host, CallOutcome outcome)
    {
        if (!simulatedHosts[host].openCall)
            return;
        const auto action = *std::exchange(simulatedHosts[host].openCall, std::nullopt);
        if (action.write)
            simulatedHosts[host].batcher->onWrite(writeWithOutcome(*action.write, outcome), now);
        else if (outcome == CallOutcome::Delivered)
            simulatedHosts[host].batcher->onRead(store.entry(), now);
        else
            simulatedHosts[host].batcher->onRead(failure(ErrorCode::Unavailable, "injected fault"), now);
        collectDecisions(host);
    }

    Result<Revision> writeWithOutcome(const CompareAndSwap& swap, CallOutcome outcome)
    {
        if (outcome == CallOutcome::Unavailable)
            return failure(ErrorCode::Unavailable, "injected fault");
        if (outcome == CallOutcome::Delayed)
            delayedWrites.push_back(swap);
        if (outcome == CallOutcome::Delayed || outcome == CallOutcome::RequestLost)
            return failure(ErrorCode::OutcomeUnknown, "injected fault");
        auto result = store.compareAndSwap(swap);
        if (outcome == CallOutcome::AnswerLost)
            return failure(ErrorCode::OutcomeUnknown, "injected fault");
        return result;
    }

    void applyDelayedWrite()
    {
        if (delayedWrites.empty())
            return;
        (void)store.compareAndSwap(delayedWrites.front());
        delayedWrites.erase(delayedWrites.begin());
    }

    void collectDecisions(std::size_t host)
    {
        for (const auto& resolution : simulatedHosts[host].batcher->takeResolutions()) {
            ++resolvedCount;
            if (!resolution.result || resolution.result.value().kind != ClaimKind::Fresh)
                continue;
            const auto& key = simulatedHosts[host].keyOfTicket.at(resolution.ticket);
            ++freshCounts[key];
            simulatedHosts[host].releasableClaims.emplace(resolution.result.value().claimId, key);
        }
    }

    /// Releases a fresh claim under which no request ran.
    void release(std::size_t host)
    {
        auto& fresh = simulatedHosts[host].releasableClaims;
        if (fresh.empty())
            return;
        const auto [claimId, key] = *fresh.begin();
        fresh.erase(fresh.begin());
        --freshCounts[key];
        simulatedHosts[host].batcher->release(key, claimId, now);
    }

    ClaimDecision claimAndWait(std::size_t host, const std::string& key, const std::string& body)
    {
        const auto ticket = simulatedHosts[host].batcher->claim(key, body, now);
        while (true) {
            for (const auto& resolution : simulatedHosts[host].batcher->takeResolutions()) {
                if (resolution.ticket == ticket.value())
                    return resolution.result.value();
            }
            const auto action = simulatedHosts[host].batcher->next(now, unixNow);
            if (!action)
                continue;
            if (action->write)
                simulatedHosts[host].batcher->onWrite(store.compareAndSwap(*action->write), now);
            else
                simulatedHosts[host].batcher->onRead(store.entry(), now);
        }
    }
};

enum class ActionKind : std::uint8_t { Claim,
    Send,
    Answer,
    Restart,
    ApplyDelayedWrite,
    Release };

struct HostAction {
    ActionKind kind;
    std::size_t host;
    int key;
    int body;
    CallOutcome outcome;
};

void showValue(const HostAction& action, std::ostream& stream)
{
    constexpr std::array<const char*, 6> kinds { "claim", "send", "answer", "restart", "apply-delayed-write", "release" };
    constexpr std::array<const char*, 5> outcomes { "delivered", "answer-lost", "request-lost", "unavailable", "delayed" };
    stream << kinds.at(static_cast<std::size_t>(action.kind)) << " host " << action.host << " key " << action.key << " body " << action.body << ' '
           << outcomes.at(static_cast<std::size_t>(action.outcome));
}

rc::Gen<HostAction> arbitraryHostAction(std::size_t hostCount)
{
    return rc::gen::construct<HostAction>(
        rc::gen::weightedElement<ActionKind>({ { 4, ActionKind::Claim }, { 6, ActionKind::Send }, { 6, ActionKind::Answer }, { 1, ActionKind::Restart }, { 2, ActionKind::ApplyDelayedWrite }, { 1, ActionKind::Release } }),
        rc::gen::inRange<std::size_t>(0, hostCount), rc::gen::inRange(0, 3), rc::gen::inRange(0, 2),
        rc::gen::weightedElement<CallOutcome>({ { 6, CallOutcome::Delivered }, { 2, CallOutcome::AnswerLost }, { 2, CallOutcome::RequestLost }, { 1, CallOutcome::Unavailable }, { 2, CallOutcome::Delayed } }));
}

void perform(Simulation& simulation, const HostAction& action)
{
    switch (action.kind) {
    case ActionKind::Claim:
        simulation.claim(action.host, "key" + std::to_string(action.key), "body" + std::to_string(action.body));
        return;
    case ActionKind::Send:
        simulation.send(action.host);
        return;
    case ActionKind::Answer:
        simulation.answer(action.host, action.outcome);
        return;
    case ActionKind::Restart:
        simulation.restart(action.host);
        return;
    case ActionKind::ApplyDelayedWrite:
        simulation.applyDelayedWrite();
        return;
    case ActionKind::Release:
        simulation.release(action.host);
        return;
    }
}

} // namespace

TEST_CASE("claims, three hosts with restarts, releases, lost answers, late writes and outages, each key is fresh at most once")
{
    constexpr std::size_t hostCount = 3;
    CHECK(rc::check("each key is fresh at most once", [] {
        const auto actions = *rc::gen::scale(3.0, rc::gen::container<std::vector<HostAction>>(arbitraryHostAction(hostCount)));
        Simulation simulation(hostCount);
        for (const auto& action : actions)
            perform(simulation, action);
        constexpr int drainRounds = 20;
        for (int round = 0; round < drainRounds; ++round) {
            for (std::size_t host = 0; host < hostCount; ++host) {
                simulation.send(host);
                simulation.answer(host, CallOutcome::Delivered);
            }
            simulation.applyDelayedWrite();
        }
        for (const auto& [key, count] : simulation.freshCounts)
            RC_ASSERT(count <= 1U);
        for (const auto& host : simulation.simulatedHosts)
            RC_ASSERT(host.batcher->pendingCount() == 0U);
    }));
}

TEST_CASE("claims, a key is claimed again, it is known with the same body and refused with another body")
{
    Simulation simulation(2);
    CHECK(simulation.claimAndWait(0, "key", "body").kind == ClaimKind::Fresh);
    const auto again = simulation.claimAndWait(1, "key", "body");
    CHECK(again.kind == ClaimKind::Known);
    CHECK(!again.status);
    CHECK(simulation.claimAndWait(1, "key", "other").kind == ClaimKind::BodyDiffers);
}

TEST_CASE("claims, status is recorded before another write, another host sees it")
{
    Simulation simulation(2);
    simulation.claimAndWait(0, "key", "body");
    simulation.simulatedHosts[0].batcher->recordStatus("key", 201, simulation.now);
    simulation.claimAndWait(0, "other", "body");
    CHECK(simulation.claimAndWait(1, "key", "body").status == 201U);
}

TEST_CASE("claims, status is recorded without further claims, it is written after the status write delay")
{
    Simulation simulation(2);
    simulation.claimAndWait(0, "key", "body");
    auto& batcher = *simulation.simulatedHosts[0].batcher;
    batcher.recordStatus("key", 200, simulation.now);
    CHECK(!batcher.next(simulation.now, unixNow));
    simulation.now += ClaimSettings {}.statusWriteDelay;
    const auto action = batcher.next(simulation.now, unixNow);
    REQUIRE(action);
    batcher.onWrite(simulation.store.compareAndSwap(*action->write), simulation.now);
    CHECK(simulation.claimAndWait(1, "key", "body").status == 200U);
}

TEST_CASE("claims, a claim is released because nothing ran, its key may be claimed again on any host and with another body")
{
    Simulation simulation(2);
    const auto fresh = simulation.claimAndWait(0, "key", "body");
    auto& batcher = *simulation.simulatedHosts[0].batcher;
    batcher.release("key", fresh.claimId, simulation.now);
    const auto action = batcher.next(simulation.now, unixNow);
    REQUIRE(action);
    REQUIRE(action->write);
    batcher.onWrite(simulation.store.compareAndSwap(*action->write), simulation.now);
    CHECK(simulation.claimAndWait(1, "key", "other").kind == ClaimKind::Fresh);
    CHECK(simulation.claimAndWait(0, "key", "other").kind == ClaimKind::Known);
}

TEST_CASE("claims, a claim is released twice and its key claimed again in between, the second release leaves the new claim in place")
{
    Simulation simulation(2);
    const auto fresh = simulation.claimAndWait(0, "key", "body");
    simulation.simulatedHosts[0].batcher->release("key", fresh.claimId, simulation.now);
    CHECK(simulation.claimAndWait(0, "key", "body").kind == ClaimKind::Fresh);
    simulation.simulatedHosts[0].batcher->release("key", fresh.claimId, simulation.now);
    simulation.claimAndWait(0, "unrelated", "body");
    CHECK(simulation.claimAndWait(1, "key", "body").kind == ClaimKind::Known);
}

TEST_CASE("claims, many are pending, they share one write")
{
    Simulation simulation(1);
    simulation.claimAndWait(0, "first", "body");
    const auto revision = simulation.store.revision;
    for (int i = 0; i < 100; ++i)
        simulation.claim(0, "key" + std::to_string(i), "body");
    simulation.send(0);
    simulation.answer(0, CallOutcome::Delivered);
    CHECK(simulation.store.revision == revision + 1);
    CHECK(simulation.freshCounts.size() == 100);
}

TEST_CASE("claims, write answer is lost and the next read fails, the claim fails and may be made again on the same host")
{
    Simulation simulation(1);
    simulation.claim(0, "key", "body");
    simulation.send(0);
    simulation.answer(0, CallOutcome::Delivered);
    simulation.send(0);
    simulation.answer(0, CallOutcome::AnswerLost);
    simulation.send(0);
    simulation.answer(0, CallOutcome::Unavailable);
    CHECK(simulation.resolvedCount == 1);
    CHECK(simulation.freshCounts.empty());
    CHECK(simulation.claimAndWait(0, "key", "body").kind == ClaimKind::Fresh);
}

TEST_CASE("claims, more than the maximum are pending, further ones are refused immediately")
{
    ClaimSettings settings;
    settings.maximumPendingClaims = 2;
    ClaimBatcher batcher("bucket", "writer", settings);
    const TimePoint now = ManualClock().now();
    CHECK(batcher.claim("a", "body", now));
    CHECK(batcher.claim("b", "body", now));
    CHECK(batcher.claim("c", "body", now).error().code == ErrorCode::Overloaded);
}

TEST_CASE("claim bucket, claims older than a given time are removed, none of them remains")
{
    Simulation simulation(1);
    simulation.claimAndWait(0, "old", "body");
    auto bucket = ClaimBucket::fromJson(simulation.store.value).value();
    bucket.removeClaimedBefore(unixNow + 1);
    CHECK(bucket.size() == 0);
}

TEST_CASE("claims, decided after more than half the retention, are not fresh")
{
    Simulation simulation(1);
    simulation.claim(0, "key", "body");
    simulation.send(0);
    simulation.answer(0, CallOutcome::Delivered);
    simulation.send(0);
    simulation.now += ClaimSettings {}.retention;
    simulation.answer(0, CallOutcome::Delivered);
    CHECK(simulation.resolvedCount == 1);
    CHECK(simulation.freshCounts.empty());
}
