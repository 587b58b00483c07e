#include "cicadalb/membership/Assignment.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace cicadalb;

namespace {

std::vector<AssignableHost> hostsWithWeights(const std::vector<double>& weights)
{
    std::vector<AssignableHost> hosts;
    for (std::size_t i = 0; i < weights.size(); ++i)
        hosts.push_back(AssignableHost { HostId("host-" + std::to_string(i)), weights[i], FailureDomain("domain") });
    return hosts;
}

rc::Gen<std::vector<AssignableHost>> anyHosts()
{
    const auto weights = rc::gen::container<std::vector<double>>(rc::gen::element(0.5, 1.0, 2.0, 3.0));
    return rc::gen::map(rc::gen::nonEmpty(weights), hostsWithWeights);
}

constexpr int keyCount = 200;

std::string keyOf(int i) { return "target-" + std::to_string(i); }

} // namespace

TEST_CASE("assignment, with one host removed, moves only the keys of that host")
{
    CHECK(rc::check("minimal movement", [] {
        auto hosts = *anyHosts();
        const auto removed = *rc::gen::inRange<std::size_t>(0, hosts.size());
        const Assignment before(hosts);
        const auto removedId = hosts[removed].id;
        hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(removed));
        const Assignment after(hosts);
        for (int i = 0; i < keyCount && !hosts.empty(); ++i) {
            const auto* host = before.hostOf(keyOf(i));
            RC_ASSERT(host->id == removedId || after.hostOf(keyOf(i))->id == host->id);
        }
    }));
}

TEST_CASE("assignment, with the hosts in another order, stays the same")
{
    CHECK(rc::check("order does not matter", [] {
        auto hosts = *anyHosts();
        const Assignment before(hosts);
        std::reverse(hosts.begin(), hosts.end());
        std::rotate(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(hosts.size() / 3), hosts.end());
        const Assignment after(hosts);
        for (int i = 0; i < keyCount; ++i)
            RC_ASSERT(before.hostOf(keyOf(i))->id == after.hostOf(keyOf(i))->id);
    }));
}

TEST_CASE("assignment, with two preferred hosts of a key, returns its host and the host it would have without that one")
{
    CHECK(rc::check("preference", [] {
        auto hosts = *anyHosts();
        const Assignment all(hosts);
        const auto key = keyOf(*rc::gen::inRange(0, 1000));
        const auto preferred = all.preferredHosts(key, 2);
        RC_ASSERT(preferred.front()->id == all.hostOf(key)->id);
        std::erase_if(hosts, [&](const AssignableHost& host) { return host.id == preferred.front()->id; });
        if (!hosts.empty())
            RC_ASSERT(preferred.at(1)->id == Assignment(hosts).hostOf(key)->id);
    }));
}

TEST_CASE("assignment, with hosts of several weights, assigns keys in proportion")
{
    const Assignment assignment(hostsWithWeights({ 1, 2, 1, 4 }));
    std::map<std::string, double> share;
    constexpr int keys = 40000;
    for (int i = 0; i < keys; ++i)
        share[assignment.hostOf(keyOf(i))->id.value()] += 8.0 / keys;
    CHECK(share["host-0"] == Approx(1).epsilon(0.05));
    CHECK(share["host-1"] == Approx(2).epsilon(0.05));
    CHECK(share["host-3"] == Approx(4).epsilon(0.05));
}

TEST_CASE("assignment, with no hosts or only hosts of weight 0, has no host for a key")
{
    CHECK(Assignment({}).hostOf("key") == nullptr);
    CHECK(Assignment(hostsWithWeights({ 0 })).hostOf("key") == nullptr);
    CHECK(Assignment({}).preferredHosts("key", 3).empty());
}
