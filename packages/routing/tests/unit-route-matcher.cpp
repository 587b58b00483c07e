#include "cicadalb/routing/RouteMatcher.h"

#include "cicadalb/base/Hash.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace cicadalb;

namespace {

Route route(std::string name, std::string path, std::vector<std::string> methods = {}, std::vector<CallerName> callers = {})
{
    Route result;
    result.name = RouteName(std::move(name));
    result.path = std::move(path);
    result.methods = std::move(methods);
    result.callers = std::move(callers);
    result.pool = PoolName("ledger-app");
    return result;
}

struct RouteMatcherFixture {
    RouteMatcherFixture()
    {
        Tables tables;
        tables.callers = { { CallerName("clerks"), sha256Hex("clerk-token") }, { CallerName("jobs"), sha256Hex("job-token") } };
        tables.trainers = { Trainer { TrainerName("drafts"), sha256Hex("trainer-token") } };
        tables.routes = {
            route("all", "/"),
            route("ledger", "/ledger", { "GET" }, { CallerName("clerks") }),
            route("ledger-jobs", "/ledger", { "GET" }, { CallerName("jobs") }),
            route("internal", "/ledger/internal/", {}, { CallerName("jobs") }),
        };
        tables.routes.back().trainers = { TrainerName("drafts") };
        tables.pools.emplace_back().name = PoolName("ledger-app");
        matcher.emplace(std::make_shared<const Tables>(std::move(tables)));
    }

    std::string matched(std::string_view method, std::string_view path, std::string caller) const
    {
        const auto result = matcher->match({ method, path, CallerName(std::move(caller)) });
        return result.has_value() ? result.value()->name.value() : std::string(name(result.error().code));
    }

    std::optional<RouteMatcher> matcher;
};

} // namespace

TEST_CASE_METHOD(RouteMatcherFixture, "route match, with nested prefixes, takes the longest prefix of whole segments")
{
    CHECK(matched("GET", "/ledger/invoices/7", "clerks") == "ledger");
    CHECK(matched("POST", "/ledger/internal", "jobs") == "internal");
    CHECK(matched("GET", "/ledgers", "clerks") == "all");
    CHECK(matched("GET", "/ledger//", "clerks") == "ledger");
}

TEST_CASE_METHOD(RouteMatcherFixture, "route match, with a method that the longer prefix does not allow, takes the shorter prefix")
{
    CHECK(matched("DELETE", "/ledger/invoices", "clerks") == "all");
}

TEST_CASE_METHOD(RouteMatcherFixture, "route match, with a caller that only another route allows, is refused without trying shorter prefixes")
{
    CHECK(matched("GET", "/ledger/internal/x", "clerks") == name(ErrorCode::CallerNotAllowed));
    CHECK(matched("GET", "/ledger/x", "jobs") == "ledger-jobs");
    CHECK(matched("GET", "/other", "") == name(ErrorCode::CallerNotAllowed));
}

TEST_CASE_METHOD(RouteMatcherFixture, "route match, with plain or escaped dot segments, is invalid")
{
    for (const auto* path : { "/other/../ledger/internal", "/other/%2E%2e/ledger", "/other/..%2fledger", "/a/..", "/./a", "a", "", "/a\\..\\b" })
        CHECK(matched("GET", path, "clerks") == name(ErrorCode::RequestInvalid));
    CHECK(matched("GET", "/other/v1.2/..x", "clerks") == "all");
}

TEST_CASE_METHOD(RouteMatcherFixture, "tokens, known and unknown, identify callers and trainers separately")
{
    CHECK(matcher->callerByToken("clerk-token").value() == CallerName("clerks"));
    CHECK(matcher->callerByToken("trainer-token").error().code == ErrorCode::CallerUnknown);
    CHECK(matcher->trainerByToken("trainer-token").value() == TrainerName("drafts"));
    CHECK(matcher->trainerByToken("").error().code == ErrorCode::CallerUnknown);
}

TEST_CASE_METHOD(RouteMatcherFixture, "pool and trainer route, looked up, are found or null")
{
    CHECK(matcher->pool(PoolName("ledger-app")) == matcher->tables().pools.data());
    CHECK(matcher->pool(PoolName("ledger-ap")) == nullptr);
    CHECK(matcher->trainerRoute(TrainerName("drafts"))->name == RouteName("internal"));
    CHECK(matcher->trainerRoute(TrainerName("upsell")) == nullptr);
}
