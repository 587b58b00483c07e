#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/services/HttpClient.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// @file
/// The targets that have registered themselves, and which of them may receive requests.

namespace cicadalb {

/// @brief Registry entry that a target writes about itself.
struct RegisteredTarget {
    TargetId id;
    PoolName pool;
    Endpoint endpoint;
    FailureDomain failureDomain;
    /// Maximum number of requests that the target processes at the same time.
    unsigned slots = 1;
    /// The target is draining and receives no new requests.
    bool isDraining = false;
    /// Start time in Unix milliseconds; distinguishes restarts under the same id.
    Incarnation startedAt = 0;
    /// Loaded weight version of each model.
    std::map<std::string, WeightVersion> models;
    SoftwareVersion softwareVersion;
    /// The target may be taken away at short notice.
    bool isReclaimable = false;
    /// Time that was left to a leaving target when it wrote the entry, if it states one.
    std::optional<std::chrono::milliseconds> leavesWithin;
};

/// @brief The registered targets as last read by this host. Targets whose entries lapsed while the registry was unreachable register again
/// soon after its return, so that removals seen right after an outage take effect only after reregistrationGracePeriod. What a target has said in
/// an answer takes precedence over its entry, which may be out of date. Not thread-safe.
class TargetRegistry {
public:
    /// Time after the registry's return within which a missing target may register again (stated by the platform, with a margin).
    static constexpr std::chrono::milliseconds reregistrationGracePeriod { 2200 };
    /// Time for which a target stays marked as leaving; longer than any target takes to leave.
    static constexpr std::chrono::minutes leavingMarkRetention { 10 };

    /// @brief Replaces all targets. @param isAfterOutage whether entries may be missing only because the registry was unreachable
    void replace(std::vector<RegisteredTarget>, TimePoint now, bool isAfterOutage);
    void put(RegisteredTarget);
    /// @brief Excludes a target that has stated that it is leaving, until it registers a later start. @return whether it was usable before
    bool markLeaving(const RegisteredTarget&, TimePoint now);
    /// @param isAfterOutage as for replace()
    void remove(const TargetId&, TimePoint now, bool isAfterOutage);
    /// @brief Forgets old marks and removes missing targets that have not registered again in time. @return whether any was removed
    bool expire(TimePoint now);

    const std::map<TargetId, RegisteredTarget>& targets() const noexcept { return m_targets; }
    const RegisteredTarget* find(const TargetId&) const;
    /// @brief Targets of a pool that may receive new requests.
    std::vector<const RegisteredTarget*> usableTargets(const PoolName&) const;

private:
    std::map<TargetId, RegisteredTarget> m_targets;
    /// Missing targets that may register again, and until when they are kept.
    std::map<TargetId, TimePoint> m_missingUntil;
    struct LeavingMark {
        Incarnation startedAt = 0;
        TimePoint markedAt;
    };
    std::map<TargetId, LeavingMark> m_leaving;
};

} // namespace cicadalb
