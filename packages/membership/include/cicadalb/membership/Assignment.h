#pragma once

#include "cicadalb/base/Identifier.h"

#include <cstdint>
#include <string_view>
#include <vector>

/// @file
/// Rendezvous assignment of keys to hosts, weighted by host size.

namespace cicadalb {

/// @brief A host to which keys can be assigned.
struct AssignableHost {
    HostId id;
    /// Relative size: hosts get keys in proportion to it, and none if it is 0. Rounded to the nearest power of 2^(1/4).
    double weight = 1.0;
    FailureDomain failureDomain;
};

/// @brief Assigns keys to hosts. If a host is removed, only its keys move; if a host is added, keys move only to it.
/// The assignment does not depend on the order of the hosts.
class Assignment {
public:
    explicit Assignment(std::vector<AssignableHost>);

    /// @brief The host of @p key, or null if there are no hosts. Complexity: linear in the number of hosts, with one logarithm for
    /// each distinct weight.
    const AssignableHost* hostOf(std::string_view key) const;
    /// @brief The first @p count hosts for @p key in order of preference. Complexity: linear in the number of hosts.
    std::vector<const AssignableHost*> preferredHosts(std::string_view key, std::size_t count) const;

    const std::vector<AssignableHost>& hosts() const noexcept { return m_hosts; }

private:
    /// Range of the hosts with one weight in m_hosts. Among them the host with the highest hash wins.
    struct WeightClass {
        double weight = 1.0;
        std::size_t begin = 0;
        std::size_t end = 0;
    };

    std::vector<AssignableHost> m_hosts;
    std::vector<std::uint64_t> m_seeds;
    std::vector<WeightClass> m_weightClasses;
};

} // namespace cicadalb
