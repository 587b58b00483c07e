#include "EngineProtocol.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

namespace {

struct ReaderFixture {
    GenerationReader reader;
    bool appendAll(const std::vector<std::string>& parts)
    {
        bool isWellFormed = true;
        for (const auto& part : parts)
            isWellFormed = isWellFormed && reader.append(part);
        return isWellFormed;
    }
};

} // namespace

TEST_CASE_METHOD(ReaderFixture, "generation reader, lines split at any byte, assembles the generation")
{
    const std::string stream = "{\"text\":\"a\",\"tokens\":2,\"version\":3}\n{\"text\":\"b\",\"tokens\":1,\"version\":4}\n{\"done\":true,\"tokens\":3}\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        reader = GenerationReader();
        REQUIRE(appendAll({ stream.substr(0, cut), stream.substr(cut) }));
        REQUIRE(reader.isComplete());
        CHECK(reader.generation().text == "ab");
        CHECK(reader.generation().versions == std::vector<WeightVersion> { 3, 4 });
    }
}

TEST_CASE_METHOD(ReaderFixture, "generation reader, a stream without its final line, is incomplete")
{
    REQUIRE(appendAll({ "{\"text\":\"a\",\"tokens\":2,\"version\":3}\n" }));
    CHECK_FALSE(reader.isComplete());
}

TEST_CASE_METHOD(ReaderFixture, "generation reader, a chunk missing in the middle, is incomplete")
{
    REQUIRE(appendAll({ "{\"text\":\"a\",\"tokens\":2,\"version\":3}\n{\"done\":true,\"tokens\":3}\n" }));
    CHECK_FALSE(reader.isComplete());
}

TEST_CASE_METHOD(ReaderFixture, "generation reader, one chunk without a version, has no versions")
{
    REQUIRE(appendAll({ "{\"text\":\"a\",\"tokens\":1,\"version\":3}\n{\"text\":\"b\",\"tokens\":1}\n{\"done\":true,\"tokens\":2}\n" }));
    CHECK(reader.isComplete());
    CHECK(reader.generation().versions.empty());
}

TEST_CASE_METHOD(ReaderFixture, "generation reader, a line after the final one or a line that is not JSON, is malformed")
{
    CHECK_FALSE(appendAll({ "{\"done\":true,\"tokens\":0}\n{\"text\":\"late\",\"tokens\":0,\"version\":1}\n" }));
    reader = GenerationReader();
    CHECK_FALSE(appendAll({ "no json\n" }));
}
