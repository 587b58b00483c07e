#include "MirrorMessages.h"
#include "StandbyCandidacy.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

struct StandbyCandidacyFixture {
    ManualClock clock;
    TimePoint startedAt = clock.now();
    StandbyCandidacy standby { 1s, startedAt };

    TimePoint at(Duration time) const { return startedAt + time; }
};

} // namespace

TEST_CASE_METHOD(StandbyCandidacyFixture, "standby, process just started, leaves the lease to candidates that start as well")
{
    CHECK_FALSE(standby.shouldWatch(at(StandbyCandidacy::startupDelay - 1ms)));
    CHECK_FALSE(standby.mayRequest(startedAt, at(StandbyCandidacy::startupDelay - 1ms)));
    CHECK(standby.shouldWatch(at(StandbyCandidacy::startupDelay)));
}

TEST_CASE_METHOD(StandbyCandidacyFixture, "standby, candidate reachable, neither watches nor requests the lease")
{
    standby.observe(true, at(1s));
    CHECK_FALSE(standby.shouldWatch(at(60s)));
    CHECK_FALSE(standby.mayRequest(startedAt, at(60s)));
}

TEST_CASE_METHOD(StandbyCandidacyFixture, "standby, candidate no longer reachable, watches after the delay and requests a lease that has been vacant for long enough")
{
    standby.observe(true, at(1s));
    standby.observe(false, at(10s));
    standby.observe(false, at(10200ms));
    CHECK_FALSE(standby.shouldWatch(at(10399ms)));
    CHECK(standby.shouldWatch(at(10400ms)));
    CHECK_FALSE(standby.mayRequest(std::nullopt, at(20s)));
    CHECK_FALSE(standby.mayRequest(at(19001ms), at(20s)));
    CHECK(standby.mayRequest(at(19s), at(20s)));
}

TEST_CASE_METHOD(StandbyCandidacyFixture, "standby, candidate reachable for a moment only, keeps coordination")
{
    standby.observe(true, at(10s));
    CHECK_FALSE(standby.shouldGiveBack(at(11999ms)));
    standby.observe(false, at(11999ms));
    standby.observe(true, at(12s));
    CHECK_FALSE(standby.shouldGiveBack(at(13999ms)));
    CHECK(standby.shouldGiveBack(at(14s)));
}

TEST_CASE("standby delay, hosts of different memory, is shorter for larger hosts and longer than a candidate needs")
{
    CHECK(StandbyCandidacy::vacancyDelay(512, 0) < StandbyCandidacy::vacancyDelay(260, 0));
    CHECK(StandbyCandidacy::vacancyDelay(260, 0) < StandbyCandidacy::vacancyDelay(120, 0));
    CHECK(StandbyCandidacy::vacancyDelay(1, 99) == StandbyCandidacy::vacancyDelay(128, 99));
    CHECK(StandbyCandidacy::vacancyDelay(0, 0) == StandbyCandidacy::vacancyDelay(4096, 0));
    CHECK(StandbyCandidacy::vacancyDelay(4096, 0) >= 900ms);
    CHECK(StandbyCandidacy::vacancyDelay(1, 99) < 1600ms);
}

TEST_CASE("mirror reply, of a process that does not request the lease, says so, and one of an earlier build counts as a candidate's")
{
    MirrorReply reply;
    reply.coordination.isCandidate = false;
    const auto text = encodeMirrorReply(reply);
    CHECK_FALSE(decodeMirrorReply(text).value().coordination.isCandidate);
    auto json = nlohmann::json::from_cbor(text);
    json.erase("candidate");
    const auto earlier = nlohmann::json::to_cbor(json);
    CHECK(decodeMirrorReply(std::string(earlier.begin(), earlier.end())).value().coordination.isCandidate);
}
