#include "cicadalb/routing/TargetSubset.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace cicadalb {

namespace {

    /// A host with its seed for rendezvous.
    struct SeededHost {
        const SubsetHost* host;
        std::uint64_t seed;
    };

    /// Hosts of one failure domain.
    struct DomainHosts {
        FailureDomain name;
        std::uint64_t seed;
        std::vector<SeededHost> hosts;
    };

    /// Weighted rendezvous: the highest preference wins, in proportion to the weights.
    double preference(const Target& target, const SeededHost& seeded)
    {
        constexpr double hashRange = 18446744073709551616.0;
        const auto hash = static_cast<double>(placementHash(target.id.value(), seeded.seed));
        return std::log((hash + 1) / hashRange) / seeded.host->weight;
    }

    std::vector<DomainHosts> groupByDomain(const std::vector<SubsetHost>& hosts)
    {
        std::vector<DomainHosts> domains;
        for (const auto& host : hosts) {
            auto found = std::find_if(domains.begin(), domains.end(), [&](const auto& domain) { return domain.name == host.failureDomain; });
            if (found == domains.end())
                found = domains.insert(domains.end(), { host.failureDomain, placementHash(host.failureDomain.value()), {} });
            found->hosts.push_back({ &host, placementHash(host.id.value()) });
        }
        return domains;
    }

    /// Domains in the order in which the target uses them: its own, then by rendezvous.
    std::vector<const DomainHosts*> domainsByPreference(const Target& target, const std::vector<DomainHosts>& domains)
    {
        std::vector<const DomainHosts*> order;
        order.reserve(domains.size());
        order.reserve(domains.size());
        for (const auto& domain : domains)
            order.push_back(&domain);
        const auto rank = [&](const DomainHosts* domain) {
            const bool isOther = domain->name != target.failureDomain;
            return std::pair(isOther, placementHash(target.id.value(), domain->seed));
        };
        std::sort(order.begin(), order.end(), [&](const auto* left, const auto* right) { return rank(left) < rank(right); });
        return order;
    }

    /// True if @p own is among the @p count hosts of the domain that the target prefers.
    bool isPreferred(const HostId& own, const Target& target, const DomainHosts& domain, std::size_t count)
    {
        const auto& hosts = domain.hosts;
        const auto self = std::find_if(hosts.begin(), hosts.end(), [&](const auto& seeded) { return seeded.host->id == own; });
        if (self == hosts.end())
            return false;
        const auto ownPreference = preference(target, *self);
        const auto before = std::count_if(hosts.begin(), hosts.end(), [&](const auto& seeded) { return preference(target, seeded) > ownPreference; });
        return static_cast<std::size_t>(before) < count;
    }

    bool sendsTo(const HostId& own, const Target& target, const std::vector<DomainHosts>& domains, std::size_t hostsPerTarget)
    {
        const auto order = domainsByPreference(target, domains);
        auto missing = hostsPerTarget;
        for (std::size_t i = 0; i < order.size() && missing > 0; ++i) {
            const bool isFirstOfSeveral = i == 0 && order.size() > 1;
            const auto wanted = isFirstOfSeveral ? missing - missing / 3 : missing;
            const auto count = std::min(wanted, order[i]->hosts.size());
            if (isPreferred(own, target, *order[i], count))
                return true;
            missing -= count;
        }
        return false;
    }

    /// Adds targets by the host's own order until @p size are chosen.
    void fillUp(std::vector<bool>& isChosen, const HostId& own, const std::vector<Target>& targets, std::size_t size)
    {
        std::vector<std::size_t> others;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            if (!isChosen[i])
                others.push_back(i);
        }
        const auto chosen = targets.size() - others.size();
        if (chosen >= size)
            return;
        const auto seed = placementHash(own.value());
        std::sort(others.begin(), others.end(), [&](std::size_t left, std::size_t right) {
            return placementHash(targets[left].id.value(), seed) < placementHash(targets[right].id.value(), seed);
        });
        others.resize(std::min(others.size(), size - chosen));
        for (const auto index : others)
            isChosen[index] = true;
    }

} // namespace

std::vector<Target> targetSubset(const HostId& own, const std::vector<SubsetHost>& hosts, const std::vector<Target>& targets, const SubsetOptions& options)
{
    if (targets.size() <= options.wholePool)
        return targets;
    const auto domains = groupByDomain(hosts);
    std::vector<bool> isChosen(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i)
        isChosen[i] = sendsTo(own, targets[i], domains, options.hostsPerTarget);
    fillUp(isChosen, own, targets, options.smallestSubset);
    std::vector<Target> subset;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (isChosen[i])
            subset.push_back(targets[i]);
    }
    return subset;
}

} // namespace cicadalb
