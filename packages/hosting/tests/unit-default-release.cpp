#include "DefaultRelease.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const SoftwareRelease r1 { PoolName("draft"), SoftwareVersion("r1") };
const SoftwareRelease r2 { PoolName("draft"), SoftwareVersion("r2") };

struct DefaultReleaseFixture {
    DefaultReleaseInput input;

    /// The default release after the next decision, as "VERSION" or "VERSION retired"; "none" if there is none.
    std::string decide()
    {
        if (const auto next = nextDefaultRelease(input))
            input.stored = next;
        if (!input.stored)
            return "none";
        return input.stored->release.version.value() + (input.stored->isRetired ? " retired" : "");
    }
};

} // namespace

TEST_CASE_METHOD(DefaultReleaseFixture, "default release, no targets registered, stays as it is")
{
    CHECK(decide() == "none");
    input.stored = DefaultRelease { r1, false };
    CHECK(decide() == "r1");
}

TEST_CASE_METHOD(DefaultReleaseFixture, "default release, first of all routes, is that of most targets")
{
    input.registered = { r1, r2, r2 };
    CHECK(decide() == "r2");
}

TEST_CASE_METHOD(DefaultReleaseFixture, "default release, route that may have streams already, is unknown until they have ended")
{
    input.registered = { r1 };
    input.mayHaveStreams = true;
    CHECK(decide() == " retired");
    input.retiredFor = longestStream - 1ms;
    CHECK(decide() == " retired");
    input.retiredFor = longestStream;
    CHECK(decide() == "r1");
}

TEST_CASE_METHOD(DefaultReleaseFixture, "default release, other software is added, stays while a target runs it")
{
    input.registered = { r1 };
    CHECK(decide() == "r1");
    input.registered = { r2, r2, r2, r1 };
    CHECK(decide() == "r1");
}

TEST_CASE_METHOD(DefaultReleaseFixture, "default release, no target runs it any more, is replaced only after the longest stream")
{
    input.stored = DefaultRelease { r1, false };
    input.registered = { r2 };
    CHECK(decide() == "r1 retired");
    input.retiredFor = longestStream - 1ms;
    CHECK(decide() == "r1 retired");
    input.retiredFor = longestStream;
    CHECK(decide() == "r2");
}

TEST_CASE_METHOD(DefaultReleaseFixture, "default release, its software returns while it is retired, is in use again")
{
    input.stored = DefaultRelease { r1, true };
    input.registered = { r1, r2 };
    input.retiredFor = longestStream;
    CHECK(decide() == "r1");
}

TEST_CASE_METHOD(DefaultReleaseFixture, "default release, route moves to another pool, is replaced like that of software that is gone")
{
    input.stored = DefaultRelease { r1, false };
    input.registered = { { PoolName("other"), SoftwareVersion("r1") } };
    CHECK(decide() == "r1 retired");
    input.retiredFor = longestStream;
    decide();
    CHECK(input.stored->release.pool == PoolName("other"));
}

TEST_CASE("default release record, encoded and decoded, is the same")
{
    const auto record = decodeDefaultRelease(encodeDefaultRelease({ r1, true }));
    REQUIRE(record.has_value());
    CHECK(record.value().release.isCompatibleWith(r1));
    CHECK(record.value().isRetired);
    CHECK_FALSE(decodeDefaultRelease("no record").has_value());
    CHECK_FALSE(decodeDefaultRelease(encodeStreamRelease(r1)).has_value());
    const auto stream = decodeStreamRelease(encodeStreamRelease(r2));
    REQUIRE(stream.has_value());
    CHECK(stream.value().isCompatibleWith(r2));
}

TEST_CASE("stream key, attempt with a very long id, fits the store")
{
    constexpr std::size_t longestKey = 200;
    CHECK(streamKey(RequestId(std::string(1000, 'a'))).size() <= longestKey);
    CHECK(streamKey(RequestId(std::string(1000, 'a'))) != streamKey(RequestId(std::string(1001, 'a'))));
    CHECK(defaultReleaseKey(RouteName(std::string(1000, 'a'))).size() <= longestKey);
}
