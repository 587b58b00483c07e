#pragma once

#include "cicadalb/base/Identifier.h"

#include <cstdint>
#include <string_view>
#include <vector>

/// @file
/// Rendezvous assignment of keys to hosts, weighted by host size.

namespace cicadalb {

/// @brief A host that can take assignments.
struct AssignableHost {
    HostId id;
    /// Relative size; larger hosts get more keys, a host of 0 gets none. Rounded to a quarter of an octave.
    double weight = 1.0;
    FailureDomain failureDomain;
};

/// @brief Assigns keys to hosts. When one host goes, only its own keys move; when one comes, keys move to it alone.
/// The same hosts give the same assignment, in whatever order they are named.
class Assignment {
public:
    explicit Assignment(std::vector<AssignableHost>);

    /// @brief The host of @p key, or null if there are no hosts. Complexity: linear in the number of hosts, with one logarithm for
    /// each distinct weight.
    const AssignableHost* hostOf(std::string_view key) const;
    /// @brief The first @p count hosts in order of preference. Complexity: linear in the number of hosts.
    std::vector<const AssignableHost*> preferredHosts(std::string_view key, std::size_t count) const;

    const std::vector<AssignableHost>& hosts() const noexcept { return m_hosts; }

private:
    /// Hosts of one weight lie together: among them the largest hash wins.
    struct WeightClass {
        double weight = 1.0;
        std::size_t begin = 0;
        std::size_t end = 0;
    };

    std::vector<AssignableHost> m_hosts;
    std::vector<std::uint64_t> m_seeds;
    std::vector<WeightClass> m_classes;
};

} // namespace cicadalb
