#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/base/Event.h"
#include "cicadalb/base/Hash.h"
#include "cicadalb/base/Identifier.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

TEST_CASE("manual clock, advanced, moves by exactly the given duration")
{
    ManualClock clock;
    const auto before = clock.now();
    clock.advance(std::chrono::seconds(3));
    CHECK(clock.now() - before == std::chrono::seconds(3));
}

TEST_CASE("error, described, gives number, name, location and message")
{
    CHECK(describe(Error { ErrorCode::ValueInvalid, "must be positive", "host.toml: threads" })
        == "error 104 value-invalid at host.toml: threads: must be positive");
}

TEST_CASE("HMAC-SHA-256, input of RFC 4231 test case 2, matches the published value")
{
    CHECK(hmacHex("Jefe", "what do ya want for nothing?") == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("event catalogue, read in order, event numbers increase")
{
    const auto& catalogue = eventCatalogue();
    for (std::size_t i = 1; i < catalogue.size(); ++i)
        CHECK(catalogue[i - 1].event < catalogue[i].event);
}
