#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/services/HttpClient.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The targets that have registered themselves, and which of them may receive requests.

namespace cicadalb {

/// @brief A target's own entry.
struct RegisteredTarget {
    TargetId id;
    PoolName pool;
    Endpoint endpoint;
    FailureDomain failureDomain;
    /// Requests that it works on at once.
    unsigned slots = 1;
    /// It receives no new requests.
    bool isLeaving = false;
    /// When it started, in Unix milliseconds; tells two lives of one id apart.
    Incarnation startedAt = 0;
    /// Version of the weights of each model that it holds.
    std::map<std::string, WeightVersion> models;
};

/// @brief The registry as this host last saw it. Entries that lapsed while the registry could not be read come back by themselves
/// soon after its return, so that removals found then are held back for a while. Not thread-safe.
class TargetRegistry {
public:
    /// How long after the registry's return a missing entry may still come back (stated by the platform, with a margin).
    static constexpr std::chrono::milliseconds returnTime { 2200 };

    /// @brief Takes over a complete list. @param afterOutage whether entries may be missing only because the registry was away
    void replace(std::vector<RegisteredTarget>, TimePoint now, bool afterOutage);
    void put(RegisteredTarget);
    /// @param afterOutage as for replace()
    void remove(const TargetId&, TimePoint now, bool afterOutage);
    /// @brief Drops what has not come back. @return whether anything changed
    bool expire(TimePoint now);

    const std::map<TargetId, RegisteredTarget>& targets() const noexcept { return m_targets; }
    const RegisteredTarget* find(const TargetId&) const;
    /// @brief Those of @p pool that may receive new requests.
    std::vector<const RegisteredTarget*> usable(const PoolName&) const;

private:
    std::map<TargetId, RegisteredTarget> m_targets;
    /// Missing entries that may come back, and until when they count.
    std::map<TargetId, TimePoint> m_missing;
};

} // namespace cicadalb
