#include "cicadalb/routing/TargetSubset.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace cicadalb {

namespace {

    /// A host with the seed of its rendezvous hash.
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

    /// Weighted rendezvous score: the host with the highest score wins, with a probability proportional to its weight.
    double rendezvousScore(const Target& target, const SeededHost& seeded)
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

    /// Failure domains in the order of the target's preference: its own, then the others by rendezvous hash.
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

    /// True if @p ownId is among the @p count hosts of the failure domain with the highest scores for the target.
    bool isPreferred(const HostId& ownId, const Target& target, const DomainHosts& domain, std::size_t count)
    {
        const auto& hosts = domain.hosts;
        const auto self = std::find_if(hosts.begin(), hosts.end(), [&](const auto& seeded) { return seeded.host->id == ownId; });
        if (self == hosts.end())
            return false;
        const auto ownScore = rendezvousScore(target, *self);
        const auto higherScores = std::count_if(hosts.begin(), hosts.end(), [&](const auto& seeded) { return rendezvousScore(target, seeded) > ownScore; });
        return static_cast<std::size_t>(higherScores) < count;
    }

    bool sendsTo(const HostId& ownId, const Target& target, const std::vector<DomainHosts>& domains, std::size_t hostsPerTarget)
    {
        const auto order = domainsByPreference(target, domains);
        auto needed = hostsPerTarget;
        for (std::size_t i = 0; i < order.size() && needed > 0; ++i) {
            const bool isFirstOfSeveral = i == 0 && order.size() > 1;
            const auto neededInDomain = isFirstOfSeveral ? needed - needed / 3 : needed;
            const auto count = std::min(neededInDomain, order[i]->hosts.size());
            if (isPreferred(ownId, target, *order[i], count))
                return true;
            needed -= count;
        }
        return false;
    }

    /// Adds targets, in an order specific to the host, until @p size are chosen.
    void fillToSize(std::vector<bool>& isChosen, const HostId& ownId, const std::vector<Target>& targets, std::size_t size)
    {
        std::vector<std::size_t> unchosen;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            if (!isChosen[i])
                unchosen.push_back(i);
        }
        const auto chosen = targets.size() - unchosen.size();
        if (chosen >= size)
            return;
        const auto seed = placementHash(ownId.value());
        std::sort(unchosen.begin(), unchosen.end(), [&](std::size_t left, std::size_t right) {
            return placementHash(targets[left].id.value(), seed) < placementHash(targets[right].id.value(), seed);
        });
        unchosen.resize(std::min(unchosen.size(), size - chosen));
        for (const auto index : unchosen)
            isChosen[index] = true;
    }

} // namespace

std::vector<Target> targetSubset(const HostId& ownId, const std::vector<SubsetHost>& hosts, const std::vector<Target>& targets, const SubsetOptions& options)
{
    if (targets.size() <= options.maximumUndividedPoolSize)
        return targets;
    const auto domains = groupByDomain(hosts);
    std::vector<bool> isChosen(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i)
        isChosen[i] = sendsTo(ownId, targets[i], domains, options.hostsPerTarget);
    fillToSize(isChosen, ownId, targets, options.minimumSubsetSize);
    std::vector<Target> subset;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (isChosen[i])
            subset.push_back(targets[i]);
    }
    return subset;
}

} // namespace cicadalb
