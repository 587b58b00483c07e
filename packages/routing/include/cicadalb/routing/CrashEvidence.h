#pragma once

#include "cicadalb/base/Identifier.h"
#include "cicadalb/routing/TargetRateLimits.h"

#include <chrono>
#include <map>
#include <set>
#include <utility>
#include <vector>

/// @file
/// Which requests were running on targets that crashed, and which of them crash the targets themselves.

namespace cicadalb {

/// Hash of what is equal each time the same caller sends the same request.
using RequestFingerprint = Identifier<struct RequestFingerprintTag>;

/// @brief Requests of one host that were running on a target when it crashed.
struct CrashReport {
    TargetStart target;
    HostId host;
    /// Unix time of the crash.
    std::chrono::milliseconds crashedAt { 0 };
    std::set<RequestFingerprint> requests;
};

/// @brief A request under which targets have crashed.
struct SuspectRequest {
    RequestFingerprint request;
    /// Number of targets that crashed while they ran the request; each start of a target counts.
    unsigned crashes = 0;
    /// The request is not sent to targets.
    bool isBlocked = false;
};

/// @brief Reports of all hosts about crashed targets. A target that crashes takes harmless requests with it, and these may meet the request that crashes targets
/// again at the next one. So a request is blocked only if it was running at every crash that any other suspect was running at, and at one more, or if
/// it has been at so many crashes that this cannot be chance. A request that has been answered once is harmless, whatever the reports say. Not thread-safe.
class CrashEvidence {
public:
    /// A request is blocked after this many crashes if it explains them better than any other ...
    static constexpr unsigned crashesToBlock = 3;
    /// ... and after this many in any case.
    static constexpr unsigned crashesToBlockAnyway = 5;

    void add(const CrashReport&);
    void remove(const TargetStart&, const HostId&);
    /// @brief Marks a request as harmless, or removes that mark.
    void setHarmless(const RequestFingerprint&, bool isHarmless);
    /// @brief Removes a request from all reports.
    void removeRequest(const RequestFingerprint&);
    void clear();

    /// @brief The suspicion against a request; no crashes if there is none.
    SuspectRequest suspicion(const RequestFingerprint&) const;
    /// @brief All requests with at least @p minimumCrashes, those with the most crashes first, @p maximumCount at most.
    std::vector<SuspectRequest> suspects(unsigned minimumCrashes, std::size_t maximumCount) const;
    bool isEmpty() const noexcept { return m_reports.empty(); }

private:
    using Start = std::pair<TargetId, Incarnation>;
    void update();

    std::map<std::pair<Start, HostId>, std::set<RequestFingerprint>> m_reports;
    std::set<RequestFingerprint> m_harmless;
    std::map<RequestFingerprint, SuspectRequest> m_suspects;
};

} // namespace cicadalb
