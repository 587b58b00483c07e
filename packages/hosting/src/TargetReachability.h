#pragma once

#include "SiteDirectory.h"

#include "cicadalb/base/Random.h"
#include "cicadalb/base/Task.h"

#include <functional>
#include <memory>
#include <vector>

/// @file
/// Tells a host that is cut off from all targets from a target that has failed.

namespace cicadalb {

/// @brief Tries to connect to a target. @return whether it accepted the connection in time
using TargetProbe = std::function<Task<bool>(const Endpoint&, std::chrono::milliseconds timeout)>;

/// @brief After a failed attempt, tries to connect to a few other targets of any pool. If none accepts, the fault is this host's connection to the targets. A
/// host that is cut off tries again every probeInterval. Bound to one event loop.
class TargetReachability : public std::enable_shared_from_this<TargetReachability> {
public:
    /// Time allowed for a connection; a multiple of the round trip within a region.
    static constexpr std::chrono::milliseconds probeTimeout { 100 };
    static constexpr std::chrono::milliseconds probeInterval { 1000 };
    /// Time for which an answer of any target proves that targets can be reached.
    static constexpr std::chrono::milliseconds answerValidity { 100 };
    /// Number of targets that are tried at the same time.
    static constexpr std::size_t targetsPerProbe = 3;

    TargetReachability(boost::asio::any_io_executor, const SiteDirectory&, TargetProbe, const Clock&, std::uint64_t seed);

    /// @brief Whether no target could be reached when it was last tried.
    bool isCutOff() const noexcept { return m_cutOffSince.has_value(); }
    /// @brief Time for which no target could be reached; zero if one can.
    Duration cutOffTime() const { return m_cutOffSince ? m_clock.now() - *m_cutOffSince : Duration::zero(); }
    /// @brief Whether a target has answered lately or accepts a connection now.
    Task<bool> reachesTargets();
    /// @brief Records that a target has answered a request of this host.
    void recordAnswer();
    /// @brief Finds out, after an attempt at a target has failed, whether the fault is the connection of this host. @return isCutOff()
    Task<bool> examineFailure(TargetId failed);
    /// @brief Does the same without a result.
    void beginExamination(const TargetId& failed);

private:
    struct Probe;
    std::vector<Endpoint> drawTargets(const TargetId& excluded);
    Task<bool> reachesAny(std::vector<Endpoint>);
    Task<void> probePeriodically();
    void setReachable();

    boost::asio::any_io_executor m_executor;
    const SiteDirectory& m_directory;
    TargetProbe m_probe;
    const Clock& m_clock;
    Random m_random;
    std::optional<TimePoint> m_lastAnswerAt;
    std::optional<TimePoint> m_cutOffSince;
};

} // namespace cicadalb
