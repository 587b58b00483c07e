#pragma once

#include "cicadalb/config/Tables.h"

#include <cstddef>
#include <vector>

/// @file
/// Chooses the targets of a large pool that an entry host sends to, to limit the connections of each host and each target.

namespace cicadalb {

/// @brief An entry host that takes part in the division of the targets.
struct SubsetHost {
    HostId id;
    FailureDomain failureDomain;
    /// Relative size; larger hosts get more targets.
    double weight = 1.0;
};

struct SubsetOptions {
    /// Pools with at most this many targets are not divided: every host sends to all their targets.
    std::size_t maximumUndividedPoolSize = 64;
    /// Number of hosts that send to each target. If there are enough hosts, at most a third of them are in one other failure domain and the
    /// rest in the failure domain of the target.
    std::size_t hostsPerTarget = 8;
    /// A host with fewer targets adds others, in an order specific to the host.
    std::size_t minimumSubsetSize = 16;
};

/// @brief The targets that @p ownId sends to, in the order of the pool. All hosts that know the same hosts compute the same division. Each
/// target has at least hostsPerTarget hosts, or all. If a target is removed, only the subsets of its hosts change; if a host is removed, only
/// its targets get another host. Complexity: number of targets times number of hosts in two failure domains.
std::vector<Target> targetSubset(const HostId& ownId, const std::vector<SubsetHost>&, const std::vector<Target>&, const SubsetOptions& = {});

} // namespace cicadalb
