#include "cicadalb/config/Settings.h"
#include "cicadalb/config/Tables.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace cicadalb;

namespace {

std::string problems(const Errors& errors)
{
    std::string text;
    for (const auto& error : errors)
        text += describe(error) + "\n";
    return text;
}

} // namespace

TEST_CASE("example of each deployment has valid tables and settings")
{
    const auto* deployment = GENERATE("directorate", "kalupahana");
    const std::string folder = std::string(CICADALB_SOURCE_DIR "/examples/") + deployment + "/";
    const auto tables = parseTables(readTextFile(folder + "routes.toml").value(), readTextFile(folder + "pools.toml").value());
    CHECK(problems(tables ? Errors() : tables.error()).empty());

    const auto secretFolder = std::filesystem::temp_directory_path() / ("cicadalb-unit-examples-" + std::to_string(getpid()));
    std::filesystem::create_directories(secretFolder);
    std::ofstream(secretFolder / "secret") << "0123456789abcdef0123456789abcdef";
    const auto settings = parseSettings(readTextFile(folder + "host.toml").value(), "host.toml", secretFolder.string());
    std::filesystem::remove_all(secretFolder);
    CHECK(problems(settings ? Errors() : settings.error()).empty());
}
