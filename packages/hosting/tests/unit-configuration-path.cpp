#include "FakeSiteProtocol.h"
#include "FaultyStore.h"
#include "RecordMirror.h"
#include "SiteDirectory.h"

#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <ostream>
#include <vector>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mirrorCount = 3;
constexpr std::size_t hostCount = 4;
constexpr std::size_t processCount = mirrorCount + hostCount;
constexpr auto timeStep = 10ms;
constexpr auto simulatedTime = 16s;
/// Faults begin after this time, when all processes have started.
constexpr auto calmTime = 2s;

/// Which calls a window disrupts.
enum class DisruptedCalls : std::uint8_t { Watches,
    Reads,
    LeaseCalls,
    MirrorQueries };

/// Calls of one kind fail at some processes for some time. Times are in steps.
struct FaultWindow {
    DisruptedCalls calls = DisruptedCalls::Watches;
    CallDisruption disruption = CallDisruption::None;
    unsigned begin = 0;
    unsigned end = 0;
    /// One bit for each process, mirrors first.
    unsigned processes = 0;
};

std::ostream& operator<<(std::ostream& stream, const FaultWindow& window)
{
    return stream << "calls " << static_cast<int>(window.calls) << " form " << static_cast<int>(window.disruption) << " from " << window.begin << " to " << window.end << " at " << window.processes;
}

bool isDisrupted(DisruptedCalls calls, CallKind kind)
{
    return (calls == DisruptedCalls::Watches && kind == CallKind::Watch) || (calls == DisruptedCalls::Reads && kind == CallKind::Read)
        || (calls == DisruptedCalls::LeaseCalls && kind == CallKind::Lease);
}

struct Scenario {
    std::vector<FaultWindow> windows;
    /// Steps at which a new configuration is acknowledged, in ascending order.
    std::vector<unsigned> changes;
};

/// Three mirrors and four hosts of a site in simulated time. Configuration n+1 is the nth change.
class SimulatedSite {
public:
    explicit SimulatedSite(Scenario scenario)
        : m_scenario(std::move(scenario))
    {
        m_store.put("site/configuration", "1 ledger");
        for (std::size_t i = 0; i < mirrorCount; ++i)
            addMirror(i);
        for (std::size_t i = 0; i < hostCount; ++i)
            addHost(i);
    }

    ~SimulatedSite()
    {
        for (const auto& process : m_processes) {
            process->directory->stop();
            if (process->mirror)
                process->mirror->stop();
        }
        m_scenario.windows.clear();
        for (auto passed = 0ms; passed < 120s; passed += 1s)
            advance(1s);
    }

    /// Runs the scenario and checks all processes after each step.
    void run()
    {
        for (; m_step * timeStep < simulatedTime; ++m_step) {
            if (std::find(m_scenario.changes.begin(), m_scenario.changes.end(), m_step) != m_scenario.changes.end()) {
                m_store.put("site/configuration", std::to_string(++m_newestVersion) + " ledger");
                m_acknowledgedAt.push_back(m_clock.now());
            }
            if (m_forgetsHistoryAt == m_step)
                m_store.forgetHistory();
            advance(timeStep);
            checkVersions();
        }
    }

    void forgetHistoryAt(unsigned step) { m_forgetsHistoryAt = step; }
    bool wasAlwaysInTime() const { return m_isInTime; }
    bool hasGoneBack() const { return m_hasGoneBack; }

private:
    struct Process {
        std::unique_ptr<FaultyStore> store;
        std::unique_ptr<MirrorClient> mirrorClient;
        std::unique_ptr<SiteDirectory> directory;
        std::shared_ptr<RecordMirror> mirror;
        std::uint64_t highestVersion = 0;
    };

    template <typename IsConcerned>
    CallDisruption disruptionAt(std::size_t process, IsConcerned isConcerned) const
    {
        for (const auto& window : m_scenario.windows) {
            const bool isOpen = m_step >= window.begin && m_step < window.end;
            if (isOpen && isConcerned(window.calls) && (window.processes >> process & 1U) != 0)
                return window.disruption;
        }
        return CallDisruption::None;
    }

    Process& addProcess()
    {
        const auto index = m_processes.size();
        auto process = std::make_unique<Process>();
        const auto select = [this, index](CallKind kind) { return disruptionAt(index, [kind](DisruptedCalls calls) { return isDisrupted(calls, kind); }); };
        process->store = std::make_unique<FaultyStore>(m_context.get_executor(), m_store, m_clock, select);
        m_processes.push_back(std::move(process));
        return *m_processes.back();
    }

    void addMirror(std::size_t)
    {
        auto& process = addProcess();
        process.directory = std::make_unique<SiteDirectory>(m_context.get_executor(), *process.store, m_protocol, m_clock, SiteDirectorySettings {});
        process.mirror = std::make_shared<RecordMirror>(m_context.get_executor(), m_clock);
        auto* directory = process.directory.get();
        process.mirror->setCompleteAsOfSource([directory](const auto& prefix) { return directory->completeAsOf(prefix); });
        directory->setUpdateHandler([mirror = process.mirror](const auto& update) { mirror->apply(update); });
        directory->start();
    }

    void addHost(std::size_t host)
    {
        auto& process = addProcess();
        const auto index = m_processes.size() - 1;
        const auto exchange = [this, index](std::size_t mirror, MirrorQuery query) { return queryMirror(index, mirror, std::move(query)); };
        process.mirrorClient = std::make_unique<MirrorClient>(mirrorCount, host, exchange, m_clock);
        SiteDirectorySettings settings;
        settings.mirror = process.mirrorClient.get();
        process.directory = std::make_unique<SiteDirectory>(m_context.get_executor(), *process.store, m_protocol, m_clock, settings);
        process.directory->start();
    }

    Task<Result<MirrorReply>> queryMirror(std::size_t host, std::size_t mirror, MirrorQuery query)
    {
        const auto select = [this, host, mirror] {
            const auto isQuery = [](DisruptedCalls calls) { return calls == DisruptedCalls::MirrorQueries; };
            return std::max(disruptionAt(host, isQuery), disruptionAt(mirror, isQuery));
        };
        if (select() == CallDisruption::Refused)
            co_return failure(ErrorCode::NotSent, "connection refused");
        const auto limit = query.maximumWait + MirrorClient::responseTimeout;
        auto reply = co_await withTimeLimit<MirrorReply>(m_context.get_executor(), m_clock, limit, m_processes[mirror]->mirror->waitForChanges(std::move(query)), [select] { return select() == CallDisruption::Silent; });
        if (select() == CallDisruption::Delayed) {
            ClockTimer timer(m_context.get_executor(), m_clock);
            co_await timer.waitFor(MirrorClient::responseTimeout / 2);
        }
        co_return reply;
    }

    void advance(Duration time)
    {
        m_store.advance(time);
        m_context.restart();
        m_context.poll();
    }

    /// Oldest version that may still be in force.
    std::uint64_t oldestPermittedVersion() const
    {
        const auto due = std::count_if(m_acknowledgedAt.begin(), m_acknowledgedAt.end(), [this](auto time) { return time + SiteDirectory::maximumRecordAge <= m_clock.now(); });
        return 1 + static_cast<std::uint64_t>(due);
    }

    void checkVersions()
    {
        for (const auto& process : m_processes) {
            const auto view = process->directory->view();
            const auto version = view ? view->configuration.version : 0;
            m_hasGoneBack = m_hasGoneBack || version < process->highestVersion;
            process->highestVersion = std::max(process->highestVersion, version);
            if (m_step * timeStep >= calmTime && version < oldestPermittedVersion())
                m_isInTime = false;
        }
    }

    Scenario m_scenario;
    boost::asio::io_context m_context;
    ManualClock m_clock;
    FakeKeyValueService m_store { m_context.get_executor(), m_clock };
    FakeSiteProtocol m_protocol;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::vector<TimePoint> m_acknowledgedAt;
    std::uint64_t m_newestVersion = 1;
    unsigned m_step = 0;
    std::optional<unsigned> m_forgetsHistoryAt;
    bool m_isInTime = true;
    bool m_hasGoneBack = false;
};

constexpr unsigned stepsIn(Duration time) { return static_cast<unsigned>(time / timeStep); }

rc::Gen<FaultWindow> anyWindow(DisruptedCalls calls, const std::vector<CallDisruption>& forms)
{
    const auto from = stepsIn(calmTime);
    const auto until = stepsIn(simulatedTime);
    return rc::gen::map(rc::gen::tuple(rc::gen::elementOf(forms), rc::gen::inRange(from, until), rc::gen::inRange(1U, stepsIn(10s)), rc::gen::inRange(1U, 1U << processCount)),
        [calls](const auto& numbers) {
            const auto [form, begin, length, processes] = numbers;
            return FaultWindow { calls, form, begin, begin + length, processes };
        });
}

void addChanges(Scenario& scenario)
{
    const auto changeCount = *rc::gen::inRange(2, 8);
    for (int i = 0; i < changeCount; ++i)
        scenario.changes.push_back(*rc::gen::inRange(stepsIn(calmTime), stepsIn(simulatedTime)));
}

Scenario anyScenario(DisruptedCalls calls, const std::vector<CallDisruption>& forms)
{
    Scenario scenario;
    const auto windowCount = *rc::gen::inRange(1, 4);
    for (int i = 0; i < windowCount; ++i)
        scenario.windows.push_back(*anyWindow(calls, forms));
    addChanges(scenario);
    return scenario;
}

const std::vector<CallDisruption> lossyForms { CallDisruption::Silent, CallDisruption::Refused, CallDisruption::Delayed };

/// Windows that follow each other after a pause, each with its own kind of calls.
Scenario anySequence()
{
    const std::vector<DisruptedCalls> kinds { DisruptedCalls::Watches, DisruptedCalls::Reads, DisruptedCalls::LeaseCalls, DisruptedCalls::MirrorQueries };
    Scenario scenario;
    auto begin = stepsIn(calmTime) + *rc::gen::inRange(0U, stepsIn(2s));
    while (begin < stepsIn(simulatedTime)) {
        auto window = *anyWindow(*rc::gen::elementOf(kinds), lossyForms);
        const auto length = std::min(window.end - window.begin, stepsIn(4s));
        window.begin = begin;
        window.end = begin + length;
        begin = window.end + stepsIn(calmTime);
        scenario.windows.push_back(window);
    }
    addChanges(scenario);
    return scenario;
}

bool isInForceInTime(DisruptedCalls calls)
{
    return rc::check([calls] {
        SimulatedSite site(anyScenario(calls, lossyForms));
        site.run();
        RC_ASSERT(site.wasAlwaysInTime());
        RC_ASSERT(!site.hasGoneBack());
    });
}

} // namespace

TEST_CASE("configuration path, only watches fail, newest version is in force within the bound")
{
    CHECK(isInForceInTime(DisruptedCalls::Watches));
}

TEST_CASE("configuration path, only reads fail, newest version is in force within the bound")
{
    CHECK(isInForceInTime(DisruptedCalls::Reads));
}

TEST_CASE("configuration path, only lease calls fail, newest version is in force within the bound")
{
    CHECK(isInForceInTime(DisruptedCalls::LeaseCalls));
}

TEST_CASE("configuration path, only mirror queries fail, newest version is in force within the bound")
{
    CHECK(isInForceInTime(DisruptedCalls::MirrorQueries));
}

TEST_CASE("configuration path, different calls fail one after the other, newest version is in force within the bound")
{
    CHECK(rc::check([] {
        SimulatedSite site(anySequence());
        site.run();
        RC_ASSERT(site.wasAlwaysInTime());
        RC_ASSERT(!site.hasGoneBack());
    }));
}

TEST_CASE("configuration path, watches hear nothing for a second and the history is lost, newest version is in force within the bound")
{
    CHECK(rc::check([] {
        auto scenario = anyScenario(DisruptedCalls::Watches, { CallDisruption::Deaf });
        scenario.windows.resize(1);
        auto& window = scenario.windows.front();
        window.end = window.begin + stepsIn(1s);
        window.processes = (1U << processCount) - 1;
        SimulatedSite site(scenario);
        site.forgetHistoryAt(window.end);
        site.run();
        RC_ASSERT(site.wasAlwaysInTime());
        RC_ASSERT(!site.hasGoneBack());
    }));
}

TEST_CASE("configuration path, watches repeat earlier changes, no process returns to an older version")
{
    CHECK(rc::check([] {
        SimulatedSite site(anyScenario(DisruptedCalls::Watches, { CallDisruption::Repeated }));
        site.run();
        RC_ASSERT(!site.hasGoneBack());
        RC_ASSERT(site.wasAlwaysInTime());
    }));
}
