#pragma once

#include "cicadalb/membership/Membership.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// @file
/// Simulated hosts in one process that exchange membership datagrams in memory, with a manual clock and injected faults.

namespace cicadalb {

class FakeFleet {
public:
    static constexpr std::chrono::milliseconds step { 50 };

    /// Probability that a datagram is lost.
    double lossRate = 0;

    FakeFleet(std::size_t size, std::uint64_t seed, std::size_t domains = 3, MembershipSettings settings = {})
        : m_random(seed)
        , m_settings(settings)
        , m_domains(domains)
        , m_hosts(size)
    {
        for (std::size_t i = 0; i < size; ++i)
            m_seeds.push_back(endpointOf(i));
    }

    std::size_t size() const { return m_hosts.size(); }
    Membership& at(std::size_t i) { return *m_hosts[i].membership; }
    const Membership& at(std::size_t i) const { return *m_hosts[i].membership; }
    TimePoint now() const { return m_clock.now(); }
    bool isRunning(std::size_t i) const { return m_hosts[i].membership != nullptr; }
    std::size_t domainOf(std::size_t i) const { return i % m_domains; }
    static HostId idOf(std::size_t i) { return HostId("host-" + std::to_string(i)); }

    /// @brief Starts or restarts a host at its address with a higher incarnation.
    void start(std::size_t i)
    {
        auto& host = m_hosts[i];
        host.incarnation += 1000;
        Member self;
        self.id = idOf(i);
        self.incarnation = host.incarnation;
        const auto endpoint = endpointOf(i);
        self.details = MemberDetails { FailureDomain("domain-" + std::to_string(domainOf(i))), 1.0, endpoint.address, endpoint.port, 7000, 7001 };
        host.membership = std::make_unique<Membership>(std::move(self), m_settings, m_random());
        host.membership->setSeeds(m_seeds);
        host.receiveBuffer.clear();
        host.isFrozen = false;
    }

    void startAll()
    {
        for (std::size_t i = 0; i < size(); ++i)
            start(i);
    }

    void kill(std::size_t i) { m_hosts[i].membership.reset(); }
    void freeze(std::size_t i) { m_hosts[i].isFrozen = isRunning(i); }
    bool isFrozen(std::size_t i) const { return m_hosts[i].isFrozen; }

    /// @brief Resumes a frozen host, which then receives the datagrams that wait in its socket buffer.
    void resume(std::size_t i)
    {
        auto& host = m_hosts[i];
        host.isFrozen = false;
        for (auto& datagram : std::exchange(host.receiveBuffer, {}))
            m_inFlight.push_back(std::move(datagram));
    }

    /// @brief Drops all datagrams from @p from to @p to.
    void cut(std::size_t from, std::size_t to) { m_cuts.emplace(from, to); }
    void healAll() { m_cuts.clear(); }

    /// @brief Cuts all links between the first @p boundary hosts and the others.
    void split(std::size_t boundary) { m_splitBoundary = boundary; }
    void merge() { m_splitBoundary = 0; }

    /// @brief Advances the clock in steps; each datagram is delivered one step after it was sent.
    void advance(std::chrono::milliseconds time)
    {
        for (auto passed = std::chrono::milliseconds(0); passed < time; passed += step)
            advanceOnce();
    }

    /// @brief Advances until @p condition holds, at most @p limit. @return the time taken
    template <typename Condition>
    std::chrono::milliseconds advanceUntil(std::chrono::milliseconds limit, Condition condition)
    {
        auto passed = std::chrono::milliseconds(0);
        for (; passed < limit && !condition(); passed += step)
            advanceOnce();
        return passed;
    }

    /// @brief True if every running host sees exactly the running hosts as present.
    bool hasConverged() const
    {
        const auto running = std::count_if(m_hosts.begin(), m_hosts.end(), [](const Host& host) { return host.membership != nullptr; });
        const Membership* first = nullptr;
        for (const auto& host : m_hosts) {
            if (!host.membership)
                continue;
            first = first ? first : host.membership.get();
            if (host.membership->presentCount() != static_cast<std::size_t>(running) || host.membership->digest() != first->digest())
                return false;
        }
        return first == nullptr || areRunningHostsPresentIn(*first);
    }

private:
    struct InFlight {
        std::size_t from = 0;
        std::size_t to = 0;
        std::vector<std::uint8_t> payload;
    };

    struct Host {
        std::unique_ptr<Membership> membership;
        Incarnation incarnation = 0;
        bool isFrozen = false;
        std::vector<InFlight> receiveBuffer;
    };

    static constexpr std::uint16_t firstPort = 10000;

    static MemberEndpoint endpointOf(std::size_t i) { return MemberEndpoint { "10.0.0.1", static_cast<std::uint16_t>(firstPort + i) }; }

    bool areRunningHostsPresentIn(const Membership& view) const
    {
        for (std::size_t i = 0; i < size(); ++i) {
            const auto* member = view.find(idOf(i));
            if (isRunning(i) && (!member || !member->isPresent()))
                return false;
        }
        return true;
    }

    void advanceOnce()
    {
        m_clock.advance(step);
        for (auto& datagram : std::exchange(m_inFlight, {}))
            deliver(std::move(datagram));
        for (std::size_t i = 0; i < size(); ++i) {
            if (!isRunning(i) || m_hosts[i].isFrozen)
                continue;
            at(i).tick(now());
            sendDatagrams(i);
        }
    }

    void deliver(InFlight datagram)
    {
        constexpr std::size_t socketBufferDatagrams = 200;
        auto& host = m_hosts[datagram.to];
        if (!host.membership)
            return;
        if (host.isFrozen) {
            if (host.receiveBuffer.size() < socketBufferDatagrams)
                host.receiveBuffer.push_back(std::move(datagram));
            return;
        }
        host.membership->receive(endpointOf(datagram.from), datagram.payload, now());
        sendDatagrams(datagram.to);
    }

    void sendDatagrams(std::size_t from)
    {
        for (auto& datagram : at(from).takeDatagrams()) {
            const std::size_t to = datagram.to.port - firstPort;
            const bool isSplit = m_splitBoundary > 0 && (from < m_splitBoundary) != (to < m_splitBoundary);
            if (to < size() && !isSplit && !m_cuts.contains({ from, to }) && randomUnit(m_random) >= lossRate)
                m_inFlight.push_back(InFlight { from, to, std::move(datagram.payload) });
        }
    }

    ManualClock m_clock;
    Random m_random;
    MembershipSettings m_settings;
    std::size_t m_domains;
    std::vector<Host> m_hosts;
    std::vector<MemberEndpoint> m_seeds;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::size_t m_splitBoundary = 0;
    std::vector<InFlight> m_inFlight;
};

} // namespace cicadalb
