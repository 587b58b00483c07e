#include "cicadalb/base/Cbor.h"
#include "cicadalb/base/CborRecord.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>

using namespace cicadalb;

namespace {

using Json = nlohmann::json;

Result<int> decode(const std::string& bytes)
{
    return readCbor<int>(bytes, "record", [](const Json&) { return 1; });
}

Json nestedArrays(unsigned levels)
{
    Json json = 1;
    for (unsigned i = 0; i < levels; ++i)
        json = Json::array({ std::move(json) });
    return json;
}

} // namespace

// Issue 43, second report: the library decodes CBOR recursively, so that a deeply nested record ended the process.
TEST_CASE("CBOR that is nested very deeply is refused")
{
    for (const std::string level : { "\x81", "\x9f", "\xa1\x61\x61", "\xbf\x61\x61", "\x7f", "\x5f", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff", "\xbb\xff\xff\xff\xff\xff\xff\xff\xff" }) {
        std::string bytes;
        for (unsigned i = 0; i < 300000; ++i)
            bytes += level;
        CHECK_FALSE(decode(bytes));
        CHECK_FALSE(jsonFromCbor({ bytes.begin(), bytes.end() }));
    }
}

TEST_CASE("CBOR up to the permitted depth is decoded")
{
    CHECK(decode(toCbor(nestedArrays(maximumCborDepth))));
    CHECK_FALSE(decode(toCbor(nestedArrays(maximumCborDepth + 1))));
    CHECK(decode(toCbor(Json(std::string(100000, '\x81')))));
    Json wide = Json::array();
    for (unsigned i = 0; i < 1000; ++i)
        wide.push_back({ { "list", { i, "text", nullptr, true, 1.5 } }, { "bytes", binaryValue("\x81\x81") }, { "none", Json::object() } });
    CHECK(decode(toCbor(wide)));
}

TEST_CASE("CBOR of any bytes is decoded or refused")
{
    CHECK(rc::check([] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        (void)decode(bytes);
        (void)decode(std::string(*rc::gen::inRange<std::size_t>(0, 100000), *rc::gen::arbitrary<char>()) + bytes);
    }));
}
