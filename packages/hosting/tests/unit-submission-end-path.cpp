#include "Coordination.h"
#include "FakeSiteProtocol.h"
#include "FaultyStore.h"

#include "cicadalb/base/Random.h"
#include "cicadalb/services/RunTask.h"
#include "cicadalb/submissions/SubmissionRecords.h"
#include "cicadalb/transport/HttpListener.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <memory>
#include <ostream>
#include <set>
#include <vector>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t processCount = 3;
constexpr std::size_t itemCount = 3;
constexpr std::size_t engineCount = 6;
constexpr auto timeStep = 20ms;
/// Faults begin after this time, when somebody coordinates ...
constexpr auto calmTime = 2s;
/// ... and none begins after this time.
constexpr auto faultyTime = 12s;
constexpr auto endTime = 3s;
/// Time after the last fault in which submissions that were not ended have to be finished.
constexpr auto finishTime = 40s;
constexpr std::string_view rewardPath = "/judge/";

constexpr unsigned stepsIn(Duration time) { return static_cast<unsigned>(time / timeStep); }

/// What a window disturbs.
enum class Disturbed : std::uint8_t { Watches,
    Reads,
    Writes,
    LeaseCalls,
    /// The event loop does not run.
    Loop,
    /// Nothing comes back from the targets: no connection is opened, and no answer read.
    Network };

/// Something fails at some processes for some time. Times are in steps.
struct FaultWindow {
    Disturbed disturbed = Disturbed::Watches;
    CallDisruption disruption = CallDisruption::None;
    unsigned begin = 0;
    unsigned end = 0;
    /// One bit for each process.
    unsigned processes = 0;

    bool isOpen(unsigned step, std::size_t process) const { return step >= begin && step < end && (processes >> process & 1U) != 0; }
};

std::ostream& operator<<(std::ostream& stream, const FaultWindow& window)
{
    return stream << "disturbed " << static_cast<int>(window.disturbed) << " form " << static_cast<int>(window.disruption) << " from " << window.begin << " to " << window.end << " at " << window.processes;
}

bool isDisturbed(Disturbed disturbed, CallKind kind)
{
    return (disturbed == Disturbed::Watches && kind == CallKind::Watch) || (disturbed == Disturbed::Reads && kind == CallKind::Read)
        || (disturbed == Disturbed::Writes && kind == CallKind::Write) || (disturbed == Disturbed::LeaseCalls && kind == CallKind::Lease);
}

/// Steps at which a submission is made and, if ever, ended.
struct SubmissionTimes {
    unsigned begin = 0;
    std::optional<unsigned> end;
};

std::ostream& operator<<(std::ostream& stream, const SubmissionTimes& times)
{
    return stream << "submission from " << times.begin << " to " << (times.end ? std::to_string(*times.end) : "its last result");
}

struct Scenario {
    std::vector<FaultWindow> windows;
    std::vector<SubmissionTimes> submissions;
    /// Steps at which the coordinator hands over, and a process takes its place.
    std::vector<unsigned> handOvers;
    std::vector<unsigned> historyLosses;
    std::uint64_t seed = 0;

    unsigned lastFault() const
    {
        auto last = stepsIn(faultyTime);
        for (const auto& window : windows)
            last = std::max(last, window.end);
        return last;
    }
};

std::ostream& operator<<(std::ostream& stream, const Scenario& scenario)
{
    for (const auto& window : scenario.windows)
        stream << window << '\n';
    for (const auto& times : scenario.submissions)
        stream << times << '\n';
    for (const auto step : scenario.handOvers)
        stream << "hand-over at " << step << '\n';
    for (const auto step : scenario.historyLosses)
        stream << "history lost at " << step << '\n';
    return stream << "seed " << scenario.seed << '\n';
}

class JudgingProtocol final : public FakeSiteProtocol {
public:
    HttpRequest sampleRequest(const Submission&, const SampleItem& item, const SampleAttempt& attempt) const override
    {
        auto request = makeRequest("/drafts/", item.id.value());
        request.fields.emplace_back("Last", std::to_string(attempt.lastEventId.value_or(0)));
        return request;
    }
    HttpRequest rewardRequest(const RewardCall& reward, const AttemptContext&) const override { return makeRequest(reward.path, reward.id.value()); }

private:
    static HttpRequest makeRequest(std::string target, const std::string& id)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = std::move(target);
        request.fields.emplace_back("Id", id);
        return request;
    }
};

/// Event loops with sockets, each of a pool of its own, whose handlers run on the thread of the test.
class ManualWorkers {
public:
    ManualWorkers()
    {
        for (auto& pool : m_pools)
            pool.context(0).stop();
        for (auto& pool : m_pools)
            pool.stop();
    }

    WorkerPool& ofProcess(std::size_t place) { return m_pools[place]; }
    WorkerPool& ofTargets() { return m_pools.back(); }

private:
    std::array<WorkerPool, processCount + 1> m_pools { WorkerPool(1), WorkerPool(1), WorkerPool(1), WorkerPool(1) };
};

std::size_t runReady(boost::asio::io_context& context)
{
    context.restart();
    return context.poll();
}

/// Processes that can coordinate, each with an event loop and access to the store and the targets of its own. All runs and reward calls reach one
/// listener, which breaks many of them until the faults are over.
class SimulatedEnds {
public:
    explicit SimulatedEnds(Scenario scenario)
        : m_scenario(std::move(scenario))
        , m_random(m_scenario.seed)
    {
        // HttpClient compares deadlines of the simulated clock with the clock of the system.
        m_clock.advance(std::chrono::steady_clock::now().time_since_epoch());
        RC_ASSERT(static_cast<bool>(m_target.start()));
        m_store.put("site/configuration", "4 drafts draft train.example/drafts/ idempotent:train.example/judge/");
        for (std::size_t i = 0; i < engineCount; ++i)
            m_store.put("targets/engine-" + std::to_string(i), "drafts 127.0.0.1:" + std::to_string(m_target.port()) + " ready draft 1 100");
        for (std::size_t i = 0; i < processCount; ++i)
            add(i);
    }

    ~SimulatedEnds()
    {
        m_scenario.windows.clear();
        while (!m_processes.empty())
            end(*m_processes.front());
        for (auto passed = 0s; passed < 120s; passed += 1s)
            advance(1s);
    }

    /// Runs the scenario, and on until the submissions that were not ended are finished.
    void run()
    {
        for (; m_step < m_scenario.lastFault(); ++m_step) {
            for (std::size_t i = 0; i < m_scenario.submissions.size(); ++i)
                submitOrEnd(i);
            if (std::count(m_scenario.handOvers.begin(), m_scenario.handOvers.end(), m_step) != 0)
                replaceCoordinator();
            if (std::count(m_scenario.historyLosses.begin(), m_scenario.historyLosses.end(), m_step) != 0)
                m_store.forgetHistory();
            advance(timeStep);
        }
        for (const auto limit = m_clock.now() + finishTime; !isFinished() && m_clock.now() < limit; ++m_step)
            advance(timeStep);
    }

    /// Longest time from the acknowledgement of an end to a run or reward call of the submission.
    Duration longestAfterEnd() const { return m_longestAfterEnd; }
    unsigned arrivals() const { return m_arrivals; }
    unsigned arrivalsAfterEnd() const { return m_arrivalsAfterEnd; }

    /// Whether all items of the submissions that were not ended have succeeded.
    bool isFinished() const
    {
        for (std::size_t i = 0; i < m_scenario.submissions.size(); ++i) {
            if (!m_scenario.submissions[i].end && succeededItems(i) < itemCount)
                return false;
        }
        return true;
    }

private:
    struct Process {
        std::size_t place = 0;
        boost::asio::io_context* loop = nullptr;
        boost::asio::io_context* network = nullptr;
        std::unique_ptr<FaultyStore> store;
        std::unique_ptr<SiteDirectory> directory;
        std::unique_ptr<RequestPermits> permits;
        std::shared_ptr<CrashGuard> crashGuard;
        std::unique_ptr<TargetClients> clients;
        std::shared_ptr<Coordination> coordination;
    };

    static SubmissionId submissionId(std::size_t index) { return SubmissionId("submission-" + std::to_string(index)); }

    bool isOpen(Disturbed disturbed, std::size_t place) const
    {
        return std::any_of(m_scenario.windows.begin(), m_scenario.windows.end(), [&](const auto& window) { return window.disturbed == disturbed && window.isOpen(m_step, place); });
    }

    CallDisruption disruptionOf(CallKind kind, std::size_t place) const
    {
        const auto found = std::find_if(m_scenario.windows.begin(), m_scenario.windows.end(), [&](const auto& window) { return isDisturbed(window.disturbed, kind) && window.isOpen(m_step, place); });
        return found == m_scenario.windows.end() ? CallDisruption::None : found->disruption;
    }

    void add(std::size_t place)
    {
        auto owned = std::make_unique<Process>();
        auto& process = *owned;
        process.place = place;
        process.loop = m_loops.emplace_back(std::make_unique<boost::asio::io_context>()).get();
        process.network = &m_workers.ofProcess(place).context(0);
        process.clients = std::make_unique<TargetClients>(m_workers.ofProcess(place));
        const auto executor = process.loop->get_executor();
        const HostId host("host-" + std::to_string(++m_lastSeed));
        process.store = std::make_unique<FaultyStore>(executor, m_store, m_clock, [this, place](CallKind kind) { return disruptionOf(kind, place); });
        process.directory = std::make_unique<SiteDirectory>(executor, *process.store, m_protocol, m_clock, SiteDirectorySettings {});
        process.permits = std::make_unique<RequestPermits>(executor, RequestPermitsSettings {}, nullptr, m_protocol, m_clock);
        process.crashGuard = std::make_shared<CrashGuard>(executor, *process.store, host);
        CoordinationSettings settings;
        settings.host = host;
        settings.seed = m_lastSeed;
        settings.leaseClock = &m_clock;
        settings.address = "10.0.0.1:" + std::to_string(m_lastSeed);
        settings.samples.endTime = endTime;
        process.coordination = std::make_shared<Coordination>(executor, *process.store, m_protocol, *process.directory, *process.clients, *process.permits, *process.crashGuard, m_clock, settings);
        process.directory->setChangeHandler([coordination = std::weak_ptr(process.coordination)] {
            if (const auto self = coordination.lock())
                self->onSiteChanged();
        });
        process.directory->start();
        process.coordination->start();
        m_processes.push_back(std::move(owned));
    }

    static Task<bool> handOver(std::shared_ptr<Coordination> coordination)
    {
        co_await coordination->handOver();
        co_return true;
    }

    /// Ends a process as a signal does.
    void end(Process& process)
    {
        process.directory->stop();
        m_endings.push_back(startTask<bool>(process.loop->get_executor(), handOver(process.coordination)));
        const auto found = std::find_if(m_processes.begin(), m_processes.end(), [&](const auto& owned) { return owned.get() == &process; });
        m_ended.push_back(std::move(*found));
        m_processes.erase(found);
    }

    void replaceCoordinator()
    {
        const auto found = std::find_if(m_processes.begin(), m_processes.end(), [](const auto& process) { return process->coordination->isCoordinating(); });
        auto& replaced = found == m_processes.end() ? *m_processes.front() : **found;
        add(replaced.place);
        end(replaced);
    }

    void submitOrEnd(std::size_t index)
    {
        const auto& times = m_scenario.submissions[index];
        const auto id = submissionId(index);
        if (times.begin == m_step) {
            Submission submission;
            submission.id = id;
            submission.authority = "train.example";
            submission.path = "/drafts/";
            submission.model = ModelName("draft");
            submission.submittedAt = std::chrono::duration_cast<UnixTime>(std::chrono::system_clock::now().time_since_epoch());
            for (std::size_t item = 0; item < itemCount; ++item) {
                const auto name = id.value() + "/" + std::to_string(item);
                auto& added = submission.items.emplace_back();
                added.id = ItemId(name);
                added.reward = RewardCall { RequestId(name + "/reward"), "train.example", std::string(rewardPath), {} };
            }
            m_store.put(itemCountKey(id), encodeItemCount(itemCount));
            m_store.put(submissionKey(id), encodeSubmission(submission));
        }
        if (times.end == m_step) {
            m_store.put(endKey(id), "ended");
            m_endedAt[id.value()] = m_clock.now();
        }
    }

    std::size_t succeededItems(std::size_t index) const
    {
        const auto prefix = resultKeyPrefix(submissionId(index));
        std::set<std::string> succeeded;
        for (auto entry = m_store.entries().lower_bound(prefix); entry != m_store.entries().end() && entry->first.starts_with(prefix); ++entry) {
            if (entry->first == itemCountKey(submissionId(index)))
                continue;
            const auto results = decodeResults(entry->second.value);
            RC_ASSERT(static_cast<bool>(results));
            for (const auto& result : results.value()) {
                if (result.state == ResultState::Succeeded)
                    succeeded.insert(result.item.value());
            }
        }
        return succeeded.size();
    }

    void advance(Duration time)
    {
        m_store.advance(time);
        std::size_t handlers = 0;
        do {
            handlers = runReady(m_context) + runReady(m_workers.ofTargets().context(0));
            for (const auto* processes : { &m_processes, &m_ended }) {
                for (const auto& process : *processes) {
                    if (!isOpen(Disturbed::Loop, process->place))
                        handlers += runReady(*process->loop);
                    if (!isOpen(Disturbed::Network, process->place))
                        handlers += runReady(*process->network);
                }
            }
        } while (handlers > 0);
    }

    void recordArrival(std::string_view id)
    {
        ++m_arrivals;
        const auto ended = m_endedAt.find(std::string(id.substr(0, id.find('/'))));
        if (ended == m_endedAt.end())
            return;
        ++m_arrivalsAfterEnd;
        m_longestAfterEnd = std::max(m_longestAfterEnd, m_clock.now() - ended->second);
    }

    bool isBroken() { return m_step < m_scenario.lastFault() && randomUnit(m_random) < brokenShare; }

    Task<void> serve(ServerRequest& request, ServerResponder& responder)
    {
        const auto id = std::string(request.field("Id"));
        if (id.empty()) {
            co_await responder.send({});
            co_return;
        }
        recordArrival(id);
        HttpResponse response;
        response.status = 200;
        response.fields.emplace_back("Id", id);
        ClockTimer timer(m_workers.ofTargets().context(0).get_executor(), m_clock);
        if (request.path == rewardPath) {
            co_await timer.waitFor(timeStep * static_cast<int>(randomIndex(m_random, longestRewardSteps)));
            response.status = isBroken() ? 503 : 200;
            co_await responder.send(std::move(response));
            co_return;
        }
        constexpr unsigned eventCount = 8;
        unsigned event = static_cast<unsigned>(std::stoul(std::string(request.field("Last"))));
        const auto lastEvent = isBroken() ? event + static_cast<unsigned>(randomIndex(m_random, 4)) : eventCount;
        bool isConnected = co_await responder.beginStream(std::move(response));
        while (isConnected && event < std::min(lastEvent, eventCount)) {
            co_await timer.waitFor(eventInterval);
            ++event;
            isConnected = co_await responder.writeChunk("id: " + std::to_string(event) + "\ndata: text\n\n");
        }
        if (isConnected && event == eventCount)
            co_await responder.endStream({});
    }

    /// Share of the runs and reward calls that break while there are faults.
    static constexpr double brokenShare = 0.7;
    static constexpr std::size_t longestRewardSteps = 50;
    static constexpr auto eventInterval = 250ms;

    Scenario m_scenario;
    Random m_random;
    boost::asio::io_context m_context;
    ManualClock m_clock;
    FakeKeyValueService m_store { m_context.get_executor(), m_clock };
    JudgingProtocol m_protocol;
    /// What waits in the workers may belong to one of the loops.
    std::vector<std::unique_ptr<boost::asio::io_context>> m_loops;
    ManualWorkers m_workers;
    HttpListener m_target { m_workers.ofTargets(), {}, [this](auto& request, auto& responder) { return serve(request, responder); } };
    std::vector<std::unique_ptr<Process>> m_processes;
    std::vector<std::unique_ptr<Process>> m_ended;
    std::vector<Pending<bool>> m_endings;
    std::map<std::string, TimePoint> m_endedAt;
    Duration m_longestAfterEnd {};
    unsigned m_arrivals = 0;
    unsigned m_arrivalsAfterEnd = 0;
    unsigned m_step = 0;
    std::uint64_t m_lastSeed = 0;
};

/// A number of the whole range, unlike those of rc::gen::inRange(), which are small in the first cases.
unsigned anyNumber(unsigned from, unsigned until) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(from, until)); }

unsigned anyStep(Duration from, Duration until) { return anyNumber(stepsIn(from), stepsIn(until)); }

FaultWindow anyWindow(Disturbed disturbed, CallDisruption disruption, Duration longest)
{
    const auto begin = anyStep(calmTime, faultyTime);
    const auto length = anyNumber(1, stepsIn(longest) + 1);
    return { disturbed, disruption, begin, begin + length, anyNumber(1, 1U << processCount) };
}

const std::vector<CallDisruption> lossyForms { CallDisruption::Silent, CallDisruption::Refused, CallDisruption::Delayed };

void addCallWindows(Scenario& scenario, const std::vector<Disturbed>& kinds, unsigned most)
{
    const auto count = anyNumber(1, most + 1);
    for (unsigned i = 0; i < count; ++i)
        scenario.windows.push_back(anyWindow(*rc::gen::elementOf(kinds), *rc::gen::elementOf(lossyForms), 10s));
}

void addStalls(Scenario& scenario)
{
    const auto stalls = anyNumber(0, 4);
    for (unsigned i = 0; i < stalls; ++i)
        scenario.windows.push_back(anyWindow(Disturbed::Loop, CallDisruption::None, 4s));
    const auto delays = anyNumber(0, 6);
    for (unsigned i = 0; i < delays; ++i)
        scenario.windows.push_back(anyWindow(Disturbed::Network, CallDisruption::None, 1s));
}

/// Event loops stall while connections are opened.
void addStallsInConnects(Scenario& scenario)
{
    const auto count = anyNumber(1, 3);
    for (unsigned i = 0; i < count; ++i) {
        auto delay = anyWindow(Disturbed::Network, CallDisruption::None, 1s);
        delay.processes = (1U << processCount) - 1;
        auto stall = delay;
        stall.disturbed = Disturbed::Loop;
        stall.begin += anyNumber(0, delay.end - delay.begin);
        stall.end = stall.begin + anyNumber(stepsIn(endTime), stepsIn(4s) + 1);
        scenario.windows.push_back(delay);
        scenario.windows.push_back(stall);
    }
}

/// Watches hear nothing for a second, after which the history is lost.
void addDeafness(Scenario& scenario)
{
    auto window = anyWindow(Disturbed::Watches, CallDisruption::Deaf, 1s);
    window.end = window.begin + stepsIn(1s);
    window.processes = (1U << processCount) - 1;
    scenario.historyLosses.push_back(window.end);
    scenario.windows.insert(scenario.windows.begin(), window);
}

void addHandOvers(Scenario& scenario)
{
    const auto count = anyNumber(0, 4);
    for (unsigned i = 0; i < count; ++i)
        scenario.handOvers.push_back(anyStep(calmTime, faultyTime));
}

Scenario anyScenario()
{
    Scenario scenario;
    scenario.seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto count = anyNumber(2, 5);
    for (unsigned i = 0; i < count; ++i) {
        SubmissionTimes times { anyStep(1s, 6s), std::nullopt };
        if (i > 0)
            times.end = anyStep(6s, faultyTime);
        scenario.submissions.push_back(times);
    }
    return scenario;
}

void checkEnds(const Scenario& scenario)
{
    SimulatedEnds ends(scenario);
    ends.run();
    RC_LOG() << scenario << "longest after an end: " << std::chrono::duration_cast<std::chrono::milliseconds>(ends.longestAfterEnd()).count() << " ms, arrivals " << ends.arrivals() << ", after ends " << ends.arrivalsAfterEnd() << '\n';
    RC_CLASSIFY(ends.arrivalsAfterEnd() > 0, "sent after an end");
    RC_CLASSIFY(ends.longestAfterEnd() > 1s, "sent more than 1 s after an end");
    RC_CLASSIFY(ends.longestAfterEnd() > 2s, "sent more than 2 s after an end");
    RC_ASSERT(ends.longestAfterEnd() <= endTime);
    RC_ASSERT(ends.isFinished());
}

} // namespace

TEST_CASE("path of an end, calls of one kind fail, nothing of an ended submission reaches a target after the end time")
{
    CHECK(rc::check([] {
        auto scenario = anyScenario();
        addCallWindows(scenario, { *rc::gen::element(Disturbed::Watches, Disturbed::Reads, Disturbed::Writes, Disturbed::LeaseCalls) }, 2);
        checkEnds(scenario);
    }));
}

TEST_CASE("path of an end, event loops stall and connections are slow, nothing of an ended submission reaches a target after the end time")
{
    CHECK(rc::check([] {
        auto scenario = anyScenario();
        addStalls(scenario);
        addStallsInConnects(scenario);
        checkEnds(scenario);
    }));
}

TEST_CASE("path of an end, calls fail beside planned changes and stalls, nothing of an ended submission reaches a target after the end time")
{
    CHECK(rc::check([] {
        auto scenario = anyScenario();
        addCallWindows(scenario, { Disturbed::Watches, Disturbed::Reads, Disturbed::Writes, Disturbed::LeaseCalls }, 4);
        addHandOvers(scenario);
        addStalls(scenario);
        checkEnds(scenario);
    }));
}

TEST_CASE("path of an end, watches hear nothing or repeat changes and the history is lost, nothing of an ended submission reaches a target after the end time")
{
    CHECK(rc::check([] {
        auto scenario = anyScenario();
        addCallWindows(scenario, { Disturbed::Watches, Disturbed::Reads }, 2);
        scenario.windows.push_back(anyWindow(Disturbed::Watches, CallDisruption::Repeated, 10s));
        addHandOvers(scenario);
        addDeafness(scenario);
        checkEnds(scenario);
    }));
}
