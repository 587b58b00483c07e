#include "UsageDelivery.h"
#include "UsageReporting.h"

#include "cicadalb/base/Random.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <memory>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

constexpr UsageWindow firstWindow = 1000;
const UsageWindows windows { 5s };

/// A record with conditional writes, some of which are made late.
struct SharedRecord {
    std::optional<UsageRecord> record;
    Revision revision = 0;
    std::deque<StoreUsageRecord> late;
    unsigned calls = 0;

    bool write(const StoreUsageRecord& write)
    {
        if (write.expected != revision)
            return false;
        record = write.record;
        ++revision;
        return true;
    }
};

/// Reports that the platform executed, with the windows that have two contents.
struct ReportedWindows {
    std::map<UsageWindow, UsageCounts> reports;
    std::deque<UsageReport> late;
    bool hasContradiction = false;

    void execute(const UsageReport& report)
    {
        const auto [entry, isNew] = reports.try_emplace(report.window, report.counts);
        hasContradiction = hasContradiction || (!isNew && entry->second != report.counts);
    }
};

enum class Fate : std::uint8_t { Answered,
    AnswerLost,
    RequestLost,
    /// Executed after newer calls.
    Late };

/// Two coordinators with different counts that both act at any time, which is more than leases allow.
struct RivalCoordinators {
    struct Coordinator {
        explicit Coordinator(TimePoint now, WallTime wallNow)
            : reporting(ledger, { windows, 10s }, now, wallNow)
        {
        }
        UsageLedger ledger { windows };
        UsageReporting reporting;
    };

    TimePoint now { 1h };
    WallTime wallNow = windows.beginOf(firstWindow);
    SharedRecord store;
    ReportedWindows platform;
    Coordinator first { now, wallNow };
    Coordinator second { now, wallNow };

    RivalCoordinators()
    {
        wallNow = windows.endOf(firstWindow + 1);
        for (auto window = firstWindow; window < firstWindow + 2; ++window) {
            first.ledger.apply({ HostId("edge-1"), 1, window, { { window, { { OrganisationName("cedar"), 1 } } } } }, wallNow);
            second.ledger.apply({ HostId("edge-1"), 1, window, { { window, { { OrganisationName("cedar"), 2 } } } } }, wallNow);
        }
    }

    void act(Coordinator& coordinator, Fate fate)
    {
        // Long enough for each repeat, and short enough for the second window to become ripe between two calls.
        now += 2s;
        wallNow += 2s;
        auto& reporting = coordinator.reporting;
        const auto step = reporting.nextStep(now, wallNow);
        if (std::holds_alternative<ReadUsageRecord>(step)) {
            fate == Fate::Answered ? reporting.onRead(store.record, store.revision) : reporting.onStoreFailure(now);
        } else if (const auto* write = std::get_if<StoreUsageRecord>(&step)) {
            if (fate == Fate::Late)
                store.late.push_back(*write);
            const bool isWritten = (fate == Fate::Answered || fate == Fate::AnswerLost) && store.write(*write);
            isWritten&& fate == Fate::Answered ? reporting.onStored(write->record, store.revision) : reporting.onStoreFailure(now);
        } else if (const auto* send = std::get_if<SendUsageReport>(&step)) {
            if (fate == Fate::Late)
                platform.late.push_back(send->report);
            if (fate == Fate::Answered || fate == Fate::AnswerLost)
                platform.execute(send->report);
            reporting.onSent(send->report.window, fate == Fate::Answered ? DutyOutcome::Accepted : DutyOutcome::Unknown, now);
        }
    }

    void executeLateWrite()
    {
        if (store.late.empty())
            return;
        store.write(store.late.front());
        store.late.pop_front();
    }

    void executeLateReport()
    {
        if (platform.late.empty())
            return;
        platform.execute(platform.late.front());
        platform.late.pop_front();
    }

    static constexpr std::size_t choiceCount = 10;

    void choose(std::size_t choice)
    {
        constexpr std::size_t fates = 4;
        if (choice < 2 * fates)
            act(choice < fates ? first : second, static_cast<Fate>(choice % fates));
        else
            choice == 2 * fates ? executeLateWrite() : executeLateReport();
    }
};

std::string text(std::size_t choices, unsigned length)
{
    std::string digits;
    for (unsigned step = 0; step < length; ++step, choices /= RivalCoordinators::choiceCount)
        digits += std::to_string(choices % RivalCoordinators::choiceCount);
    return digits;
}

struct Simulation {
    std::size_t hosts = 8;
    double requestsPerSecond = 12;
    std::chrono::milliseconds step { 10 };
    bool hasKills = false;
    bool hasCoordinatorChanges = false;
};

struct SimulationResult {
    unsigned windows = 0;
    unsigned exact = 0;
    double messagesPerWindow = 0;
    double storeCallsPerWindow = 0;
    bool hasContradiction = false;
};

/// Hosts that count requests of 80 organisations, and coordinators that report them. Each message takes a step each way; 1 % are lost.
class SimulatedUsage {
public:
    static constexpr unsigned reportedWindows = 1000;
    static constexpr std::size_t organisationCount = 80;
    static constexpr double tolerance = 0.05;

    explicit SimulatedUsage(Simulation simulation)
        : m_simulation(simulation)
        , m_random(simulation.hosts)
    {
        for (std::size_t index = 0; index < organisationCount; ++index)
            m_organisations.emplace_back("organisation-" + std::to_string(index));
        m_hosts.resize(simulation.hosts);
        for (auto& host : m_hosts)
            start(host);
        m_killAt = killTimeIn(firstWindow);
        beginCoordination();
    }

    SimulationResult run()
    {
        const auto end = windows.endOf(firstWindow + reportedWindows) + 20s;
        while (m_wallNow < end) {
            stepRequests();
            stepCoordinators();
            for (auto& host : m_hosts)
                stepHost(host);
            m_wallNow += m_simulation.step;
            m_now += m_simulation.step;
        }
        return result();
    }

private:
    static constexpr double lossProbability = 0.01;
    static constexpr std::size_t candidateCount = 3;

    struct Flight {
        UsageCall call;
        std::optional<UsageReply> reply;
        TimePoint arrivesAt;
        bool hasArrived = false;
    };
    struct Host {
        std::unique_ptr<UsageCounter> counter;
        std::unique_ptr<UsageDelivery> delivery;
        std::optional<Flight> flight;
    };
    struct Coordinator {
        UsageLedger ledger { windows };
        std::unique_ptr<UsageReporting> reporting;
    };

    void start(Host& host)
    {
        const auto index = static_cast<std::size_t>(&host - m_hosts.data());
        host.flight.reset();
        host.counter = std::make_unique<UsageCounter>(windows, [this] { return m_wallNow; });
        host.delivery = std::make_unique<UsageDelivery>(*host.counter, UsageDeliverySettings { HostId(std::to_string(index)), ++m_incarnation, candidateCount, index * 7919, UsageReportingSettings { windows, 10s }.settleTime() });
    }

    WallTime killTimeIn(UsageWindow window) { return windows.beginOf(window) + std::chrono::milliseconds(randomIndex(m_random, 5000)); }

    void beginCoordination()
    {
        m_coordinator = std::make_unique<Coordinator>();
        m_coordinator->reporting = std::make_unique<UsageReporting>(m_coordinator->ledger, UsageReportingSettings { windows, 10s }, m_now, m_wallNow);
        m_coordinatorIndex = (m_coordinatorIndex + 1) % candidateCount;
        ++m_collection;
        m_mayReportFrom = m_now + 2100ms;
    }

    void stepRequests()
    {
        m_due += m_simulation.requestsPerSecond * std::chrono::duration<double>(m_simulation.step).count() * 2 * randomUnit(m_random);
        for (; m_due >= 1; m_due -= 1) {
            auto& host = m_hosts[randomIndex(m_random, m_hosts.size())];
            const auto& organisation = m_organisations[randomIndex(m_random, organisationCount)];
            const auto mark = host.counter->begin(organisation);
            if (randomUnit(m_random) < 0.02)
                host.counter->withdraw(*mark);
            else
                ++m_truth[mark->window][organisation];
            send(host);
        }
        if (m_simulation.hasKills && m_wallNow >= m_killAt) {
            m_killAt = killTimeIn(windows.at(m_wallNow) + 1);
            kill(m_hosts[randomIndex(m_random, m_hosts.size())]);
        }
    }

    /// A message that is on its way arrives without its sender.
    void kill(Host& host)
    {
        if (host.flight && !host.flight->hasArrived && randomUnit(m_random) >= lossProbability)
            (void)answer(host.flight->call);
        start(host);
    }

    void stepCoordinators()
    {
        const bool isChangeDue = m_simulation.hasCoordinatorChanges && m_now >= m_nextChangeAt;
        if (isChangeDue) {
            m_nextChangeAt = m_now + 20s + std::chrono::milliseconds(randomIndex(m_random, 10000));
            m_coordinator.reset();
            m_electedAt = m_now + 2s;
        }
        if (!m_coordinator && m_now >= m_electedAt)
            beginCoordination();
        if (!m_coordinator || m_now < m_mayReportFrom)
            return;
        auto& reporting = *m_coordinator->reporting;
        for (auto step = reporting.nextStep(m_now, m_wallNow); !std::holds_alternative<std::monostate>(step); step = reporting.nextStep(m_now, m_wallNow)) {
            if (std::holds_alternative<ReadUsageRecord>(step)) {
                ++m_store.calls;
                reporting.onRead(m_store.record, m_store.revision);
            } else if (const auto* write = std::get_if<StoreUsageRecord>(&step)) {
                ++m_store.calls;
                m_store.write(*write) ? reporting.onStored(write->record, m_store.revision) : reporting.onStoreFailure(m_now);
            } else if (const auto* report = std::get_if<SendUsageReport>(&step)) {
                m_platform.execute(report->report);
                m_reportedAt.try_emplace(report->report.window, m_wallNow);
                reporting.onSent(report->report.window, DutyOutcome::Accepted, m_now);
            }
        }
    }

    void send(Host& host)
    {
        if (auto call = host.delivery->nextCall(m_now)) {
            ++m_messages;
            host.flight = Flight { std::move(*call), std::nullopt, m_now + m_simulation.step };
        }
    }

    void stepHost(Host& host)
    {
        if (host.flight && m_now >= host.flight->arrivesAt) {
            auto& flight = *host.flight;
            if (!flight.hasArrived) {
                flight.hasArrived = true;
                const auto fate = randomUnit(m_random);
                if (fate >= lossProbability / 2)
                    flight.reply = answer(flight.call);
                if (fate < lossProbability)
                    flight.reply.reset();
                flight.arrivesAt = m_now + (flight.reply ? m_simulation.step : std::chrono::milliseconds(250));
                return;
            }
            const auto ended = std::move(flight);
            host.flight.reset();
            ended.reply ? host.delivery->onReply(ended.call, *ended.reply, m_now) : host.delivery->onFailure(ended.call, m_now);
        }
        send(host);
    }

    std::optional<UsageReply> answer(const UsageCall& call)
    {
        if (!m_coordinator || call.candidate != m_coordinatorIndex)
            return UsageReply { true, false, 0, 0, 0ms };
        m_coordinator->ledger.apply(call.message, m_wallNow);
        return UsageReply { true, true, m_collection, m_coordinator->ledger.closedUpTo(), m_coordinator->ledger.interval() };
    }

    bool isExact(UsageWindow window) const
    {
        const auto reported = m_platform.reports.find(window);
        const auto truth = m_truth.find(window);
        if (reported == m_platform.reports.end() || truth == m_truth.end() || m_reportedAt.at(window) > windows.endOf(window) + 10s)
            return false;
        return std::all_of(m_organisations.begin(), m_organisations.end(), [&](const auto& organisation) {
            const auto countIn = [&](const UsageCounts& counts) { return counts.contains(organisation) ? static_cast<double>(counts.at(organisation)) : 0; };
            return std::abs(countIn(reported->second) - countIn(truth->second)) <= tolerance * countIn(truth->second);
        });
    }

    SimulationResult result() const
    {
        SimulationResult result;
        for (auto window = firstWindow; window < firstWindow + reportedWindows; ++window) {
            ++result.windows;
            result.exact += isExact(window) ? 1U : 0U;
        }
        result.messagesPerWindow = static_cast<double>(m_messages) / reportedWindows;
        result.storeCallsPerWindow = static_cast<double>(m_store.calls) / reportedWindows;
        result.hasContradiction = m_platform.hasContradiction;
        return result;
    }

    Simulation m_simulation;
    Random m_random;
    TimePoint m_now { 1h };
    WallTime m_wallNow = windows.beginOf(firstWindow);
    std::vector<OrganisationName> m_organisations;
    std::vector<Host> m_hosts;
    Incarnation m_incarnation = 0;
    double m_due = 0;
    WallTime m_killAt;
    std::map<UsageWindow, UsageCounts> m_truth;
    std::unique_ptr<Coordinator> m_coordinator;
    std::size_t m_coordinatorIndex = 0;
    Incarnation m_collection = 0;
    TimePoint m_mayReportFrom;
    TimePoint m_nextChangeAt { 1h + 20s };
    TimePoint m_electedAt;
    SharedRecord m_store;
    ReportedWindows m_platform;
    std::map<UsageWindow, WallTime> m_reportedAt;
    std::uint64_t m_messages = 0;
};

Simulation simulationOf(std::size_t hosts)
{
    constexpr std::size_t largeSite = 1300;
    Simulation simulation;
    simulation.hosts = hosts;
    if (hosts == largeSite) {
        simulation.requestsPerSecond = static_cast<double>(largeSite);
        simulation.step = 100ms;
    }
    return simulation;
}

} // namespace

TEST_CASE("usage reporting, two coordinators with lost and late calls in every order, never report two contents for a window")
{
    constexpr unsigned length = 6;
    std::size_t sequences = 1;
    for (unsigned step = 0; step < length; ++step)
        sequences *= RivalCoordinators::choiceCount;
    std::string contradicting;
    for (std::size_t sequence = 0; sequence < sequences && contradicting.empty(); ++sequence) {
        RivalCoordinators rivals;
        auto choices = sequence;
        for (unsigned step = 0; step < length; ++step, choices /= RivalCoordinators::choiceCount)
            rivals.choose(choices % RivalCoordinators::choiceCount);
        if (rivals.platform.hasContradiction)
            contradicting = text(sequence, length);
    }
    CHECK(contradicting.empty());
}

TEST_CASE("usage reporting, two coordinators with long histories of lost and late calls, never report two contents and report every window in the end")
{
    CHECK(rc::check([] {
        RivalCoordinators rivals;
        Random random(*rc::gen::inRange(0U, 1000000U));
        const auto steps = *rc::gen::inRange(4, 30);
        for (int step = 0; step < steps; ++step)
            rivals.choose(randomIndex(random, RivalCoordinators::choiceCount));
        for (unsigned step = 0; step < 20; ++step)
            rivals.act(rivals.second, Fate::Answered);
        while (!rivals.store.late.empty() || !rivals.platform.late.empty()) {
            rivals.executeLateWrite();
            rivals.executeLateReport();
        }
        RC_ASSERT(!rivals.platform.hasContradiction);
        RC_ASSERT(rivals.platform.reports.contains(firstWindow));
        RC_ASSERT(rivals.platform.reports.contains(firstWindow + 1));
    }));
}

TEST_CASE("usage reporting, site with counts, reports nothing before it is stored, each window soon after its end and windows without requests as empty")
{
    RivalCoordinators site;
    auto& reporting = site.first.reporting;
    site.now += 10s;
    CHECK(std::holds_alternative<ReadUsageRecord>(reporting.nextStep(site.now, site.wallNow)));
    reporting.onRead(std::nullopt, 0);
    const auto settled = windows.endOf(firstWindow) + 3s;
    CHECK(std::holds_alternative<std::monostate>(reporting.nextStep(site.now, settled - 1ms)));
    const auto step = reporting.nextStep(site.now, settled + 10s);
    const auto* write = std::get_if<StoreUsageRecord>(&step);
    REQUIRE(write);
    CHECK(write->record.newest == firstWindow + 2);
    CHECK(write->record.unsent.back().counts.empty());
    reporting.onStored(write->record, 1);
    const auto next = reporting.nextStep(site.now, settled + 10s);
    const auto* send = std::get_if<SendUsageReport>(&next);
    REQUIRE(send);
    CHECK(send->report.window == firstWindow);
    CHECK(site.first.ledger.closedUpTo() == firstWindow + 2);
}

TEST_CASE("usage reporting, new coordinator, waits for the hosts' counts but not beyond the time at which the report is due")
{
    RivalCoordinators site;
    auto& reporting = site.first.reporting;
    reporting.onRead(std::nullopt, 0);
    CHECK(std::holds_alternative<std::monostate>(reporting.nextStep(site.now + 2400ms, windows.endOf(firstWindow) + 8900ms)));
    CHECK(std::holds_alternative<StoreUsageRecord>(reporting.nextStep(site.now + 2400ms, windows.endOf(firstWindow) + 9s)));
    CHECK(std::holds_alternative<StoreUsageRecord>(reporting.nextStep(site.now + 2500ms, windows.endOf(firstWindow) + 3s)));
}

TEST_CASE("usage of 1,000 windows, 8, 60 and 1,300 hosts without a kill, is reported within the tolerance for each of them")
{
    const std::size_t hosts = GENERATE(8U, 60U, 1300U);
    const auto result = SimulatedUsage(simulationOf(hosts)).run();
    INFO(hosts << " hosts, " << result.messagesPerWindow << " messages and " << result.storeCallsPerWindow << " store calls a window");
    CHECK(result.exact == result.windows);
    CHECK_FALSE(result.hasContradiction);
    CHECK(result.storeCallsPerWindow <= 2);
    WARN(hosts << " hosts: " << result.exact << " of " << result.windows << " windows, " << result.messagesPerWindow << " messages, " << result.storeCallsPerWindow << " store calls a window");
}

TEST_CASE("usage of 1,000 windows, one host killed in each window, is reported within the tolerance for 99 % of them")
{
    const std::size_t hosts = GENERATE(8U, 60U, 1300U);
    auto simulation = simulationOf(hosts);
    simulation.hasKills = true;
    const auto result = SimulatedUsage(simulation).run();
    CHECK(result.exact >= result.windows / 100 * 99);
    CHECK_FALSE(result.hasContradiction);
    WARN(hosts << " hosts: " << result.exact << " of " << result.windows << " windows, " << result.messagesPerWindow << " messages, " << result.storeCallsPerWindow << " store calls a window");
}

TEST_CASE("usage of 1,000 windows, coordinator killed every 20 to 30 s, is reported within the tolerance for each of them and once")
{
    const std::size_t hosts = GENERATE(8U, 60U);
    auto simulation = simulationOf(hosts);
    simulation.hasCoordinatorChanges = true;
    const auto result = SimulatedUsage(simulation).run();
    CHECK(result.exact == result.windows);
    CHECK_FALSE(result.hasContradiction);
    WARN(hosts << " hosts: " << result.exact << " of " << result.windows << " windows, " << result.messagesPerWindow << " messages, " << result.storeCallsPerWindow << " store calls a window");
}
