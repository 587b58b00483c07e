#include "cicadalb/membership/Assignment.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cicadalb {

namespace {

    constexpr double weightStepsPerOctave = 4.0;

    double roundedWeight(double weight)
    {
        return weight > 0 ? std::exp2(std::round(std::log2(weight) * weightStepsPerOctave) / weightStepsPerOctave) : 0.0;
    }

    /// The low bits of the hash of a key and a host are reserved for the index of the host, so that one maximum yields both hash and host.
    constexpr unsigned hostIndexBits = 20;
    constexpr std::uint64_t hostIndexMask = (std::uint64_t { 1 } << hostIndexBits) - 1;

    /// Combines the hashes of a key and a host: both halves of their 128-bit product, with the bits for the host index cleared.
    std::uint64_t combineHashes(std::uint64_t keyHash, std::uint64_t hostSeed) noexcept
    {
        __extension__ using Wide = unsigned __int128;
        const auto product = static_cast<Wide>(keyHash) * hostSeed;
        return (static_cast<std::uint64_t>(product) ^ static_cast<std::uint64_t>(product >> 64U)) & ~hostIndexMask;
    }

    /// Maps a hash to the open interval (0, 1).
    double unitInterval(std::uint64_t hash) noexcept
    {
        constexpr double scale = 1.0 / 9007199254740992.0;
        return (static_cast<double>(hash >> 11U) + 0.5) * scale;
    }

    /// Weighted rendezvous score: the host with the highest score wins, with a probability proportional to its weight. Increases with the hash.
    double score(std::uint64_t hash, double weight) noexcept
    {
        return -weight / std::log(unitInterval(hash));
    }

} // namespace

Assignment::Assignment(std::vector<AssignableHost> hosts)
    : m_hosts(std::move(hosts))
{
    for (auto& host : m_hosts)
        host.weight = roundedWeight(host.weight);
    std::erase_if(m_hosts, [](const AssignableHost& host) { return host.weight <= 0; });
    std::sort(m_hosts.begin(), m_hosts.end(),
        [](const auto& left, const auto& right) { return std::tie(left.weight, left.id) < std::tie(right.weight, right.id); });
    m_seeds.reserve(m_hosts.size());
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        m_seeds.push_back(placementHash(m_hosts[i].id.value()) | 1U);
        if (m_weightClasses.empty() || m_weightClasses.back().weight != m_hosts[i].weight)
            m_weightClasses.push_back(WeightClass { m_hosts[i].weight, i, i });
        m_weightClasses.back().end = i + 1;
    }
}

const AssignableHost* Assignment::hostOf(std::string_view key) const
{
    const auto keyHash = placementHash(key) | 1U;
    const AssignableHost* best = nullptr;
    double bestScore = -1;
    for (const auto& weightClass : m_weightClasses) {
        std::uint64_t highest = 0;
        for (std::size_t i = weightClass.begin; i < weightClass.end; ++i)
            highest = std::max(highest, combineHashes(keyHash, m_seeds[i]) | i);
        const double candidate = score(highest & ~hostIndexMask, weightClass.weight);
        if (candidate >= bestScore) {
            best = &m_hosts[highest & hostIndexMask];
            bestScore = candidate;
        }
    }
    return best;
}

std::vector<const AssignableHost*> Assignment::preferredHosts(std::string_view key, std::size_t count) const
{
    struct Ranked {
        double score = 0;
        const AssignableHost* host = nullptr;
    };
    const auto keyHash = placementHash(key) | 1U;
    std::vector<Ranked> ranked;
    ranked.reserve(m_hosts.size());
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        ranked.push_back(Ranked { score(combineHashes(keyHash, m_seeds[i]), m_hosts[i].weight), &m_hosts[i] });
    const auto taken = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(taken), ranked.end(),
        [](const Ranked& left, const Ranked& right) { return std::tie(right.score, right.host) < std::tie(left.score, left.host); });
    std::vector<const AssignableHost*> preferred;
    for (std::size_t i = 0; i < taken; ++i)
        preferred.push_back(ranked[i].host);
    return preferred;
}

} // namespace cicadalb
