#include "cicadalb/routing/OrganisationShares.h"

#include <algorithm>

namespace cicadalb {

namespace {

    struct Bounds {
        double floor = 0;
        OrganisationDemand demand;

        double rateAt(double level) const { return std::max(floor, std::min(demand.requestsPerSecond, demand.weight * level)); }
    };

    /// The rate for each unit of weight at which all rates together are the available one, by bisection.
    double levelOf(const std::vector<Bounds>& bounds, double turnsPerSecond)
    {
        constexpr int steps = 40;
        double low = 0;
        double high = 0;
        for (const auto& entry : bounds)
            high = std::max(high, entry.demand.requestsPerSecond / entry.demand.weight);
        for (int step = 0; step < steps; ++step) {
            const auto middle = (low + high) / 2;
            double sum = 0;
            for (const auto& entry : bounds)
                sum += entry.rateAt(middle);
            (sum < turnsPerSecond ? low : high) = middle;
        }
        return high;
    }

} // namespace

std::vector<double> turnCosts(std::span<const OrganisationDemand> demands, double turnsPerSecond)
{
    double total = 0;
    for (const auto& demand : demands)
        total += demand.requestsPerSecond;
    std::vector<double> costs;
    costs.reserve(demands.size());
    if (turnsPerSecond <= 0 || total <= turnsPerSecond) {
        for (const auto& demand : demands)
            costs.push_back(1 / demand.weight);
        return costs;
    }
    std::vector<Bounds> bounds;
    bounds.reserve(demands.size());
    for (const auto& demand : demands)
        bounds.push_back({ leastServedRatio * turnsPerSecond * demand.requestsPerSecond / total, demand });
    const auto level = levelOf(bounds, turnsPerSecond);
    for (const auto& entry : bounds)
        costs.push_back(entry.floor > entry.demand.weight * level ? level / entry.floor : 1 / entry.demand.weight);
    return costs;
}

OrganisationWeights siteWeights(const std::map<OrganisationName, std::uint64_t>& here, const std::map<OrganisationName, std::uint64_t>& site, std::size_t hosts)
{
    OrganisationWeights weights;
    const auto least = 1.0 / static_cast<double>(std::max<std::size_t>(hosts, 1));
    for (const auto& [organisation, total] : site) {
        if (total == 0)
            continue;
        const auto found = here.find(organisation);
        const auto own = found == here.end() ? 0.0 : static_cast<double>(found->second);
        weights[organisation] = std::clamp(own / static_cast<double>(total), least, 1.0);
    }
    return weights;
}

} // namespace cicadalb
