#include "cicadalb/config/AcceptedConfiguration.h"
#include "cicadalb/config/Tables.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace cicadalb;

namespace {

struct TablesFixture {
    std::string routes = R"([callers.clerks]
token-sha256 = "1111111111111111111111111111111111111111111111111111111111111111"
[trainers.draft]
token-sha256 = "2222222222222222222222222222222222222222222222222222222222222222"
staleness-bound = 2
[routes.invoices]
path = "/invoices"
methods = ["GET"]
pool = "ledger-app"
callers = ["clerks"]
priority = "interactive"
[routes.drafts]
path = "/drafts"
pool = "draft-model"
trainers = ["draft"]
)";
    std::string pools = R"([pools.ledger-app]
kind = "plain-service"
[[pools.ledger-app.targets]]
id = "ledger-1"
address = "10.0.0.1"
port = 9000
failure-domain = "salt-lake"
[pools.draft-model]
kind = "model-engine"
model = "draft"
fence-check = "checked"
[[pools.draft-model.targets]]
id = "draft-1"
address = "10.0.0.2"
port = 9000
failure-domain = "howrah"
draining = true
)";

    static void replace(std::string& text, const std::string& from, const std::string& to)
    {
        const auto position = text.find(from);
        REQUIRE(position != std::string::npos);
        text.replace(position, from.size(), to);
    }

    /// Descriptions of the errors; empty if the tables are accepted.
    std::vector<std::string> problems() const
    {
        std::vector<std::string> lines;
        const auto result = parseTables(routes, pools);
        if (!result) {
            std::transform(result.error().begin(), result.error().end(), std::back_inserter(lines), describe);
        }
        return lines;
    }

    void checkOnlyProblem(const std::string& expected) const
    {
        CHECK(problems() == std::vector<std::string> { expected });
    }
};

} // namespace

TEST_CASE_METHOD(TablesFixture, "valid tables hold the values of the text")
{
    const auto result = parseTables(routes, pools);
    REQUIRE(result);
    const auto& tables = result.value();
    REQUIRE(tables.routes.size() == 2);
    const auto& invoices = tables.routes[1];
    CHECK(invoices.name == RouteName("invoices"));
    CHECK(invoices.priority == Priority::Interactive);
    CHECK(invoices.callers == std::vector { CallerName("clerks") });
    CHECK_FALSE(invoices.isIdempotent);
    REQUIRE(tables.pools.size() == 2);
    CHECK(tables.pools[0].fenceCheck == FenceCheck::Checked);
    CHECK(tables.pools[0].targets[0].isDraining);
    CHECK(tables.trainers[0].stalenessBound == 2);
}

TEST_CASE_METHOD(TablesFixture, "misspelt pool name in a route is reported with its location and the nearest name")
{
    replace(routes, "\"ledger-app\"", "\"ledgre-app\"");
    checkOnlyProblem("error 108 reference-broken at routes.toml:9:8: routes.invoices.pool names the pool 'ledgre-app', which does not exist; did you mean 'ledger-app'?");
}

TEST_CASE_METHOD(TablesFixture, "misspelt key is reported with its location and the nearest key")
{
    replace(pools, "draining = true", "drainning = true");
    checkOnlyProblem("error 103 name-unknown at pools.toml:17:1: key 'drainning' is not known in pools.draft-model.targets; did you mean 'draining'?");
}

TEST_CASE_METHOD(TablesFixture, "misspelt value is reported with its location and the nearest value")
{
    replace(routes, "\"interactive\"", "\"interractive\"");
    checkOnlyProblem("error 104 value-invalid at routes.toml:11:12: routes.invoices.priority is 'interractive', which is not known; did you mean 'interactive'?");
}

TEST_CASE_METHOD(TablesFixture, "several problems in both files are all reported")
{
    replace(routes, "\"/invoices\"", "\"invoices\"");
    replace(routes, "staleness-bound = 2", "staleness-bound = -2");
    replace(pools, "10.0.0.1", "ledger.example");
    replace(pools, "draft-1", "ledger-1");
    CHECK(problems().size() == 4);
}

TEST_CASE_METHOD(TablesFixture, "empty tables are refused")
{
    routes.clear();
    pools.clear();
    CHECK(problems() == std::vector<std::string> { "error 107 table-emptied at routes.toml:1:1: the table has no routes", "error 107 table-emptied at pools.toml:1:1: the table has no pools" });
}

TEST_CASE_METHOD(TablesFixture, "empty list of callers or methods is refused instead of allowing all of them")
{
    replace(routes, "[\"clerks\"]", "[]");
    checkOnlyProblem("error 104 value-invalid at routes.toml:10:11: routes.invoices.callers must not be empty: leave the key out instead");
    replace(routes, "callers = []", "callers = [\"clerks\"]");
    replace(routes, "[\"GET\"]", "[]");
    checkOnlyProblem("error 104 value-invalid at routes.toml:8:11: routes.invoices.methods must not be empty: leave the key out instead");
}

TEST_CASE_METHOD(TablesFixture, "pool without targets is refused")
{
    pools.erase(pools.find("[[pools.draft-model"));
    checkOnlyProblem("error 107 table-emptied at pools.toml:8:1: pools.draft-model has no targets");
}

TEST_CASE_METHOD(TablesFixture, "file truncated in the middle of a line is refused with that line")
{
    routes.resize(routes.find("ledger-app"));
    REQUIRE(problems().size() == 1);
    CHECK(problems().front().rfind("error 102 syntax-invalid at routes.toml:9:", 0) == 0);
}

TEST_CASE_METHOD(TablesFixture, "two routes with the same path and a common method are refused")
{
    replace(routes, "\"/drafts\"", "\"/invoices/\"");
    checkOnlyProblem("error 104 value-invalid at routes.toml:7:8: routes.invoices shares its path and a method with routes.drafts");
}

TEST_CASE_METHOD(TablesFixture, "trainer without a route is refused")
{
    replace(routes, "trainers = [\"draft\"]", "");
    checkOnlyProblem("error 108 reference-broken at routes.toml:3:1: trainers.draft is served by no route");
}

TEST_CASE_METHOD(TablesFixture, "accepted configuration is the same after writing and reading it")
{
    AcceptedConfiguration before { 7, routes, pools, "asha", 1234, { { EntryKind::Pool, "old" } }, "mark-1", { "mark-0" }, {} };
    const auto after = acceptedConfigurationFromJson(toJson(before));
    REQUIRE(after);
    CHECK(after.value().number == before.number);
    CHECK(after.value().routesText == before.routesText);
    CHECK(after.value().retired == before.retired);
    CHECK(after.value().editId == before.editId);
    CHECK(after.value().earlierEditIds == before.earlierEditIds);
    CHECK(after.value().tables.routes.size() == 2);
}

TEST_CASE("reading an accepted configuration from other JSON or no JSON is an error")
{
    for (const auto* text : { "", "[]", "{\"number\":1}", "{\"number\":\"1\"}" })
        CHECK(acceptedConfigurationFromJson(text).error().code == ErrorCode::AnswerInvalid);
}
