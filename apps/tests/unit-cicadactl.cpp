#include "CommandLine.h"
#include "ConfigurationCommands.h"
#include "Explain.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace cicadalb;

namespace {

const std::string routesText = R"([callers.clerks]
token-sha256 = "1111111111111111111111111111111111111111111111111111111111111111"
[callers.reconciliation]
token-sha256 = "2222222222222222222222222222222222222222222222222222222222222222"
[routes.invoices]
path = "/ledger"
pool = "ledger-app"
callers = ["clerks"]
[routes.lookup]
path = "/ledger/lookups"
methods = ["GET"]
pool = "ledger-app"
callers = ["reconciliation"]
repeatable = true
)";

const std::string poolsText = R"([pools.ledger-app]
kind = "plain-service"
[[pools.ledger-app.targets]]
id = "ledger-1"
address = "10.0.0.1"
port = 1
failure-domain = "salt-lake"
[[pools.ledger-app.targets]]
id = "ledger-2"
address = "10.0.0.2"
port = 1
failure-domain = "howrah"
)";

/// Commands against a key-value service in memory, with files in a folder of their own.
struct CommandFixture {
    std::filesystem::path folder = std::filesystem::temp_directory_path() / ("cicadalb-unit-cicadactl-" + std::to_string(getpid()));
    TableFiles files { (folder / "routes.toml").string(), (folder / "pools.toml").string() };
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService service { context.get_executor(), clock };
    Random random { 1 };
    ConfigurationClient client { context.get_executor(), service, random, std::chrono::milliseconds(0) };

    CommandFixture()
    {
        std::filesystem::create_directories(folder);
        write(routesText, poolsText);
    }
    ~CommandFixture() { std::filesystem::remove_all(folder); }

    void write(const std::string& routes, const std::string& pools) const
    {
        std::ofstream(files.routes) << routes;
        std::ofstream(files.pools) << pools;
    }

    CommandOutcome run(Task<CommandOutcome> command)
    {
        const auto result = startTask(context.get_executor(), std::move(command));
        context.restart();
        context.run();
        return **result;
    }

    CommandOutcome apply(const std::string& author, std::vector<std::string> retired = {})
    {
        return run(applyCommand(client, { files, author, std::nullopt, std::move(retired), false }));
    }

    std::string kept(std::string_view key) const { return service.entries().at(std::string(key)).value; }
};

std::string changed(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE_METHOD(CommandFixture, "two operators, who edit what they were shown at the same time, do not overwrite each other")
{
    REQUIRE(apply("asha").exitCode == ExitCode::Done);
    const TableFiles second { (folder / "second-routes.toml").string(), (folder / "second-pools.toml").string() };
    REQUIRE(run(showCommand(client, { files, false })).exitCode == ExitCode::Done);
    REQUIRE(run(showCommand(client, { second, false })).exitCode == ExitCode::Done);

    write(changed(withBasedOn(routesText, 1), "\"/ledger\"", "\"/ledgers\""), poolsText);
    REQUIRE(apply("bela").exitCode == ExitCode::Done);
    const auto loser = run(applyCommand(client, { second, "chitra", std::nullopt, {}, false }));
    CHECK(loser.exitCode == ExitCode::Refused);
    CHECK(loser.text.find("number 2 by 'bela' is in force; your edit would change: changed route invoices (path: /ledgers -> /ledger)") != std::string::npos);
    CHECK(acceptedConfigurationFromJson(kept(acceptedConfigurationKey)).value().number == 2);
    CHECK(kept(refusedEditsKey).find("chitra") != std::string::npos);

    // The winner's file follows the record.
    write(changed(readTables(files).value().routes, "\"/ledgers\"", "\"/books\""), poolsText);
    CHECK(apply("bela").json["number"] == 3);
}

TEST_CASE_METHOD(CommandFixture, "writes, with every answer lost, lead to one record each")
{
    unsigned writes = 0;
    service.faultOf = [&writes](CallKind kind) {
        return kind == CallKind::Write && ++writes % 2 == 1 ? CallFault::AnswerLost : CallFault::None;
    };
    CHECK(apply("asha").json["number"] == 1);
    CHECK(run(drainCommand(client, { "bela", "ledger-1", false, false })).json["number"] == 2);
    CHECK(run(drainCommand(client, { "bela", "ledger-1", true, false })).json["number"] == 3);
}

TEST_CASE_METHOD(CommandFixture, "drain, whose race another edit wins, is made anew on top of that edit")
{
    apply("asha");
    const auto present = acceptedConfigurationFromJson(kept(acceptedConfigurationKey)).value();
    ConfigurationEdit winner { present.routesText, withDraining({ routesText, poolsText }, TargetId("ledger-2"), true).value().pools, "bela", 1, {}, false, 0, "winner" };
    const auto winning = toJson(ConfigurationAuthority(present).accept(winner).value());
    unsigned writes = 0;
    service.faultOf = [&](CallKind kind) {
        // The first write keeps the history, the second one is the drain's own.
        if (kind == CallKind::Write && ++writes == 2)
            service.put(std::string(acceptedConfigurationKey), winning);
        return CallFault::None;
    };
    CHECK(run(drainCommand(client, { "asha", "ledger-1", false, true })).exitCode == ExitCode::Done);
    const auto record = acceptedConfigurationFromJson(kept(acceptedConfigurationKey)).value();
    CHECK(record.number == 3);
    CHECK(record.tables.pools[0].targets[0].draining);
    CHECK(record.tables.pools[0].targets[1].draining);
    CHECK_FALSE(service.entries().contains(std::string(refusedEditsKey)));
}

TEST_CASE_METHOD(CommandFixture, "drain, begun in an outage, goes on when the service is back")
{
    apply("asha");
    unsigned failures = 5;
    service.faultOf = [&failures](CallKind) {
        if (failures == 0)
            return CallFault::None;
        --failures;
        return CallFault::Unavailable;
    };
    CHECK(run(drainCommand(client, { "asha", "ledger-1", false, false })).exitCode == ExitCode::Done);
}

TEST_CASE_METHOD(CommandFixture, "service, down, leaves the edit undone and says so by its exit code")
{
    service.faultOf = [](CallKind) { return CallFault::Unavailable; };
    CHECK(apply("asha").exitCode == ExitCode::Unreachable);
    service.faultOf = [](CallKind kind) { return kind == CallKind::Write ? CallFault::RequestLost : CallFault::None; };
    CHECK(apply("asha").exitCode == ExitCode::Unknown);
    CHECK(service.entries().empty());
}

TEST_CASE_METHOD(CommandFixture, "records, replaced, are listed, compared and bounded")
{
    apply("asha");
    for (int edit = 0; edit < 40; ++edit)
        run(drainCommand(client, { "bela", "ledger-1", edit % 2 == 1, false }));
    const auto history = run(historyCommand(client));
    CHECK(history.json["records"].size() == 33);
    CHECK(history.json["records"][0]["number"] == 41);
    const auto diff = run(diffCommand(client, { {}, std::nullopt, std::nullopt }));
    CHECK(diff.json["differences"][0]["detail"] == "draining: true -> false");
    CHECK(run(diffCommand(client, { {}, 1, std::nullopt })).exitCode == ExitCode::Refused);
}

TEST_CASE_METHOD(CommandFixture, "names, retired together, go in one edit")
{
    apply("asha");
    CHECK(run(retireCommand(client, { "bela", { "caller", "reconciliation" } })).exitCode == ExitCode::Refused);
    const auto outcome = run(retireCommand(client, { "bela", { "caller", "reconciliation", "route", "lookup" } }));
    CHECK(outcome.exitCode == ExitCode::Done);
    CHECK(outcome.json["retired"].size() == 2);
    CHECK(run(retireCommand(client, { "bela", { "route" } })).exitCode == ExitCode::Usage);
}

TEST_CASE_METHOD(CommandFixture, "request, explained, names route, pool, candidates and the routes that were passed over")
{
    apply("asha");
    run(drainCommand(client, { "bela", "ledger-2", false, false }));
    const auto ask = [&](const ExplainQuery& query) {
        return run(explainCommand(client, [&](const Tables& tables) { return explain(tables, query); }));
    };
    const auto lookup = ask({ "GET", "/ledger/lookups/7", "reconciliation", {} });
    CHECK(lookup.json["route"]["name"] == "lookup");
    CHECK(lookup.json["targets"][0]["candidate"] == true);
    CHECK(lookup.json["targets"][1]["candidate"] == false);
    CHECK(lookup.json["rejected"][0]["reason"] == "it does not name the caller 'reconciliation'");
    CHECK(ask({ "GET", "/ledger/lookups/7", "clerks", {} }).json["errors"][0]["name"] == "caller-not-allowed");
    CHECK(ask({ "GET", "/elsewhere", "clerks", {} }).json["errors"][0]["name"] == "route-unknown");
    CHECK(ask({ "GET", "/ledger", "nobody", {} }).json["errors"][0]["name"] == "caller-unknown");
    CHECK(ask({ "GET", {}, {}, "draft" }).exitCode == ExitCode::Refused);
}

TEST_CASE_METHOD(CommandFixture, "command line, with problems, exits with the documented code and JSON")
{
    std::ostringstream output;
    std::ostringstream errors;
    const auto runLine = [&](std::vector<const char*> arguments) {
        arguments.insert(arguments.begin(), "cicadactl");
        output.str("");
        return runCommandLine(static_cast<int>(arguments.size()), arguments.data(), output, errors);
    };
    CHECK(runLine({ "check", files.routes.c_str(), files.pools.c_str() }) == 0);
    CHECK(output.str() == "no problems: 2 routes, 1 pools, 2 targets, 2 callers, 0 trainers\n");
    write(changed(routesText, "ledger-app", "ledgerapp"), poolsText);
    CHECK(runLine({ "check", files.routes.c_str(), files.pools.c_str(), "--json" }) == 1);
    CHECK(nlohmann::json::parse(output.str())["errors"][0]["name"] == "reference-broken");
    CHECK(runLine({ "check", "/nonexistent", files.pools.c_str() }) == 2);
    CHECK(runLine({ "aply" }) == 2);
    CHECK(runLine({ "show", "--key-value", "127.0.0.1:1" }) == 3);
    CHECK(runLine({ "--help" }) == 0);
}
