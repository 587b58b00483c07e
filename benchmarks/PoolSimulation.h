#pragma once

#include "PoolScenario.h"

#include "cicadalb/base/Random.h"
#include "cicadalb/routing/PoolBalancer.h"
#include "cicadalb/routing/RetryBudget.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

/// @file
/// Discrete-event simulation of entry hosts, each with its own balancer, and targets that run a fixed number of requests at once.
/// It opens no sockets.

namespace cicadalb::simulation {

/// @brief One run of a scenario; the same seed gives the same run.
class PoolSimulation {
public:
    static constexpr std::size_t targetCount = 24;
    static constexpr std::array<double, 8> hostArrivalWeights = { 1, 1, 1, 2, 2, 2, 4, 4 };

    explicit PoolSimulation(Scenario scenario)
        : m_scenario(std::move(scenario))
        , m_random(m_scenario.seed)
    {
        for (std::size_t i = 0; i < targetCount; ++i) {
            m_targets[i].meanServiceSeconds = m_scenario.fastestServiceTime.count() * std::pow(m_scenario.slowestToFastestRatio, static_cast<double>(i % 3) / 2);
            m_targets[i].domain = (i / 3) % 3;
            m_result.capacity += slotsPerTarget / m_targets[i].meanServiceSeconds;
        }
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            m_hosts[i] = makeHost(i);
        m_result.streams.resize(m_scenario.streams.size());
        m_result.servedByTarget.resize(targetCount);
    }

    RunResult run()
    {
        for (std::size_t i = 0; i < targetCount; ++i)
            schedule(reportInterval * randomUnit(m_random), [this, i] { sendLoadReports(i); });
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            tick(i);
            for (std::size_t stream = 0; stream < m_scenario.streams.size(); ++stream)
                schedule(Seconds(0), [this, i, stream] { handleArrival(i, stream); });
        }
        schedule(m_scenario.warmUp, [this] { sampleLoad(); });
        schedule(m_scenario.duration / 2, [this] { injectFault(); });
        auto longestTimeout = Seconds(0);
        for (const auto& stream : m_scenario.streams)
            longestTimeout = std::max(longestTimeout, stream.timeout);
        while (m_events.top().time - startTime < m_scenario.duration + longestTimeout) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        m_result.inTimeAnswersPerSecond /= (m_scenario.duration - m_scenario.warmUp).count();
        m_result.loadImbalance /= m_loadSampleCount;
        m_result.forwardedInFlight /= m_loadSampleCount;
        return std::move(m_result);
    }

private:
    static constexpr TimePoint startTime { std::chrono::hours(1) };
    static constexpr unsigned slotsPerTarget = 8;
    static constexpr Seconds reportInterval { 0.5 };
    static constexpr Seconds tickInterval { 0.005 };

    struct Request {
        std::size_t stream = 0;
        std::size_t entryHost = 0;
        /// The host whose balancer admits the request and picks its target.
        std::size_t decidingHost = 0;
        TimePoint arrivedAt;
        TimePoint dispatchedAt;
        RequestRequirements requirements;
        std::size_t target = 0;
        unsigned attempt = 0;
        bool isRunning = false;
    };
    using RequestPointer = std::shared_ptr<Request>;
    struct SimulatedTarget {
        double meanServiceSeconds = 0;
        std::size_t domain = 0;
        unsigned running = 0;
        std::deque<std::function<void()>> waiting;
        bool isDown = false;
        bool isReturningErrors = false;
    };
    struct SimulatedHost {
        std::unique_ptr<PoolBalancer> balancer;
        std::unordered_map<QueueTicket, RequestPointer> queuedRequests;
        RetryBudget retryBudget { 10 };
        std::size_t domain = 0;
        double capacity = 0;
        unsigned inFlight = 0;
        unsigned forwardedInFlight = 0;
    };
    struct Event {
        TimePoint time;
        std::uint64_t sequence;
        std::function<void()> action;
        /// Reversed, so that the priority queue yields the earliest event first and events of the same time in the order of scheduling.
        bool operator<(const Event& other) const { return time != other.time ? time > other.time : sequence > other.sequence; }
    };

    static FailureDomain domainName(std::size_t domain) { return FailureDomain("domain-" + std::to_string(domain)); }
    static Seconds networkLatency(std::size_t from, std::size_t to) { return Seconds(from == to ? 0.0002 : 0.001); }
    void schedule(Seconds delay, std::function<void()> action)
    {
        m_events.push({ m_now + std::chrono::duration_cast<Duration>(delay), m_nextSequence++, std::move(action) });
    }
    bool hasArrivalPhaseEnded() const { return m_now - startTime > m_scenario.duration; }
    bool isMeasured(const Request& request) const { return request.arrivedAt - startTime > m_scenario.warmUp; }

    SimulatedHost makeHost(std::size_t index)
    {
        SimulatedHost host;
        Pool pool;
        for (std::size_t i = 0; i < targetCount; ++i) {
            if (m_scenario.hasHomeHosts && i % m_hosts.size() != index)
                continue;
            pool.targets.push_back({ TargetId(std::to_string(i)), "127.0.0.1", 1, domainName(m_targets[i].domain), false });
            host.capacity += slotsPerTarget / m_targets[i].meanServiceSeconds;
        }
        host.domain = index % 3;
        BalancerOptions options;
        options.ownFailureDomain = domainName(host.domain);
        options.seed = m_scenario.seed * 100 + index;
        options.policy = m_scenario.policy;
        host.balancer = std::make_unique<PoolBalancer>(pool, options, m_now);
        return host;
    }

    void handleArrival(std::size_t host, std::size_t stream)
    {
        if (hasArrivalPhaseEnded())
            return;
        constexpr double totalArrivalWeight = 17;
        const auto rate = m_result.capacity * m_scenario.streams[stream].load * hostArrivalWeights.at(host) / totalArrivalWeight;
        schedule(Seconds(boost::random::exponential_distribution<double>(rate)(m_random)), [this, host, stream] { handleArrival(host, stream); });
        auto request = std::make_shared<Request>();
        request->stream = stream;
        request->entryHost = host;
        request->arrivedAt = m_now;
        request->requirements.priority = m_scenario.streams[stream].priority;
        request->requirements.deadline = m_now + std::chrono::duration_cast<Duration>(m_scenario.streams[stream].timeout);
        request->decidingHost = m_scenario.hasHomeHosts ? pickHomeHost() : host;
        m_hosts[request->decidingHost].retryBudget.recordRequest();
        ++m_result.requests;
        m_result.streams[stream].requests += isMeasured(*request) ? 1 : 0;
        if (request->decidingHost == host)
            return requestAdmission(request);
        m_result.interHostMessages += 2;
        schedule(networkLatency(m_hosts[host].domain, m_hosts[request->decidingHost].domain), [this, request] { requestAdmission(request); });
    }

    /// Draws two home hosts at random, weighted by capacity, and returns the one with the lower load relative to its capacity.
    std::size_t pickHomeHost()
    {
        const auto drawHomeHost = [this] {
            auto remainingCapacity = randomUnit(m_random) * m_result.capacity;
            std::size_t homeHost = 0;
            while (homeHost + 1 < m_hosts.size() && remainingCapacity > m_hosts[homeHost].capacity)
                remainingCapacity -= m_hosts[homeHost++].capacity;
            return homeHost;
        };
        const auto relativeLoad = [this](std::size_t homeHost) {
            return (m_hosts[homeHost].inFlight + static_cast<double>(m_hosts[homeHost].balancer->queueLength())) / m_hosts[homeHost].capacity;
        };
        const auto firstCandidate = drawHomeHost();
        const auto secondCandidate = drawHomeHost();
        return relativeLoad(firstCandidate) <= relativeLoad(secondCandidate) ? firstCandidate : secondCandidate;
    }

    void requestAdmission(const RequestPointer& request)
    {
        applyAdmission(request, m_hosts[request->decidingHost].balancer->request(request->requirements, m_now), false);
    }

    void applyAdmission(const RequestPointer& request, const Admission& admission, bool hasWaited)
    {
        auto& stream = m_result.streams[request->stream];
        if (admission.kind == AdmissionKind::Admitted)
            dispatch(request, admission.target);
        else if (admission.kind == AdmissionKind::Queued)
            m_hosts[request->decidingHost].queuedRequests.emplace(admission.ticket, request);
        else if (isMeasured(*request))
            ++(hasWaited ? stream.refusedAfterQueueing : stream.refusedWithoutQueueing);
    }

    void applyDecisions(std::size_t host, const std::vector<QueueDecision>& decisions)
    {
        for (const auto& decision : decisions)
            applyAdmission(m_hosts[host].queuedRequests.extract(decision.ticket).mapped(), decision.admission, true);
    }

    void updateInFlight(const Request& request, int change)
    {
        auto& host = m_hosts[request.decidingHost];
        host.inFlight += static_cast<unsigned>(change);
        host.forwardedInFlight += static_cast<unsigned>(request.decidingHost == request.entryHost ? 0 : change);
    }

    void dispatch(const RequestPointer& request, const TargetId& target)
    {
        request->target = std::stoul(target.value());
        request->dispatchedAt = m_now;
        request->isRunning = true;
        const auto attempt = ++request->attempt;
        ++m_result.attempts;
        updateInFlight(*request, 1);
        schedule(networkLatency(m_hosts[request->decidingHost].domain, m_targets[request->target].domain),
            [this, request, attempt] { deliverToTarget(request, attempt); });
        schedule(request->requirements.deadline - m_now, [this, request, attempt] { endAttempt(request, attempt, CompletionKind::Lost); });
    }

    void deliverToTarget(const RequestPointer& request, unsigned attempt)
    {
        auto& target = m_targets[request->target];
        if (target.isDown)
            endAttempt(request, attempt, CompletionKind::NotRun);
        else if (target.running == slotsPerTarget)
            target.waiting.emplace_back([this, request, attempt] { startService(request, attempt); });
        else
            startService(request, attempt);
    }

    void startService(const RequestPointer& request, unsigned attempt)
    {
        auto& target = m_targets[request->target];
        ++target.running;
        const auto serviceTimeFactor = boost::random::lognormal_distribution<double>(-0.5, 1.0)(m_random);
        schedule(Seconds(target.meanServiceSeconds * serviceTimeFactor), [this, request, attempt, &target] {
            --target.running;
            ++m_result.servedByTarget[static_cast<std::size_t>(&target - m_targets.data())];
            if (!target.waiting.empty()) {
                const auto next = std::move(target.waiting.front());
                target.waiting.pop_front();
                next();
            }
            const auto answer = target.isReturningErrors ? CompletionKind::ServerError : CompletionKind::Succeeded;
            const auto kind = target.isDown ? CompletionKind::Lost : answer;
            schedule(networkLatency(m_hosts[request->decidingHost].domain, target.domain), [this, request, attempt, kind] { endAttempt(request, attempt, kind); });
        });
    }

    void endAttempt(const RequestPointer& request, unsigned attempt, CompletionKind kind)
    {
        if (!request->isRunning || attempt != request->attempt)
            return;
        request->isRunning = false;
        updateInFlight(*request, -1);
        auto& host = m_hosts[request->decidingHost];
        const TargetId target(std::to_string(request->target));
        applyDecisions(request->decidingHost, host.balancer->recordCompletion(target, { kind, m_now - request->dispatchedAt, m_now >= request->requirements.deadline }, m_now));
        if (kind == CompletionKind::Succeeded || m_now >= request->requirements.deadline || !host.retryBudget.tryTakeRetry())
            return recordOutcome(*request, kind == CompletionKind::Succeeded);
        request->requirements.excluded.push_back(target);
        requestAdmission(request);
    }

    void recordOutcome(const Request& request, bool isAnswered)
    {
        const bool isInMeasuredPeriod = m_now - startTime > m_scenario.warmUp && !hasArrivalPhaseEnded();
        m_result.inTimeAnswersPerSecond += isAnswered && isInMeasuredPeriod ? 1 : 0;
        if (!isMeasured(request))
            return;
        auto& stream = m_result.streams[request.stream];
        const auto returnLatency = request.decidingHost == request.entryHost
            ? Seconds(0)
            : networkLatency(m_hosts[request.entryHost].domain, m_hosts[request.decidingHost].domain);
        stream.latencySeconds.push_back(Seconds(m_now - request.arrivedAt + returnLatency).count());
        stream.answeredInTime += isAnswered ? 1 : 0;
    }

    void sendLoadReports(std::size_t index)
    {
        schedule(reportInterval, [this, index] { sendLoadReports(index); });
        const LoadReport loadReport { m_targets[index].running, static_cast<unsigned>(m_targets[index].waiting.size()), {}, false };
        for (auto& host : m_hosts) {
            if (randomUnit(m_random) < m_scenario.reportLossRate || m_targets[index].isDown)
                continue;
            const Seconds delay(0.1 + 0.3 * randomUnit(m_random));
            schedule(delay, [this, &host, index, loadReport, delay] {
                auto delayedReport = loadReport;
                delayedReport.age = std::chrono::duration_cast<Duration>(delay);
                host.balancer->reportLoad(TargetId(std::to_string(index)), delayedReport, m_now);
            });
        }
    }

    void tick(std::size_t host)
    {
        schedule(tickInterval, [this, host] { tick(host); });
        applyDecisions(host, m_hosts[host].balancer->tick(m_now));
    }

    /// Starts the fault and resets the counters that cover only the time from here on.
    void injectFault()
    {
        m_result.requests = 0;
        m_result.attempts = 0;
        m_result.interHostMessages = 0;
        for (std::size_t i = 0; i < targetCount; ++i) {
            auto& target = m_targets[i];
            target.isDown = (m_scenario.fault == Fault::TargetCrash && i == 0) || (m_scenario.fault == Fault::DomainOutage && target.domain == 0);
            target.isReturningErrors = m_scenario.fault == Fault::AllTargetsReturnErrors;
            target.meanServiceSeconds *= m_scenario.fault == Fault::HalfOfTargetsSlow && i < targetCount / 2 ? 10 : 1;
        }
    }

    void sampleLoad()
    {
        if (hasArrivalPhaseEnded())
            return;
        schedule(Seconds(0.1), [this] { sampleLoad(); });
        ++m_loadSampleCount;
        for (const auto& host : m_hosts)
            m_result.forwardedInFlight += host.forwardedInFlight / static_cast<double>(m_hosts.size());
        double sum = 0;
        double sumOfSquares = 0;
        // Every third target is one of the fastest.
        for (std::size_t i = 0; i < targetCount; i += 3) {
            const auto load = static_cast<double>(m_targets[i].running + m_targets[i].waiting.size());
            sum += load;
            sumOfSquares += load * load;
        }
        if (sum > 0)
            m_result.loadImbalance += std::sqrt(std::max(0.0, sumOfSquares * targetCount / 3 / (sum * sum) - 1));
    }

    Scenario m_scenario;
    Random m_random;
    TimePoint m_now = startTime;
    std::uint64_t m_nextSequence = 0;
    std::priority_queue<Event> m_events;
    std::array<SimulatedTarget, targetCount> m_targets;
    std::array<SimulatedHost, hostArrivalWeights.size()> m_hosts;
    RunResult m_result;
    double m_loadSampleCount = 0;
};

} // namespace cicadalb::simulation
