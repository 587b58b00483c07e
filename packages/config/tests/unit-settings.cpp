#include "cicadalb/config/Settings.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace cicadalb;

namespace {

/// Valid settings, and a folder with their secret file.
struct SettingsFixture {
    std::filesystem::path folder = std::filesystem::temp_directory_path() / ("cicadalb-unit-settings-" + std::to_string(getpid()));
    std::string text = R"([host]
id = "host-1"
failure-domain = "salt-lake"
weight = 2
[listen]
address = "127.0.0.1"
port = 0
[peers]
port = 7000
secret-file = "secret"
seeds = ["host-2@10.0.0.2:8083"]
[platform]
key-value = "10.0.0.9:1"
host-list = "10.0.0.9:2"
weight-store = "[::1]:3"
[limits]
body-timeout-ms = 500
[log]
format = "text"
)";

    SettingsFixture()
    {
        std::filesystem::create_directories(folder);
        std::ofstream(folder / "secret") << "0123456789abcdef-secret\n";
    }
    ~SettingsFixture() { std::filesystem::remove_all(folder); }

    void replace(const std::string& from, const std::string& to)
    {
        const auto position = text.find(from);
        REQUIRE(position != std::string::npos);
        text.replace(position, from.size(), to);
    }

    CheckedResult<Settings> parse() const { return parseSettings(text, "host.toml", folder.string()); }

    void checkOnlyProblem(const std::string& expected) const
    {
        const auto result = parse();
        REQUIRE_FALSE(result);
        REQUIRE(result.error().size() == 1);
        CHECK(describe(result.error().front()) == expected);
    }
};

} // namespace

TEST_CASE_METHOD(SettingsFixture, "valid settings hold the values of the text and defaults for missing keys")
{
    const auto result = parse();
    REQUIRE(result);
    const auto& settings = result.value();
    CHECK(settings.host.id == HostId("host-1"));
    CHECK(settings.host.weight == 2.0);
    CHECK(settings.listen == SocketAddress { "127.0.0.1", 0 });
    CHECK(settings.admin.port == 8081);
    CHECK(settings.peers.listen == SocketAddress { "0.0.0.0", 7000 });
    CHECK(settings.peers.seeds == std::vector { MembershipSeed { HostId("host-2"), { "10.0.0.2", 8083 } } });
    CHECK(settings.platform.weightStore == SocketAddress { "::1", 3 });
    CHECK(settings.limits.bodyTimeout == std::chrono::milliseconds(500));
    CHECK(settings.log.format == LogFormat::Text);
    CHECK(settings.secret.reveal() == "0123456789abcdef-secret");
}

TEST_CASE_METHOD(SettingsFixture, "empty list of seeds is accepted, for a host without others")
{
    replace("[\"host-2@10.0.0.2:8083\"]", "[]");
    CHECK(parse());
}

TEST_CASE_METHOD(SettingsFixture, "settings with an unknown key are refused with the nearest key")
{
    replace("body-timeout-ms", "body-timout-ms");
    checkOnlyProblem("error 103 name-unknown at host.toml:17:1: key 'body-timout-ms' is not known in limits; did you mean 'body-timeout-ms'?");
}

TEST_CASE_METHOD(SettingsFixture, "settings with a value out of range are refused with file and key")
{
    replace("weight = 2", "weight = 0");
    checkOnlyProblem("error 104 value-invalid at host.toml:4:10: host.weight is 0 but must be between 0.001 and 1000");
}

TEST_CASE_METHOD(SettingsFixture, "settings with a malformed address are refused with file and key")
{
    replace("10.0.0.9:1", "platform:1");
    checkOnlyProblem("error 104 value-invalid at host.toml:13:13: platform.key-value is 'platform:1' but must be IP:PORT");
}

TEST_CASE_METHOD(SettingsFixture, "settings whose secret file is missing are refused")
{
    std::filesystem::remove(folder / "secret");
    const auto result = parse();
    REQUIRE_FALSE(result);
    CHECK(result.error().front().code == ErrorCode::FileUnreadable);
}

TEST_CASE("empty settings report every missing key")
{
    const auto result = parseSettings("", "host.toml", "");
    REQUIRE_FALSE(result);
    CHECK(result.error().size() == 6);
}

TEST_CASE("missing settings file is an error with its path")
{
    const auto result = loadSettings("/nonexistent/host.toml");
    REQUIRE_FALSE(result);
    CHECK(describe(result.error().front()) == "error 101 file-unreadable at /nonexistent/host.toml: cannot be read");
}
