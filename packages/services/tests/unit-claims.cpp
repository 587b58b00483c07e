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

/// One value with compare-and-swap.
struct Store {
    std::string value;
    Revision revision = 0;

    std::optional<KeyValueEntry> entry() const
    {
        return revision == 0 ? std::nullopt : std::optional<KeyValueEntry>(KeyValueEntry { "bucket", value, revision });
    }

    Result<Revision> apply(const CompareAndSwap& swap)
    {
        if (swap.expected != revision)
            return failure(ErrorCode::Conflict, "the revision differs");
        value = swap.value;
        return ++revision;
    }
};

enum class Answer : std::uint8_t { Given,
    Lost,
    RequestLost,
    Unavailable,
    /// The request is told as lost and takes effect at some later time.
    Delayed };

struct Writer {
    std::unique_ptr<ClaimBatcher> batcher;
    std::optional<ClaimAction> open;
    std::map<ClaimTicket, std::string> tickets;
    /// Fresh claims that this life may still release, by their marks.
    std::map<std::string, std::string> freshKeys;
};

/// Hosts that share one bucket.
struct Fleet {
    Store store;
    std::vector<Writer> writers;
    std::vector<CompareAndSwap> delayed;
    std::map<std::string, std::size_t> freshOf;
    std::size_t resolved = 0;
    std::size_t lives = 0;
    TimePoint now = ManualClock().now();

    explicit Fleet(std::size_t hosts)
        : writers(hosts)
    {
        for (std::size_t i = 0; i < hosts; ++i)
            restart(i);
    }

    void restart(std::size_t host)
    {
        if (writers[host].open && writers[host].open->write)
            delayed.push_back(*writers[host].open->write);
        writers[host] = Writer { std::make_unique<ClaimBatcher>("bucket", "life" + std::to_string(++lives), ClaimSettings {}), {}, {}, {} };
    }

    void claim(std::size_t host, const std::string& key, const std::string& body)
    {
        const auto ticket = writers[host].batcher->claim(key, body, now);
        writers[host].tickets.emplace(ticket.value(), key);
    }

    void send(std::size_t host)
    {
        if (!writers[host].open)
            writers[host].open = writers[host].batcher->next(now, unixNow);
        collect(host);
    }

    void answer(std::size_t host, Answer answer)
    {
        if (!writers[host].open)
            return;
        const auto action = *std::exchange(writers[host].open, std::nullopt);
        if (action.write)
            writers[host].batcher->onWrite(writeWith(*action.write, answer), now);
        else if (answer == Answer::Given)
            writers[host].batcher->onRead(store.entry(), now);
        else
            writers[host].batcher->onRead(failure(ErrorCode::Unavailable, "fault"), now);
        collect(host);
    }

    Result<Revision> writeWith(const CompareAndSwap& swap, Answer answer)
    {
        if (answer == Answer::Unavailable)
            return failure(ErrorCode::Unavailable, "fault");
        if (answer == Answer::Delayed)
            delayed.push_back(swap);
        if (answer == Answer::Delayed || answer == Answer::RequestLost)
            return failure(ErrorCode::OutcomeUnknown, "fault");
        auto result = store.apply(swap);
        if (answer == Answer::Lost)
            return failure(ErrorCode::OutcomeUnknown, "fault");
        return result;
    }

    void arriveLate()
    {
        if (delayed.empty())
            return;
        (void)store.apply(delayed.front());
        delayed.erase(delayed.begin());
    }

    void collect(std::size_t host)
    {
        for (const auto& resolution : writers[host].batcher->takeResolutions()) {
            ++resolved;
            if (!resolution.result || resolution.result.value().kind != ClaimKind::Fresh)
                continue;
            const auto& key = writers[host].tickets.at(resolution.ticket);
            ++freshOf[key];
            writers[host].freshKeys.emplace(resolution.result.value().mark, key);
        }
    }

    /// Gives back a fresh claim under which nothing ran.
    void release(std::size_t host)
    {
        auto& fresh = writers[host].freshKeys;
        if (fresh.empty())
            return;
        const auto [mark, key] = *fresh.begin();
        fresh.erase(fresh.begin());
        --freshOf[key];
        writers[host].batcher->release(key, mark, now);
    }

    ClaimDecision decide(std::size_t host, const std::string& key, const std::string& body)
    {
        const auto ticket = writers[host].batcher->claim(key, body, now);
        while (true) {
            for (const auto& resolution : writers[host].batcher->takeResolutions()) {
                if (resolution.ticket == ticket.value())
                    return resolution.result.value();
            }
            const auto action = writers[host].batcher->next(now, unixNow);
            if (!action)
                continue;
            if (action->write)
                writers[host].batcher->onWrite(store.apply(*action->write), now);
            else
                writers[host].batcher->onRead(store.entry(), now);
        }
    }
};

enum class Move : std::uint8_t { Claim,
    Send,
    Reply,
    Crash,
    ArriveLate,
    Release };

struct Step {
    Move move;
    std::size_t host;
    int key;
    int body;
    Answer answer;
};

void showValue(const Step& step, std::ostream& stream)
{
    constexpr std::array<const char*, 6> moves { "claim", "send", "reply", "crash", "arrive-late", "release" };
    constexpr std::array<const char*, 5> answers { "given", "lost", "request-lost", "unavailable", "delayed" };
    stream << moves.at(static_cast<std::size_t>(step.move)) << " host " << step.host << " key " << step.key << " body " << step.body << ' '
           << answers.at(static_cast<std::size_t>(step.answer));
}

rc::Gen<Step> anyStep(std::size_t hosts)
{
    return rc::gen::construct<Step>(
        rc::gen::weightedElement<Move>({ { 4, Move::Claim }, { 6, Move::Send }, { 6, Move::Reply }, { 1, Move::Crash }, { 2, Move::ArriveLate }, { 1, Move::Release } }),
        rc::gen::inRange<std::size_t>(0, hosts), rc::gen::inRange(0, 3), rc::gen::inRange(0, 2),
        rc::gen::weightedElement<Answer>({ { 6, Answer::Given }, { 2, Answer::Lost }, { 2, Answer::RequestLost }, { 1, Answer::Unavailable }, { 2, Answer::Delayed } }));
}

void run(Fleet& fleet, const Step& step)
{
    switch (step.move) {
    case Move::Claim:
        fleet.claim(step.host, "key" + std::to_string(step.key), "body" + std::to_string(step.body));
        return;
    case Move::Send:
        fleet.send(step.host);
        return;
    case Move::Reply:
        fleet.answer(step.host, step.answer);
        return;
    case Move::Crash:
        fleet.restart(step.host);
        return;
    case Move::ArriveLate:
        fleet.arriveLate();
        return;
    case Move::Release:
        fleet.release(step.host);
        return;
    }
}

} // namespace

TEST_CASE("claims, three hosts with crashes, releases, lost and late answers and outages, are fresh at most once for each key")
{
    constexpr std::size_t hosts = 3;
    CHECK(rc::check("at most one fresh", [] {
        const auto steps = *rc::gen::scale(3.0, rc::gen::container<std::vector<Step>>(anyStep(hosts)));
        Fleet fleet(hosts);
        for (const auto& step : steps)
            run(fleet, step);
        constexpr int drainRounds = 20;
        for (int round = 0; round < drainRounds; ++round) {
            for (std::size_t host = 0; host < hosts; ++host) {
                fleet.send(host);
                fleet.answer(host, Answer::Given);
            }
            fleet.arriveLate();
        }
        for (const auto& [key, count] : fleet.freshOf)
            RC_ASSERT(count <= 1U);
        for (const auto& writer : fleet.writers)
            RC_ASSERT(writer.batcher->waiting() == 0U);
    }));
}

TEST_CASE("claims, the same key again, are known and other bodies are refused")
{
    Fleet fleet(2);
    CHECK(fleet.decide(0, "key", "body").kind == ClaimKind::Fresh);
    const auto again = fleet.decide(1, "key", "body");
    CHECK(again.kind == ClaimKind::Known);
    CHECK(!again.status);
    CHECK(fleet.decide(1, "key", "other").kind == ClaimKind::BodyDiffers);
}

TEST_CASE("claims, a finished request, are known with its status on another host")
{
    Fleet fleet(2);
    fleet.decide(0, "key", "body");
    fleet.writers[0].batcher->finish("key", 201, fleet.now);
    fleet.decide(0, "other", "body");
    CHECK(fleet.decide(1, "key", "body").status == 201U);
}

TEST_CASE("claims, a finish without further claims, is written after its delay")
{
    Fleet fleet(2);
    fleet.decide(0, "key", "body");
    auto& batcher = *fleet.writers[0].batcher;
    batcher.finish("key", 200, fleet.now);
    CHECK(!batcher.next(fleet.now, unixNow));
    fleet.now += ClaimSettings {}.finishDelay;
    const auto action = batcher.next(fleet.now, unixNow);
    REQUIRE(action);
    batcher.onWrite(fleet.store.apply(*action->write), fleet.now);
    CHECK(fleet.decide(1, "key", "body").status == 200U);
}

TEST_CASE("claims, released since nothing ran, may be claimed anew on any host and by another body")
{
    Fleet fleet(2);
    const auto fresh = fleet.decide(0, "key", "body");
    auto& batcher = *fleet.writers[0].batcher;
    batcher.release("key", fresh.mark, fleet.now);
    const auto action = batcher.next(fleet.now, unixNow);
    REQUIRE(action);
    REQUIRE(action->write);
    batcher.onWrite(fleet.store.apply(*action->write), fleet.now);
    CHECK(fleet.decide(1, "key", "other").kind == ClaimKind::Fresh);
    CHECK(fleet.decide(0, "key", "other").kind == ClaimKind::Known);
}

TEST_CASE("claims, released after another host claimed anew, leave that claim in force")
{
    Fleet fleet(2);
    const auto fresh = fleet.decide(0, "key", "body");
    fleet.writers[0].batcher->release("key", fresh.mark, fleet.now);
    CHECK(fleet.decide(0, "key", "body").kind == ClaimKind::Fresh);
    fleet.writers[0].batcher->release("key", fresh.mark, fleet.now);
    fleet.decide(0, "unrelated", "body");
    CHECK(fleet.decide(1, "key", "body").kind == ClaimKind::Known);
}

TEST_CASE("claims, many waiting, share one write")
{
    Fleet fleet(1);
    fleet.decide(0, "first", "body");
    const auto revision = fleet.store.revision;
    for (int i = 0; i < 100; ++i)
        fleet.claim(0, "key" + std::to_string(i), "body");
    fleet.send(0);
    fleet.answer(0, Answer::Given);
    CHECK(fleet.store.revision == revision + 1);
    CHECK(fleet.freshOf.size() == 100);
}

TEST_CASE("claims, an outage, are refused as not run and may be claimed anew on the same host")
{
    Fleet fleet(1);
    fleet.claim(0, "key", "body");
    fleet.send(0);
    fleet.answer(0, Answer::Given);
    fleet.send(0);
    fleet.answer(0, Answer::Lost);
    fleet.send(0);
    fleet.answer(0, Answer::Unavailable);
    CHECK(fleet.resolved == 1);
    CHECK(fleet.freshOf.empty());
    CHECK(fleet.decide(0, "key", "body").kind == ClaimKind::Fresh);
}

TEST_CASE("claims, more than may wait, are refused at once")
{
    ClaimSettings settings;
    settings.maximumWaiting = 2;
    ClaimBatcher batcher("bucket", "writer", settings);
    const TimePoint now = ManualClock().now();
    CHECK(batcher.claim("a", "body", now));
    CHECK(batcher.claim("b", "body", now));
    CHECK(batcher.claim("c", "body", now).error().code == ErrorCode::Overloaded);
}

TEST_CASE("claims, older than the retention, are dropped with the next write")
{
    Fleet fleet(1);
    fleet.decide(0, "old", "body");
    auto bucket = ClaimBucket::fromJson(fleet.store.value).value();
    bucket.dropBefore(unixNow + 1);
    CHECK(bucket.size() == 0);
}

TEST_CASE("claims, decided only after a pause of half the retention, are not fresh")
{
    Fleet fleet(1);
    fleet.claim(0, "key", "body");
    fleet.send(0);
    fleet.answer(0, Answer::Given);
    fleet.send(0);
    fleet.now += ClaimSettings {}.retention;
    fleet.answer(0, Answer::Given);
    CHECK(fleet.resolved == 1);
    CHECK(fleet.freshOf.empty());
}
