#include "cicadalb/site/SiteConfiguration.h"
#include "cicadalb/site/TargetRegistry.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

SiteRoute route(const std::string& name, const std::string& authority, const std::string& prefix)
{
    SiteRoute result;
    result.name = RouteName(name);
    result.authority = authority;
    result.pathPrefix = prefix;
    return result;
}

RegisteredTarget target(const std::string& id, bool isDraining = false)
{
    RegisteredTarget result;
    result.id = TargetId(id);
    result.pool = PoolName("ledger");
    result.isDraining = isDraining;
    return result;
}

} // namespace

TEST_CASE("route index finds the longest matching prefix of the authority")
{
    SiteConfiguration configuration;
    configuration.routes = { route("outer", "a.example", "/x/"), route("inner", "a.example", "/x/y/"), route("other", "b.example", "/") };
    const RouteIndex index(configuration);
    REQUIRE(index.find("a.example", "/x/y/z"));
    CHECK(index.find("a.example", "/x/y/z")->name.value() == "inner");
    CHECK(index.find("a.example", "/x/yz")->name.value() == "outer");
    CHECK_FALSE(index.find("a.example", "/other"));
    CHECK_FALSE(index.find("c.example", "/x/"));
    CHECK(index.find("b.example", "/")->name.value() == "other");
}

TEST_CASE("target registry offers a leaving target no new requests")
{
    TargetRegistry registry;
    registry.replace({ target("a"), target("b", true) }, {});
    REQUIRE(registry.usableTargets(PoolName("ledger")).size() == 1);
    CHECK(registry.usableTargets(PoolName("ledger"))[0]->id.value() == "a");
    CHECK(registry.find(TargetId("b")));
}

TEST_CASE("target registry, target that has stated that it is leaving, stays excluded until it registers a later start")
{
    ManualClock clock;
    TargetRegistry registry;
    auto registered = target("a");
    registered.startedAt = 100;
    registry.put(registered, clock.now());
    CHECK(registry.markLeaving(registered, clock.now()));
    CHECK_FALSE(registry.markLeaving(registered, clock.now()));
    CHECK(registry.usableTargets(PoolName("ledger")).empty());
    // Entries of the same start, also after the entry was missing for some time.
    registry.put(registered, clock.now());
    registry.remove(registered.id, { 0, clock.now() });
    registry.replace({ registered }, { 0, clock.now(), TargetRegistry::reregistrationGracePeriod });
    CHECK(registry.usableTargets(PoolName("ledger")).empty());
    registered.startedAt = 200;
    registry.put(registered, clock.now());
    CHECK(registry.usableTargets(PoolName("ledger")).size() == 1);
}

TEST_CASE("target registry, late answer of an earlier start, does not exclude the restarted target")
{
    TargetRegistry registry;
    auto earlier = target("a");
    earlier.startedAt = 100;
    auto restarted = earlier;
    restarted.startedAt = 200;
    registry.put(restarted, {});
    CHECK_FALSE(registry.markLeaving(earlier, {}));
    CHECK(registry.usableTargets(PoolName("ledger")).size() == 1);
}

TEST_CASE("target registry removes targets that are missing right after an outage only once the return time is over")
{
    ManualClock clock;
    TargetRegistry registry;
    registry.replace({ target("a"), target("b") }, { 0, clock.now() });
    registry.replace({}, { 0, clock.now(), TargetRegistry::reregistrationGracePeriod });
    CHECK(registry.targets().size() == 2);
    registry.put(target("a"), clock.now());
    clock.advance(TargetRegistry::reregistrationGracePeriod);
    CHECK(registry.expire(clock.now()));
    REQUIRE(registry.targets().size() == 1);
    CHECK(registry.find(TargetId("a")));
    CHECK_FALSE(registry.expire(clock.now()));
}

TEST_CASE("target registry removes a target at once if there was no outage")
{
    TargetRegistry registry;
    registry.replace({ target("a") }, {});
    registry.remove(TargetId("a"), {});
    CHECK(registry.targets().empty());
}

namespace {

RegisteredTarget reported(Incarnation startedAt, std::uint64_t number, Revision revision)
{
    auto result = target("a");
    result.startedAt = startedAt;
    result.reportNumber = number;
    result.revision = revision;
    return result;
}

} // namespace

TEST_CASE("target registry, entry from a page that was read before a change, does not replace the changed entry")
{
    TargetRegistry registry;
    auto changed = reported(100, 5, 30);
    changed.isDraining = true;
    registry.put(changed, {});
    registry.replace({ reported(100, 5, 20) }, { 25 });
    CHECK(registry.usableTargets(PoolName("ledger")).empty());
    CHECK(registry.targets().size() == 1);
}

TEST_CASE("target registry, removal before the entry was written again, does not remove it")
{
    TargetRegistry registry;
    registry.put(reported(100, 5, 30), {});
    registry.remove(TargetId("a"), { 29 });
    registry.replace({}, { 29 });
    CHECK(registry.targets().size() == 1);
    registry.remove(TargetId("a"), { 31 });
    CHECK(registry.targets().empty());
}

TEST_CASE("target registry, much lower report number without a stated start, is a later start")
{
    TargetRegistry registry;
    auto earlier = reported(0, 40, 30);
    earlier.isDraining = true;
    registry.put(earlier, {});
    registry.put(reported(0, 38, 31), {});
    CHECK(registry.usableTargets(PoolName("ledger")).empty());
    registry.put(reported(0, 1, 32), {});
    CHECK(registry.usableTargets(PoolName("ledger")).size() == 1);
}

TEST_CASE("target registry, late report after the retention of reports, is taken for the target's state")
{
    ManualClock clock;
    TargetRegistry registry;
    registry.put(reported(100, 5, 30), clock.now());
    registry.remove(TargetId("a"), { 31, clock.now() });
    registry.put(reported(100, 4, 32), clock.now());
    CHECK(registry.targets().empty());
    clock.advance(TargetRegistry::reportRetention);
    CHECK_FALSE(registry.expire(clock.now()));
    registry.put(reported(100, 4, 33), clock.now());
    CHECK(registry.targets().size() == 1);
}
