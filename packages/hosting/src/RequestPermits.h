#pragma once

#include "HostCall.h"
#include "PermitMessages.h"

#include "cicadalb/base/Task.h"
#include "cicadalb/services/HttpClient.h"
#include "cicadalb/site/SiteProtocol.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <optional>

/// @file
/// Keeps the requests of all hosts together to the limits that targets state.

namespace cicadalb {

/// @brief Sends one request for permits to one candidate for coordination and returns its reply.
using PermitExchange = std::function<Task<Result<PermitReply>>(std::size_t candidate, PermitRequest)>;

/// @brief Returns an exchange that asks the candidates over HTTP. @param unlisted the coordinator if it is none of these, the candidate after the last of the endpoints
PermitExchange makeHttpPermitExchange(const boost::asio::any_io_executor&, const std::vector<Endpoint>&, EndpointSource unlisted);

struct RequestPermitsSettings {
    HostId host;
    /// Number of other processes that may be asked.
    std::size_t candidateCount = 0;
};

struct PermitDecision {
    bool isGranted = false;
    /// If granted: time that the request has to wait. If not: time until the target accepts one more request.
    Duration wait {};
};

/// @brief A target's limit holds for all hosts together, so that one process, the coordinator, gives out permits for its targets: each host sends only
/// what it has a permit for. A host that reaches no coordinator uses a fixed part of half of the limit, by the number of hosts that the coordinator stated
/// last; so the hosts without a coordinator and a coordinator that serves the others stay below one and a half times the limit. Limits are learned from answers, by each
/// host alone. Bound to one event loop.
class RequestPermits {
public:
    /// Time allowed for a reply.
    static constexpr std::chrono::milliseconds replyTimeout { 150 };
    /// Interval between searches for the coordinator.
    static constexpr std::chrono::milliseconds searchInterval { 200 };
    /// Share of a limit that all hosts without a coordinator use together.
    static constexpr double shareWithoutCoordinator = 0.5;
    /// A host without a coordinator tells its callers to return after this time at most, since a coordinator is usually found by then.
    static constexpr std::chrono::milliseconds longestWaitWithoutCoordinator { 500 };
    /// Time for which a host counts after its last question.
    static constexpr std::chrono::seconds hostRetention { 60 };
    /// Permits are given out for this time at once, to all hosts together, and expire after permitLifetime.
    static constexpr std::chrono::milliseconds batchTime { 100 };
    static constexpr std::chrono::milliseconds permitLifetime { 1000 };

    RequestPermits(boost::asio::any_io_executor, RequestPermitsSettings, PermitExchange, const SiteProtocol&, const Clock&);

    /// @brief Applies what an answer of a target states about its limit. @param sentAt when the answer's request was sent
    void observe(const RegisteredTarget&, AnswerKind, const HttpFields&, TimePoint sentAt);
    bool isLimited(const RegisteredTarget&) const;
    /// @brief Asks for permission to send a request to a target. @param maximumWait longest time that the request can wait
    Task<PermitDecision> acquire(const RegisteredTarget&, Duration maximumWait);
    /// @brief Targets to which no request can be sent within @p maximumWait, as far as is known here.
    std::vector<TargetId> exhaustedTargets(Duration maximumWait) const;
    /// @brief Forgets targets that have left the registry.
    void retain(const TargetRegistry&);

    // The coordinator
    /// @brief Starts to give out permits.
    void beginGranting();
    void endGranting();
    PermitReply answer(const PermitRequest&);
    bool isGranting() const noexcept { return m_isGranting; }
    /// @brief Number of other hosts that have asked this process for permits lately.
    std::size_t askingHosts() const noexcept { return m_askingHosts.size(); }
    /// @brief Whether permits are given out here or another process that does so is known.
    bool hasCoordinator() const noexcept { return m_isGranting || m_coordinator.has_value(); }
    /// @brief The limits known here, with this process's share of them.
    TargetRateLimits& limits() noexcept { return m_limits; }
    const TargetRateLimits& limits() const noexcept { return m_limits; }

private:
    /// What a host knows from the replies about one target.
    struct Allowance {
        unsigned permits = 0;
        TimePoint permitsExpireAt;
        TimePoint exhaustedUntil;
    };

    Task<std::optional<PermitDecision>> askCoordinator(const RegisteredTarget&, double requestsPerSecond, Duration maximumWait);
    void searchCoordinator();
    Task<void> askWhetherGranting(std::size_t candidate);
    void setCoordinator(std::optional<std::size_t>);
    void updateShare();
    void recordHostCount(unsigned);
    unsigned countHosts();
    PermitDecision reserve(const TargetId&, Duration maximumWait);
    void logChange(TargetRateLimits::Change, const RegisteredTarget&, double requestsPerSecond) const;

    boost::asio::any_io_executor m_executor;
    RequestPermitsSettings m_settings;
    PermitExchange m_exchange;
    const SiteProtocol& m_protocol;
    const Clock& m_clock;
    TargetRateLimits m_limits;
    bool m_isGranting = false;
    /// The candidate that grants permits, if known.
    std::optional<std::size_t> m_coordinator;
    TimePoint m_nextSearchAt;
    /// Number of hosts as stated by a coordinator; 0 if unknown. Kept for hostRetention if a later one states fewer.
    unsigned m_hostCount = 0;
    TimePoint m_hostCountStatedAt;
    std::map<TargetId, Allowance> m_allowances;
    /// Hosts that have asked this process, and when they did last.
    std::map<HostId, TimePoint> m_askingHosts;
};

} // namespace cicadalb
