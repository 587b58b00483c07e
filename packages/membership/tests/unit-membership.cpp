#include "cicadalb/membership/FakeFleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <ostream>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// Time within which the views of all hosts agree again.
constexpr std::chrono::milliseconds convergenceTime { 5000 };

struct EightHostsFixture {
    FakeFleet fleet { 8, 1 };

    EightHostsFixture()
    {
        fleet.startAll();
        fleet.advance(3000ms);
        REQUIRE(fleet.hasConverged());
    }

    MemberState stateAt(std::size_t viewer, std::size_t of) const { return fleet.at(viewer).find(FakeFleet::idOf(of))->state; }
};

enum class Fault : std::uint8_t { Kill,
    Restart,
    Freeze,
    Resume,
    Leave,
    CutOneWay,
    Heal,
    LoseDatagrams,
    Split };

struct FaultStep {
    Fault fault;
    std::size_t host;
    std::size_t other;
    std::chrono::milliseconds delayAfter;
};

void showValue(const FaultStep& step, std::ostream& stream)
{
    constexpr std::array<const char*, 9> names { "kill", "restart", "freeze", "resume", "leave", "cut", "heal", "lose", "split" };
    stream << names.at(static_cast<std::size_t>(step.fault)) << ' ' << step.host << ' ' << step.other << " then " << step.delayAfter.count() << " ms";
}

/// The view that every running host has of all hosts.
std::string viewsOf(const FakeFleet& fleet)
{
    std::string text;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        text += "\n" + FakeFleet::idOf(i).value() + (fleet.isRunning(i) ? ":" : " is not running");
        if (!fleet.isRunning(i))
            continue;
        for (const auto& member : fleet.at(i).members())
            text += " " + member.id.value() + "@" + std::to_string(member.incarnation) + "=" + std::string(name(member.state));
    }
    return text;
}

void apply(FakeFleet& fleet, const FaultStep& step)
{
    switch (step.fault) {
    case Fault::Kill:
        fleet.kill(step.host);
        return;
    case Fault::Restart:
        fleet.start(step.host);
        return;
    case Fault::Freeze:
        fleet.freeze(step.host);
        return;
    case Fault::Resume:
        fleet.resume(step.host);
        return;
    case Fault::Leave:
        if (fleet.isRunning(step.host) && !fleet.isFrozen(step.host))
            fleet.at(step.host).leave(fleet.now());
        fleet.advance(100ms);
        fleet.kill(step.host);
        return;
    case Fault::CutOneWay:
        fleet.cut(step.host, step.other);
        return;
    case Fault::Heal:
        fleet.healAll();
        fleet.merge();
        fleet.lossRate = 0;
        return;
    case Fault::LoseDatagrams:
        fleet.lossRate = 0.3;
        return;
    case Fault::Split:
        fleet.split(step.other);
        return;
    }
}

rc::Gen<FaultStep> anyStep(std::size_t hosts)
{
    return rc::gen::construct<FaultStep>(
        rc::gen::element(Fault::Kill, Fault::Restart, Fault::Freeze, Fault::Resume, Fault::Leave, Fault::CutOneWay, Fault::Heal, Fault::LoseDatagrams, Fault::Split),
        rc::gen::inRange<std::size_t>(0, hosts), rc::gen::inRange<std::size_t>(0, hosts),
        rc::gen::element(50ms, 400ms, 1200ms, 2500ms, 7000ms));
}

} // namespace

TEST_CASE_METHOD(EightHostsFixture, "membership, with a host killed, marks it lost on all hosts within five seconds")
{
    fleet.kill(5);
    fleet.advance(convergenceTime);
    CHECK(fleet.hasConverged());
    CHECK(stateAt(0, 5) == MemberState::Lost);
}

TEST_CASE_METHOD(EightHostsFixture, "membership, with a leaving host, marks it left without a suspicion")
{
    fleet.at(5).leave(fleet.now());
    fleet.advance(500ms);
    fleet.kill(5);
    CHECK(fleet.hasConverged());
    CHECK(stateAt(0, 5) == MemberState::Left);
}

TEST_CASE_METHOD(EightHostsFixture, "membership, with a host restarted at the same address, accepts its higher incarnation")
{
    const auto before = fleet.at(5).self().incarnation;
    fleet.kill(5);
    fleet.advance(300ms);
    fleet.start(5);
    fleet.advance(convergenceTime);
    CHECK(fleet.hasConverged());
    CHECK(fleet.at(0).find(FakeFleet::idOf(5))->incarnation > before);
}

TEST_CASE_METHOD(EightHostsFixture, "membership, with links cut in one direction, keeps all hosts present")
{
    const auto versionBefore = fleet.at(0).version();
    fleet.cut(2, 3);
    fleet.cut(4, 2);
    fleet.advance(30000ms);
    CHECK(fleet.hasConverged());
    CHECK(fleet.at(0).version() == versionBefore);
}

TEST_CASE_METHOD(EightHostsFixture, "membership, with a host frozen until lost and then resumed, takes it back")
{
    fleet.freeze(6);
    fleet.advance(10000ms);
    CHECK(stateAt(0, 6) == MemberState::Lost);
    fleet.resume(6);
    fleet.advance(convergenceTime);
    CHECK(fleet.hasConverged());
}

TEST_CASE_METHOD(EightHostsFixture, "membership, with a tenth of all datagrams lost, loses no host")
{
    const auto versionBefore = fleet.at(0).version();
    fleet.lossRate = 0.1;
    fleet.advance(60000ms);
    CHECK(fleet.at(0).presentCount() == fleet.size());
    CHECK(fleet.at(0).version() == versionBefore);
}

TEST_CASE_METHOD(EightHostsFixture, "membership, with a host that receives nothing, keeps the other hosts present without refutations")
{
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.cut(i, 0);
    fleet.cut(0, 1);
    fleet.advance(10000ms);
    for (std::size_t i = 1; i < fleet.size(); ++i) {
        CHECK(fleet.at(i).presentCount() == fleet.size() - 1);
        CHECK(fleet.at(i).counters().refutations == 0);
    }
    fleet.healAll();
    fleet.advance(convergenceTime);
    CHECK(fleet.hasConverged());
}

TEST_CASE_METHOD(EightHostsFixture, "membership, with all other hosts killed, loses them and finds them again through its seeds")
{
    for (std::size_t i = 1; i < fleet.size(); ++i)
        fleet.kill(i);
    fleet.advance(convergenceTime);
    CHECK(fleet.at(0).presentCount() == 1);
    fleet.start(0);
    fleet.advance(convergenceTime);
    for (std::size_t i = 1; i < fleet.size(); ++i)
        fleet.start(i);
    fleet.advance(convergenceTime);
    CHECK(fleet.hasConverged());
}

TEST_CASE("membership, after any sequence of faults, converges within five seconds")
{
    constexpr std::size_t hosts = 6;
    CHECK(rc::check("views agree", [] {
        const auto steps = *rc::gen::container<std::vector<FaultStep>>(anyStep(hosts));
        FakeFleet fleet(hosts, *rc::gen::arbitrary<std::uint64_t>());
        fleet.startAll();
        for (const auto& step : steps) {
            apply(fleet, step);
            fleet.advance(step.delayAfter);
        }
        apply(fleet, FaultStep { Fault::Heal, 0, 0, 0ms });
        for (std::size_t i = 0; i < hosts; ++i) {
            if (fleet.isFrozen(i))
                fleet.resume(i);
        }
        fleet.advanceUntil(convergenceTime, [&] { return fleet.hasConverged(); });
        RC_LOG(viewsOf(fleet));
        RC_ASSERT(fleet.hasConverged());
    }));
}

TEST_CASE("membership, partitioned for a minute, converges within five seconds in each part and after the merge")
{
    FakeFleet fleet(40, 3, 4);
    fleet.startAll();
    fleet.advance(5000ms);
    REQUIRE(fleet.hasConverged());
    fleet.split(10);
    fleet.advance(convergenceTime);
    CHECK(fleet.at(0).presentCount() == 10);
    CHECK(fleet.at(39).presentCount() == 30);
    fleet.advance(55000ms);
    fleet.merge();
    fleet.advance(convergenceTime);
    CHECK(fleet.hasConverged());
}

TEST_CASE("membership message, from any payload, is decoded or rejected as invalid")
{
    CHECK(rc::check("decode", [](const std::vector<std::uint8_t>& payload) {
        const auto decoded = decodeMembershipMessage(payload);
        const bool isDecodedOrRejected = decoded || decoded.error().code == ErrorCode::DatagramInvalid;
        RC_ASSERT(isDecodedOrRejected);
    }));
}

TEST_CASE("membership message, with one byte changed or the end cut off, is decoded or rejected as invalid")
{
    MembershipMessage message;
    message.kind = MembershipMessageKind::SyncRequest;
    message.sender = HostId("a");
    message.bucketDigests.assign(digestBucketCount, 70000);
    message.updates.push_back(MemberUpdate { HostId("c"), 5, MemberState::Alive, 0ms, MemberDetails { FailureDomain("d"), 0.5, "10.0.0.3", 1, 2, 3 } });
    const auto whole = encode(message);
    CHECK(rc::check("changed", [&] {
        auto payload = whole;
        payload.at(*rc::gen::inRange<std::size_t>(0, whole.size())) = *rc::gen::arbitrary<std::uint8_t>();
        payload.resize(*rc::gen::element(whole.size(), *rc::gen::inRange<std::size_t>(0, whole.size())));
        const auto decoded = decodeMembershipMessage(payload);
        const bool isDecodedOrRejected = decoded || decoded.error().code == ErrorCode::DatagramInvalid;
        RC_ASSERT(isDecodedOrRejected);
    }));
}

TEST_CASE("membership message, with a length beyond the size of any container, is rejected")
{
    const std::vector<std::uint8_t> payload { 187, 4, 0, 0, 0, 0, 0, 0, 0 };
    CHECK(!decodeMembershipMessage(payload));
}

TEST_CASE("membership message, encoded and decoded, keeps its updates")
{
    MembershipMessage message;
    message.kind = MembershipMessageKind::PingRequest;
    message.sender = HostId("a");
    message.pingAddress = "10.0.0.2";
    message.pingPort = 9;
    message.updates.push_back(MemberUpdate { HostId("b"), 4, MemberState::Suspect, 70ms, {} });
    message.updates.push_back(MemberUpdate { HostId("c"), 5, MemberState::Alive, 0ms, MemberDetails { FailureDomain("d"), 0.5, "10.0.0.3", 1, 2, 3 } });
    const auto payload = encode(message);
    const auto decoded = decodeMembershipMessage(payload);
    REQUIRE(decoded);
    CHECK(decoded.value().pingPort == 9);
    CHECK(decoded.value().updates.at(0).age == 70ms);
    CHECK(decoded.value().updates.at(1).details == message.updates.at(1).details);
}
