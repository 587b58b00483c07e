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
    /// Relative size; larger hosts get more keys.
    double weight = 1.0;
    FailureDomain failureDomain;
};

/// @brief Assigns keys to hosts. When one host goes, only its own keys move.
class Assignment {
public:
    explicit Assignment(std::vector<AssignableHost>);

    /// @brief The host of @p key, or null if there are no hosts. Complexity: linear in the number of hosts.
    const AssignableHost* hostOf(std::string_view key) const;
    /// @brief The first @p count hosts in order of preference.
    std::vector<const AssignableHost*> preferredHosts(std::string_view key, std::size_t count) const;

    const std::vector<AssignableHost>& hosts() const noexcept { return m_hosts; }

private:
    std::vector<AssignableHost> m_hosts;
    std::vector<std::uint64_t> m_seeds;
};

} // namespace cicadalb
