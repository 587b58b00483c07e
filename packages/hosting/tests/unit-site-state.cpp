#include "SiteState.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

SiteState coordinatorState()
{
    SiteState state;
    state.configuration = 7;
    state.configurationAge = 250ms;
    state.organisations = { { OrganisationName("north"), 1U, 2 }, { OrganisationName("south"), std::nullopt, 1 } };
    state.coordinator = CoordinatorState { { HostId("first"), 812 }, 61s };
    state.work = WorkState { 3, 40, 5, false };
    state.permits = { true, true, 6, 2 };
    SentUsageReport report { 1000, 90, 2, 3100ms, DutyOutcome::Accepted, UsageSources { 4, { HostId("killed") }, { HostId("idle") } } };
    state.usage = UsageState { report, 1 };
    const CapacityDecision decision { { FailureDomain("a"), true }, 12, OrderCause::Need, 8 };
    state.orders = std::vector<EngineOrder> { { PoolName("engines"), { decision, true } } };
    return state;
}

} // namespace

TEST_CASE("site state, of a coordinator, states organisations, holder, work, the last usage report and the orders in force")
{
    const auto state = toJson(coordinatorState());
    CHECK(state["configuration"] == json { { "version", 7 }, { "age-ms", 250 } });
    CHECK(state["organisations"][0] == json { { "name", "north" }, { "priority", 1 }, { "keys", 2 } });
    CHECK(state["organisations"][1]["priority"].is_null());
    CHECK(state["coordinator"] == json { { "host", "first" }, { "fence", 812 }, { "coordinating-for-ms", 61000 } });
    CHECK(state["work"] == json { { "submissions", 3 }, { "running", 40 }, { "waiting", 5 }, { "placement-paused", false } });
    CHECK(state["permits"] == json { { "granting", true }, { "coordinator-known", true }, { "asking-hosts", 6 }, { "limited-targets", 2 } });
    CHECK(state["usage"]["waiting"] == 1);
    CHECK(state["usage"]["last"]["missing"] == json { "killed" });
    CHECK(state["usage"]["last"]["silent"] == json { "idle" });
    CHECK(state["orders"] == json::array({ { { "pool", "engines" }, { "failure-domain", "a" }, { "reclaimable", true }, { "engines", 12 }, { "from", 8 }, { "cause", "need" }, { "accepted", true } } }));
}

TEST_CASE("site state, of a host that is no candidate and has no configuration, leaves out what it cannot know")
{
    const auto state = toJson(SiteState {});
    CHECK(state["configuration"]["version"] == 0);
    CHECK(state["configuration"]["age-ms"].is_null());
    for (const auto* key : { "coordinator", "work", "usage", "orders" })
        CHECK(state[key].is_null());
}

TEST_CASE("usage sources, hosts that were killed, idle or heard of after the window, tells them apart")
{
    const UsageWindows windows { 5s };
    UsageLedger ledger { windows };
    const UsageWindow window = 1000;
    const auto counts = [](UsageWindow of) { return std::map<UsageWindow, UsageCounts> { { of, { { OrganisationName("north"), 3 } } } }; };
    ledger.apply({ HostId("gone-before"), 1, 1, counts(window - 2) }, windows.beginOf(window - 2));
    ledger.apply({ HostId("idle"), 1, 1, counts(window - 1) }, windows.beginOf(window - 1) + 1s);
    ledger.apply({ HostId("killed"), 1, 1, counts(window) }, windows.beginOf(window) + 1s);
    ledger.apply({ HostId("alive"), 1, 1, counts(window) }, windows.beginOf(window) + 1s);
    // An answered question counts as well as counts do.
    ledger.apply({ HostId("alive"), 1, 0, {} }, windows.endOf(window) + 1s);
    const auto sources = ledger.sourcesOf(window);
    CHECK(sources.hosts == 2);
    CHECK(sources.missing == std::vector { HostId("killed") });
    CHECK(sources.silent == std::vector { HostId("idle") });
}

TEST_CASE("usage sources, report that this coordinator fixed, are known until the report leaves the record, and those of another's report are not")
{
    const UsageWindows windows { 5s };
    UsageLedger ledger { windows };
    const UsageWindow window = 1000;
    TimePoint now { 1h };
    UsageReporting reporting { ledger, { windows, 10s }, now, windows.beginOf(window) };
    ledger.apply({ HostId("killed"), 1, 1, { { window, { { OrganisationName("north"), 3 } } } } }, windows.beginOf(window) + 1s);
    reporting.onRead(UsageRecord { window - 1, { { window - 1, {} } } }, 1);
    CHECK_FALSE(reporting.sourcesOf(window - 1));
    now += UsageReporting::collectionTime;
    const auto step = reporting.nextStep(now, windows.endOf(window) + 3s);
    REQUIRE(std::holds_alternative<StoreUsageRecord>(step));
    reporting.onStored(std::get<StoreUsageRecord>(step).record, 2);
    REQUIRE(reporting.sourcesOf(window));
    CHECK(reporting.sourcesOf(window)->missing == std::vector { HostId("killed") });
    CHECK_FALSE(reporting.sourcesOf(window - 1));
    reporting.onSent(window - 1, DutyOutcome::Accepted, now);
    reporting.onSent(window, DutyOutcome::Accepted, now);
    const auto next = reporting.nextStep(now, windows.endOf(window + 1) + 3s);
    REQUIRE(std::holds_alternative<StoreUsageRecord>(next));
    reporting.onStored(std::get<StoreUsageRecord>(next).record, 3);
    CHECK_FALSE(reporting.sourcesOf(window));
    CHECK(reporting.sourcesOf(window + 1));
}
