#include "cicadalb/routing/TargetSubset.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

using namespace cicadalb;

namespace {

FailureDomain domain(std::size_t index, std::size_t domainCount)
{
    return FailureDomain("domain-" + std::to_string(index % domainCount));
}

/// @brief Hosts and targets over the same failure domains.
struct SubsetFixture {
    SubsetFixture(std::size_t hostCount = 40, std::size_t targetCount = 400, std::size_t domainCount = 4)
    {
        for (std::size_t i = 0; i < hostCount; ++i)
            hosts.push_back({ HostId("host-" + std::to_string(i)), domain(i, domainCount), 1.0 });
        for (std::size_t i = 0; i < targetCount; ++i)
            targets.push_back({ TargetId("target-" + std::to_string(i)), "127.0.0.1", 80, domain(i, domainCount), false });
    }

    std::set<TargetId> subset(const HostId& own) const
    {
        std::set<TargetId> ids;
        for (const auto& target : targetSubset(own, hosts, targets, options))
            ids.insert(target.id);
        return ids;
    }

    /// The hosts that send to each target.
    std::map<TargetId, std::set<HostId>> hostsOfTargets() const
    {
        std::map<TargetId, std::set<HostId>> byTarget;
        for (const auto& host : hosts) {
            for (const auto& target : subset(host.id))
                byTarget[target].insert(host.id);
        }
        return byTarget;
    }

    std::vector<SubsetHost> hosts;
    std::vector<Target> targets;
    SubsetOptions options;
};

std::size_t missingFrom(const std::set<TargetId>& left, const std::set<TargetId>& right)
{
    std::vector<TargetId> difference;
    std::set_difference(left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(difference));
    return difference.size();
}

} // namespace

TEST_CASE_METHOD(SubsetFixture, "target subset, of a small pool, is the whole pool")
{
    targets.resize(options.maximumUndividedPoolSize);
    CHECK(subset(hosts.front().id).size() == targets.size());
}

TEST_CASE_METHOD(SubsetFixture, "target subset, with equal hosts, gives each about its share, three quarters of it in its own failure domain")
{
    const auto expected = static_cast<double>(targets.size() * options.hostsPerTarget) / static_cast<double>(hosts.size());
    std::size_t inOwnDomain = 0;
    std::size_t total = 0;
    for (const auto& host : hosts) {
        const auto chosen = targetSubset(host.id, hosts, targets, options);
        CHECK(static_cast<double>(chosen.size()) > 0.6 * expected);
        CHECK(static_cast<double>(chosen.size()) < 1.5 * expected);
        total += chosen.size();
        inOwnDomain += static_cast<std::size_t>(std::count_if(chosen.begin(), chosen.end(), [&](const auto& target) { return target.failureDomain == host.failureDomain; }));
    }
    CHECK(static_cast<double>(inOwnDomain) == Approx(0.75 * static_cast<double>(total)));
}

TEST_CASE_METHOD(SubsetFixture, "target subset, of a host with twice the weight, is about twice as large")
{
    const auto before = subset(hosts.front().id).size();
    hosts.front().weight = 2;
    CHECK(static_cast<double>(subset(hosts.front().id).size()) > 1.4 * static_cast<double>(before));
}

TEST_CASE("target subset, for any hosts and targets, covers each target and changes little if a target or host is removed")
{
    CHECK(rc::check("target subset property", [] {
        SubsetFixture fixture(*rc::gen::inRange<std::size_t>(2, 12), *rc::gen::inRange<std::size_t>(65, 150), *rc::gen::inRange<std::size_t>(1, 5));
        fixture.options.hostsPerTarget = *rc::gen::inRange<std::size_t>(1, 6);
        const auto before = fixture.hostsOfTargets();
        RC_ASSERT(before.size() == fixture.targets.size());
        for (const auto& [target, hosts] : before)
            RC_ASSERT(hosts.size() >= std::min(fixture.options.hostsPerTarget, fixture.hosts.size()));

        auto withoutTarget = fixture;
        withoutTarget.targets.erase(withoutTarget.targets.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, 65));
        for (const auto& host : fixture.hosts) {
            const auto old = fixture.subset(host.id);
            const auto now = withoutTarget.subset(host.id);
            RC_ASSERT(now.size() == withoutTarget.targets.size() || missingFrom(old, now) <= 1);
            RC_ASSERT(now.size() == withoutTarget.targets.size() || missingFrom(now, old) <= 1);
        }

        auto withoutHost = fixture;
        const auto removed = withoutHost.hosts.back().id;
        withoutHost.hosts.pop_back();
        for (const auto& host : withoutHost.hosts) {
            auto lost = fixture.subset(host.id);
            RC_ASSERT(missingFrom(lost, withoutHost.subset(host.id)) <= (lost.size() <= fixture.options.minimumSubsetSize ? lost.size() : 0));
        }
    }));
}
