#pragma once

#include "Coordination.h"
#include "FakeSiteProtocol.h"
#include "FaultyStore.h"
#include "RecordMirror.h"
#include "Retirement.h"

#include "cicadalb/services/RunTask.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// @file
/// Candidates and standbys of a site in simulated time, for tests of who coordinates.

namespace cicadalb {

/// @brief Processes of one site on a shared store. Standbys follow the mirrors of the first candidates only.
class SimulatedCoordinators {
public:
    static constexpr auto timeStep = std::chrono::milliseconds(20);
    static constexpr std::size_t mirrorCount = 3;

    /// @brief A process. One that has ended reaches neither the store nor other processes.
    struct Process {
        std::string name;
        bool isStandby = false;
        bool isAlive = true;
        bool failsLeaseCalls = false;
        std::unique_ptr<FaultyStore> store;
        std::unique_ptr<MirrorClient> mirrorClient;
        std::unique_ptr<SiteDirectory> directory;
        std::shared_ptr<RecordMirror> mirror;
        std::unique_ptr<RequestPermits> permits;
        std::shared_ptr<CrashGuard> crashGuard;
        std::shared_ptr<Coordination> coordination;
        std::shared_ptr<Retirement> retirement;
    };

    SimulatedCoordinators() { m_store.put("site/configuration", "4 ledger draft"); }

    ~SimulatedCoordinators()
    {
        for (auto& process : m_ended)
            process->isAlive = false;
        while (!m_processes.empty())
            end(*m_processes.front());
        for (auto passed = 0; passed < 120; ++passed)
            advance(std::chrono::seconds(1));
        // The work of a coordinator that has ended still waits on the clock of the system.
        m_context.restart();
        m_context.run_for(std::chrono::milliseconds(450));
        m_worker.stop();
    }

    Process& add(const std::string& name, bool isStandby)
    {
        auto owned = std::make_unique<Process>();
        auto& process = *owned;
        process.name = name;
        process.isStandby = isStandby;
        const auto executor = m_context.get_executor();
        process.store = std::make_unique<FaultyStore>(executor, m_store, m_clock, [&process](CallKind kind) {
            const bool isRefused = !process.isAlive || (kind == CallKind::Lease && process.failsLeaseCalls);
            return isRefused ? CallDisruption::Refused : CallDisruption::None;
        });
        const auto exchange = [this](std::size_t mirror, MirrorQuery query) { return queryMirror(mirror, std::move(query)); };
        process.mirrorClient = std::make_unique<MirrorClient>(isStandby ? mirrorCount : 0, m_processes.size(), exchange, m_clock);
        SiteDirectorySettings directorySettings;
        directorySettings.mirror = isStandby ? process.mirrorClient.get() : nullptr;
        process.directory = std::make_unique<SiteDirectory>(executor, *process.store, m_protocol, m_clock, directorySettings);
        process.permits = std::make_unique<RequestPermits>(executor, RequestPermitsSettings {}, nullptr, m_protocol, m_clock);
        process.crashGuard = std::make_shared<CrashGuard>(executor, *process.store, HostId(name));
        CoordinationSettings settings;
        settings.host = HostId(name);
        settings.seed = ++m_lastSeed;
        settings.mirrors = process.mirrorClient.get();
        settings.leaseClock = &m_clock;
        settings.address = "10.0.0.1:" + std::to_string(m_lastSeed);
        if (isStandby)
            settings.standbyDelay = StandbyCandidacy::vacancyDelay(0, m_lastSeed);
        process.coordination = std::make_shared<Coordination>(executor, *process.store, m_protocol, *process.directory, m_clients, *process.permits, *process.crashGuard, m_clock, settings);
        if (!isStandby)
            startMirror(process);
        process.directory->start();
        process.coordination->start();
        if (!isStandby) {
            process.retirement = std::make_shared<Retirement>(executor, *process.store, m_protocol, process.coordination, m_clock, HostId(name));
            process.retirement->start();
        }
        m_processes.push_back(std::move(owned));
        return process;
    }

    void addSite(std::size_t candidates, std::size_t standbys)
    {
        for (std::size_t i = 0; i < candidates; ++i)
            add("candidate-" + std::to_string(i), false);
        for (std::size_t i = 0; i < standbys; ++i)
            add("standby-" + std::to_string(i), true);
    }

    /// Ends a process without notice.
    void end(Process& process)
    {
        process.isAlive = false;
        process.directory->stop();
        if (process.mirror)
            process.mirror->stop();
        m_endings.push_back(startTask(m_context.get_executor(), handOver(process.coordination)));
        const auto found = std::find_if(m_processes.begin(), m_processes.end(), [&](const auto& owned) { return owned.get() == &process; });
        m_ended.push_back(std::move(*found));
        m_processes.erase(found);
    }

    Process* find(const std::string& name)
    {
        const auto found = std::find_if(m_processes.begin(), m_processes.end(), [&](const auto& process) { return process->name == name; });
        return found == m_processes.end() ? nullptr : found->get();
    }

    void orderRetirement(const std::string& name) { m_store.put("retire/" + name, "order"); }

    /// The status that the operator reads; empty if there is none.
    std::string retirementStatus(const std::string& name) const
    {
        const auto found = m_store.entries().find("retired/" + name);
        return found == m_store.entries().end() ? std::string() : found->second.value;
    }

    /// The process that coordinates with the lease, or null.
    Process* coordinator()
    {
        const auto found = m_store.entries().find("coordinator/holder");
        if (found == m_store.entries().end())
            return nullptr;
        auto* process = find(found->second.value.substr(0, found->second.value.find(' ')));
        return process && process->coordination->isCoordinating() ? process : nullptr;
    }

    /// @return the time until the condition was true, or nothing if it was not within @p limit
    std::optional<Duration> runUntil(const std::function<bool()>& condition, Duration limit)
    {
        const auto begunAt = m_clock.now();
        while (!condition()) {
            if (m_clock.now() >= begunAt + limit)
                return std::nullopt;
            advance(timeStep);
        }
        return m_clock.now() - begunAt;
    }

    void runFor(Duration time)
    {
        (void)runUntil([] { return false; }, time);
    }

    void advance(Duration time)
    {
        m_store.advance(time);
        for (const auto& process : m_processes)
            process->coordination->observeCandidates();
        m_context.restart();
        m_context.poll();
    }

    boost::asio::any_io_executor executor() { return m_context.get_executor(); }
    FakeKeyValueService& store() { return m_store; }
    TimePoint now() const { return m_clock.now(); }
    const std::vector<std::unique_ptr<Process>>& processes() const { return m_processes; }

private:
    static Task<bool> handOver(std::shared_ptr<Coordination> coordination)
    {
        co_await coordination->handOver();
        co_return true;
    }

    void startMirror(Process& process)
    {
        process.mirror = std::make_shared<RecordMirror>(m_context.get_executor(), m_clock);
        process.mirror->setCompleteAsOfSource([&process](const auto& prefix) {
            return prefix == Coordination::holderKeyPrefix() ? process.coordination->holderCompleteAsOf() : process.directory->completeAsOf(prefix);
        });
        process.mirror->setCoordinationSource([&process] { return process.coordination->state(); });
        const auto apply = [mirror = process.mirror](const auto& update) { mirror->apply(update); };
        process.directory->setUpdateHandler(apply);
        process.coordination->setUpdateHandler(apply);
    }

    Task<Result<MirrorReply>> queryMirror(std::size_t mirror, MirrorQuery query)
    {
        auto* process = find("candidate-" + std::to_string(mirror));
        if (!process || !process->mirror)
            co_return failure(ErrorCode::NotSent, "connection refused");
        auto reply = co_await process->mirror->waitForChanges(std::move(query));
        co_return reply;
    }

    boost::asio::io_context m_context;
    ManualClock m_clock;
    FakeKeyValueService m_store { m_context.get_executor(), m_clock };
    FakeSiteProtocol m_protocol;
    WorkerPool m_worker { 1 };
    TargetClients m_clients { m_worker };
    std::vector<std::unique_ptr<Process>> m_processes;
    std::vector<std::unique_ptr<Process>> m_ended;
    std::vector<Pending<bool>> m_endings;
    std::uint64_t m_lastSeed = 0;
};

} // namespace cicadalb
