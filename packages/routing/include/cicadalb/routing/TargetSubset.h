#pragma once

#include "cicadalb/config/Tables.h"

#include <cstddef>
#include <vector>

/// @file
/// Which targets of a large pool an entry host sends to, so that neither keeps a connection to every other.

namespace cicadalb {

/// @brief An entry host that shares the targets.
struct SubsetHost {
    HostId id;
    FailureDomain failureDomain;
    /// Relative size; larger hosts get more targets.
    double weight = 1.0;
};

struct SubsetOptions {
    /// A pool of up to so many targets is used whole.
    std::size_t wholePool = 64;
    /// Hosts that send to one target: most in its own failure domain, a third at most in one other domain.
    std::size_t hostsPerTarget = 8;
    /// A host that got fewer targets takes more, by its own order.
    std::size_t smallestSubset = 16;
};

/// @brief The targets that @p own sends to, in the order of the pool. The same on every host that knows the same hosts. Each target
/// has at least hostsPerTarget hosts (or all). When a target goes, only its own hosts change theirs; when a host goes, only its targets get another.
/// Complexity: targets times hosts of two failure domains.
std::vector<Target> targetSubset(const HostId& own, const std::vector<SubsetHost>&, const std::vector<Target>&, const SubsetOptions& = {});

} // namespace cicadalb
