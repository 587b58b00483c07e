#include "cicadalb/transport/KeyedRequests.h"
#include "cicadalb/transport/RoutingTable.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

namespace {

constexpr std::size_t targetCount = 200;

AcceptedConfiguration configuration(ConfigurationNumber number)
{
    AcceptedConfiguration accepted;
    accepted.number = number;
    Pool pool;
    pool.name = PoolName("large");
    for (std::size_t i = 0; i < targetCount; ++i)
        pool.targets.push_back(Target { TargetId("target-" + std::to_string(i)), "127.0.0.1", static_cast<std::uint16_t>(1000 + i), FailureDomain("salt-lake"), false });
    accepted.tables.pools.push_back(pool);
    return accepted;
}

struct RoutingTableFixture {
    ManualClock clock;
    RoutingTable table { HostId("alpha"), BalancerOptions { FailureDomain("salt-lake"), 1 }, clock };

    static std::vector<SubsetHost> hosts(std::size_t count)
    {
        std::vector<SubsetHost> all { { HostId("alpha"), FailureDomain("salt-lake") } };
        for (std::size_t i = 1; i < count; ++i)
            all.push_back({ HostId("host-" + std::to_string(i)), FailureDomain("salt-lake") });
        return all;
    }
    std::size_t targetsInUse() const { return table.snapshot()->balancer(PoolName("large"))->pool().targets.size(); }
};

} // namespace

TEST_CASE_METHOD(RoutingTableFixture, "routing table, an older or equal number, keeps the configuration in force")
{
    CHECK(table.apply(configuration(5)));
    CHECK_FALSE(table.apply(configuration(5)));
    CHECK_FALSE(table.apply(configuration(4)));
    CHECK(table.snapshot()->number == 5);
}

TEST_CASE_METHOD(RoutingTableFixture, "routing table, a new configuration, keeps the balancers of pools that still exist")
{
    table.apply(configuration(1));
    const auto balancer = table.snapshot()->balancer(PoolName("large"));
    table.apply(configuration(2));
    CHECK(table.snapshot()->balancer(PoolName("large")) == balancer);
}

TEST_CASE_METHOD(RoutingTableFixture, "routing table, a large pool shared by many hosts, sends to a subset and keeps the endpoints of all targets")
{
    table.apply(configuration(1));
    CHECK(targetsInUse() == targetCount);
    table.setSubsetHosts(hosts(40));
    CHECK(targetsInUse() < targetCount / 2);
    CHECK(table.snapshot()->endpoints.size() == targetCount);
    table.apply(configuration(2));
    CHECK(targetsInUse() < targetCount / 2);
    table.setSubsetHosts(hosts(2));
    CHECK(targetsInUse() == targetCount);
}

TEST_CASE("response cache, more responses than the maximum, evicts the oldest and stores no oversized one")
{
    ResponseCache cache;
    HttpResponse response;
    response.status = 200;
    for (std::size_t i = 0; i <= ResponseCache::maximumResponses; ++i)
        cache.insert("key-" + std::to_string(i), response);
    CHECK_FALSE(cache.find("key-0"));
    CHECK(cache.find("key-1"));
    response.body.assign(ResponseCache::maximumBodyBytes + 1, 'x');
    cache.insert("large", response);
    CHECK_FALSE(cache.find("large"));
}
