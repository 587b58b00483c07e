#include "KeyRefusalLog.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

TEST_CASE("key refusal log, one key refused 1,000 times in a minute, has its first line at once and one each interval, and each line counts all up to it")
{
    KeyRefusalLog log;
    const KeyRefusal refusal { "5d1c9a02", KeyDecision::Unknown, 5 };
    TimePoint now { 1h };
    std::uint64_t lines = 0;
    std::uint64_t counted = 0;
    for (unsigned request = 0; request <= 1000; ++request) {
        const auto line = log.note(refusal, now);
        REQUIRE((request > 0 || line));
        lines += line ? 1 : 0;
        counted += line ? line->requests : 0;
        CHECK((!line || counted == request + 1));
        now += 60ms;
    }
    CHECK(lines <= 1 + 60s / KeyRefusalLog::interval);
    CHECK(counted > 1000 - KeyRefusalLog::interval / 60ms);
}

TEST_CASE("key refusal log, one key with two causes, has a line for each")
{
    KeyRefusalLog log;
    const TimePoint now { 1h };
    CHECK(log.note({ "5d1c9a02", KeyDecision::Unknown, 5 }, now));
    CHECK(log.note({ "5d1c9a02", KeyDecision::Undecided, 5 }, now));
    CHECK(log.note({ "5d1c9a02", KeyDecision::Unknown, 6 }, now));
    CHECK_FALSE(log.note({ "5d1c9a02", KeyDecision::Unknown, 5 }, now));
}

TEST_CASE("key refusal log, a different key in each of 10,000 requests, has a bounded number of lines and counts those without one")
{
    KeyRefusalLog log;
    TimePoint now { 1h };
    std::size_t lines = 0;
    std::uint64_t others = 0;
    for (unsigned request = 0; request < 10000; ++request) {
        const auto line = log.note({ std::to_string(request), KeyDecision::Unknown, 5 }, now);
        lines += line ? 1 : 0;
        others += line && line->isOfSeveralKeys ? line->requests : 0;
    }
    CHECK(lines == KeyRefusalLog::maximumKeys + 1);
    CHECK(others == 1);
    now += KeyRefusalLog::interval;
    CHECK(log.note({ "new", KeyDecision::Unknown, 5 }, now).value().requests == 1);
    for (std::size_t key = 1; key < KeyRefusalLog::maximumKeys; ++key)
        CHECK(log.note({ "later " + std::to_string(key), KeyDecision::Unknown, 5 }, now));
    const auto line = log.note({ "one too many", KeyDecision::Unknown, 5 }, now);
    REQUIRE(line);
    CHECK(line->isOfSeveralKeys);
    CHECK(line->requests == 10000 - KeyRefusalLog::maximumKeys);
}
