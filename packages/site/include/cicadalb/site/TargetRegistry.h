#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/services/HttpClient.h"
#include "cicadalb/services/KeyValueService.h"

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
    /// Number of the report that the entry stems from, counted from the target's start, if it states one. Not every report changes the entry.
    std::optional<std::uint64_t> reportNumber;
    /// Revision of the entry in the store; 0 if unknown.
    Revision revision = 0;
    /// Loaded weight version of each model.
    std::map<std::string, WeightVersion> models;
    SoftwareVersion softwareVersion;
    /// The target may be taken away at short notice.
    bool isReclaimable = false;
    /// Time that was left to a leaving target when it wrote the entry, if it states one.
    std::optional<std::chrono::milliseconds> leavesWithin;
};

/// @brief Circumstances of a change of the registry.
struct RegistryReading {
    /// Revision of the store that the change shows; 0 if unknown.
    Revision revision = 0;
    TimePoint now {};
    /// Time for which a missing entry may still return, since it may have lapsed while the registry was unreachable; zero: it is gone.
    Duration mayReturnWithin {};
};

/// @brief The registered targets as last read by this host. Targets whose entries lapsed while the registry was unreachable register again
/// soon after its return, so that removals seen right after an outage take effect only reregistrationGracePeriod after the registry's return. What a target has said in
/// an answer takes precedence over its entry, which may be out of date. A report that the store carries out late does not replace a newer one, nor an entry's
/// removal. Not thread-safe.
class TargetRegistry {
public:
    /// Time after the registry's return within which a missing target may register again (stated by the platform, with a margin).
    static constexpr std::chrono::milliseconds reregistrationGracePeriod { 2200 };
    /// Time for which a target stays marked as leaving; longer than any target takes to leave.
    static constexpr std::chrono::minutes leavingMarkRetention { 10 };
    /// Time for which older reports than the newest one are recognised; longer than a call to the store takes to be carried out.
    static constexpr std::chrono::minutes reportRetention { 10 };
    /// A report with a number lower by more than this is not late but of a later start, if neither states its start.
    static constexpr std::uint64_t maximumLateReports = 16;

    /// @brief Replaces all targets, as a read of all entries shows them.
    void replace(std::vector<RegisteredTarget>, const RegistryReading&);
    /// @brief Adds or changes a target, unless the entry is older than what is known of the target.
    void put(RegisteredTarget, TimePoint now);
    /// @brief Whether an entry is older than what is known of its target, and so does not show the target's state.
    bool isOutdated(const RegisteredTarget&, TimePoint now) const;
    /// @brief Excludes a target that has stated that it is leaving, until it registers a later start. @return whether it was usable before
    bool markLeaving(const RegisteredTarget&, TimePoint now);
    /// @brief Removes a target, unless its entry was written after the removal that the reading shows.
    void remove(const TargetId&, const RegistryReading&);
    /// @brief Forgets old marks and removes missing targets that have not registered again in time. @return whether any was removed
    bool expire(TimePoint now);

    const std::map<TargetId, RegisteredTarget>& targets() const noexcept { return m_targets; }
    const RegisteredTarget* find(const TargetId&) const;
    /// @brief Targets of a pool that may receive new requests.
    std::vector<const RegisteredTarget*> usableTargets(const PoolName&) const;

private:
    /// The newest report of a target, which may have been removed since.
    struct NewestReport {
        Incarnation startedAt = 0;
        std::optional<std::uint64_t> number;
        /// Revision of the entry or of its removal.
        Revision revision = 0;
        TimePoint knownSince;
    };

    void erase(const TargetId&);

    std::map<TargetId, RegisteredTarget> m_targets;
    std::map<TargetId, NewestReport> m_newestReports;
    /// Missing targets that may register again, and until when they are kept.
    std::map<TargetId, TimePoint> m_missingUntil;
    struct LeavingMark {
        Incarnation startedAt = 0;
        TimePoint markedAt;
    };
    std::map<TargetId, LeavingMark> m_leaving;
};

} // namespace cicadalb
