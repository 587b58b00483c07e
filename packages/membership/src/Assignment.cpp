#include "cicadalb/membership/Assignment.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace cicadalb {

namespace {

    /// Maps a hash to (0, 1).
    double unitInterval(std::uint64_t hash) noexcept
    {
        constexpr double scale = 1.0 / 9007199254740992.0;
        return (static_cast<double>(hash >> 11) + 0.5) * scale;
    }

    /// Weighted rendezvous score: the highest wins, in proportion to the weights.
    double score(std::string_view key, std::uint64_t hostSeed, double weight) noexcept
    {
        return -weight / std::log(unitInterval(placementHash(key, hostSeed)));
    }

} // namespace

Assignment::Assignment(std::vector<AssignableHost> hosts)
    : m_hosts(std::move(hosts))
{
    m_seeds.reserve(m_hosts.size());
    for (const auto& host : m_hosts)
        m_seeds.push_back(placementHash(host.id.value()));
}

const AssignableHost* Assignment::hostOf(std::string_view key) const
{
    const AssignableHost* best = nullptr;
    double bestScore = -1;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        const double candidate = score(key, m_seeds[i], m_hosts[i].weight);
        if (candidate > bestScore) {
            best = &m_hosts[i];
            bestScore = candidate;
        }
    }
    return best;
}

std::vector<const AssignableHost*> Assignment::preferredHosts(std::string_view key, std::size_t count) const
{
    std::vector<std::pair<double, const AssignableHost*>> ranked;
    ranked.reserve(m_hosts.size());
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        ranked.emplace_back(score(key, m_seeds[i], m_hosts[i].weight), &m_hosts[i]);
    const auto taken = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(taken), ranked.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<const AssignableHost*> preferred;
    for (std::size_t i = 0; i < taken; ++i)
        preferred.push_back(ranked[i].second);
    return preferred;
}

} // namespace cicadalb
