#include "EngineProtocol.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

namespace {

struct ReaderFixture {
    GenerationReader reader;
    bool takeAll(const std::vector<std::string>& parts)
    {
        bool isReadable = true;
        for (const auto& part : parts)
            isReadable = isReadable && reader.take(part);
        return isReadable;
    }
};

} // namespace

TEST_CASE_METHOD(ReaderFixture, "generation reader, lines split at any byte, puts the generation together")
{
    const std::string stream = "{\"text\":\"a\",\"tokens\":2,\"version\":3}\n{\"text\":\"b\",\"tokens\":1,\"version\":4}\n{\"done\":true,\"tokens\":3}\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        reader = GenerationReader();
        REQUIRE(takeAll({ stream.substr(0, cut), stream.substr(cut) }));
        REQUIRE(reader.isWhole());
        CHECK(reader.generation().text == "ab");
        CHECK(reader.generation().versions == std::vector<WeightVersion> { 3, 4 });
    }
}

TEST_CASE_METHOD(ReaderFixture, "generation reader, a stream without its last line, is not whole")
{
    REQUIRE(takeAll({ "{\"text\":\"a\",\"tokens\":2,\"version\":3}\n" }));
    CHECK_FALSE(reader.isWhole());
}

TEST_CASE_METHOD(ReaderFixture, "generation reader, a lost chunk in the middle, is not whole")
{
    REQUIRE(takeAll({ "{\"text\":\"a\",\"tokens\":2,\"version\":3}\n{\"done\":true,\"tokens\":3}\n" }));
    CHECK_FALSE(reader.isWhole());
}

TEST_CASE_METHOD(ReaderFixture, "generation reader, one chunk without a version, names no version")
{
    REQUIRE(takeAll({ "{\"text\":\"a\",\"tokens\":1,\"version\":3}\n{\"text\":\"b\",\"tokens\":1}\n{\"done\":true,\"tokens\":2}\n" }));
    CHECK(reader.isWhole());
    CHECK(reader.generation().versions.empty());
}

TEST_CASE_METHOD(ReaderFixture, "generation reader, anything after the end or no JSON, is not readable")
{
    CHECK_FALSE(takeAll({ "{\"done\":true,\"tokens\":0}\n{\"text\":\"late\",\"tokens\":0,\"version\":1}\n" }));
    reader = GenerationReader();
    CHECK_FALSE(takeAll({ "no json\n" }));
}
