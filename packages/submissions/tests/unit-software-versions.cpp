#include "cicadalb/base/Random.h"
#include "cicadalb/submissions/SampleScheduler.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <sstream>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const ModelName model("draft");
const PoolName pool("engines");

/// Engines of up to three software versions, and a coordinator that runs the items of one submission on them. Each event's text is the version of the
/// process that generated it.
class MixedPool {
public:
    static constexpr std::size_t itemCount = 12;
    static constexpr std::uint64_t eventsPerText = 12;

    explicit MixedPool(std::uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < 4; ++i)
            addEngine();
        m_submission.model = model;
        m_submission.oldestVersion = 1;
        for (std::size_t i = 0; i < itemCount; ++i) {
            SampleItem item;
            item.id = ItemId("i" + std::to_string(i));
            m_submission.items.push_back(std::move(item));
        }
        open();
    }

    void step()
    {
        m_clock.advance(20ms);
        placeItems();
        advanceRuns();
    }

    /// Applies a random change to the engines, the runs, the submission or the coordinator.
    void disturb()
    {
        using Change = void (MixedPool::*)();
        static constexpr auto changes = std::to_array<Change>({ &MixedPool::crashEngine, &MixedPool::crashEngine, &MixedPool::restartEngine, &MixedPool::restartEngine, &MixedPool::addEngine,
            &MixedPool::drainEngine, &MixedPool::cancelRun, &MixedPool::cancelRun, &MixedPool::moveRuns, &MixedPool::submitAgain, &MixedPool::replaceCoordinator, &MixedPool::replaceCoordinatorOfEarlierBuild });
        (this->*changes[randomIndex(m_random, changes.size())])();
    }

    /// Leaves at least one engine that serves, and no entries of engines that do not.
    void settleEngines()
    {
        std::erase_if(m_engines, [](const auto& engine) { return !engine.isAlive; });
        if (std::none_of(m_engines.begin(), m_engines.end(), [](const auto& engine) { return engine.isRegistered; }))
            addEngine();
        publishEngines();
    }

    bool isFinished() const { return m_done.size() == itemCount; }
    bool hasMixedText() const { return m_hasMixedText; }

private:
    struct EngineProcess {
        TargetId id;
        SoftwareVersion version;
        Incarnation startedAt = 1;
        bool isAlive = true;
        bool isRegistered = true;
    };

    struct Run {
        TargetId engine;
        /// Start of the engine that executes the run; 0 until the request has reached it.
        Incarnation startedAt = 0;
    };

    SoftwareVersion randomVersion() { return SoftwareVersion("r" + std::to_string(randomIndex(m_random, 3))); }
    EngineProcess* randomEngine() { return m_engines.empty() ? nullptr : &m_engines[randomIndex(m_random, m_engines.size())]; }
    EngineProcess* process(const TargetId& id)
    {
        const auto found = std::find_if(m_engines.begin(), m_engines.end(), [&](const auto& engine) { return engine.id == id; });
        return found == m_engines.end() ? nullptr : &*found;
    }

    void publishEngines()
    {
        std::vector<SchedulableEngine> engines;
        for (const auto& engine : m_engines) {
            if (engine.isRegistered)
                engines.push_back({ engine.id, pool, 3, { { "draft", 1 } }, engine.version, engine.startedAt });
        }
        m_scheduler->setEngines(engines);
    }

    void addEngine()
    {
        m_engines.push_back({ TargetId("e" + std::to_string(++m_engineNumber)), randomVersion() });
        publishEngines();
    }

    void crashEngine()
    {
        if (auto* engine = randomEngine())
            endProcess(*engine);
    }

    void restartEngine()
    {
        auto* engine = randomEngine();
        if (!engine)
            return;
        endProcess(*engine);
        engine->isAlive = true;
        engine->isRegistered = true;
        ++engine->startedAt;
        engine->version = randomVersion();
        publishEngines();
    }

    void drainEngine()
    {
        if (auto* engine = randomEngine()) {
            engine->isRegistered = false;
            publishEngines();
        }
    }

    void endProcess(EngineProcess& engine)
    {
        engine.isAlive = false;
        for (std::size_t i = 0; i < itemCount; ++i) {
            const auto run = m_runs.find(i);
            if (run != m_runs.end() && run->second.engine == engine.id && run->second.startedAt != 0)
                endRun(i, RunOutcome::Interrupted);
        }
    }

    void cancelRun()
    {
        if (!m_runs.empty())
            endRun(m_runs.begin()->first, RunOutcome::Cancelled);
    }

    void moveRuns()
    {
        for (const auto& key : m_scheduler->itemsToMove(m_clock.now()))
            endRun(key.index, RunOutcome::Cancelled);
    }

    void submitAgain()
    {
        m_scheduler->remove(m_submission.id);
        open();
    }

    void replaceCoordinator() { takeOver(m_scheduler->partialTexts(1, 1 << 20)); }

    void replaceCoordinatorOfEarlierBuild()
    {
        auto texts = m_scheduler->partialTexts(1, 1 << 20);
        for (auto& entry : texts)
            entry.text.release = {};
        takeOver(texts);
    }

    void takeOver(const std::vector<ItemText>& texts)
    {
        auto stored = decodePartialTexts(encodePartialTexts(texts));
        RC_ASSERT(stored.has_value());
        m_scheduler = std::make_unique<SampleScheduler>();
        m_scheduler->addPartialTexts(std::move(stored.value()));
        open();
    }

    void open()
    {
        m_runs.clear();
        m_submission.id = SubmissionId("step-" + std::to_string(++m_stepNumber));
        SubmissionPolicy policy;
        policy.softDeadline = m_clock.now() + 7500ms;
        policy.expiresAt = m_clock.now() + 10min;
        policy.pools = { pool };
        publishEngines();
        m_scheduler->add(m_submission, policy, m_done);
    }

    void placeItems()
    {
        for (const auto& placement : m_scheduler->place(m_clock.now()))
            m_runs[placement.item.index] = { placement.engine };
    }

    void advanceRuns()
    {
        for (std::size_t i = 0; i < itemCount; ++i) {
            const auto found = m_runs.find(i);
            if (found == m_runs.end() || randomIndex(m_random, 4) == 0)
                continue;
            auto* engine = process(found->second.engine);
            if (!engine || !engine->isAlive)
                endRun(i, RunOutcome::NotRun);
            else if (found->second.startedAt == 0)
                found->second.startedAt = engine->startedAt;
            else
                generateEvent(i, *engine);
        }
    }

    void generateEvent(std::size_t index, const EngineProcess& engine)
    {
        const ItemKey key { m_submission.id, index };
        const auto number = m_scheduler->partialText(key)->lastEventId.value_or(0) + 1;
        m_scheduler->onEvent(key, number, engine.version.value(), 1, m_clock.now());
        if (number >= eventsPerText)
            endRun(index, RunOutcome::Complete);
    }

    void endRun(std::size_t index, RunOutcome outcome)
    {
        const ItemKey key { m_submission.id, index };
        m_runs.erase(index);
        if (m_scheduler->onRunEnd(key, outcome, m_clock.now()) != ItemAction::RequestReward)
            return;
        std::istringstream lines(m_scheduler->partialText(key)->text);
        std::set<std::string> versions;
        for (std::string line; std::getline(lines, line);)
            versions.insert(line);
        m_hasMixedText = m_hasMixedText || versions.size() > 1;
        m_done.insert(m_submission.items[index].id);
        m_scheduler->settle(key);
    }

    Random m_random;
    ManualClock m_clock;
    std::unique_ptr<SampleScheduler> m_scheduler = std::make_unique<SampleScheduler>();
    Submission m_submission;
    std::vector<EngineProcess> m_engines;
    std::map<std::size_t, Run> m_runs;
    std::set<ItemId> m_done;
    unsigned m_engineNumber = 0;
    unsigned m_stepNumber = 0;
    bool m_hasMixedText = false;
};

/// A text of ten events that an engine with software r1 began; other engines are added by a test.
struct BegunTextFixture {
    SampleScheduler scheduler;
    ManualClock clock;
    const ItemKey key { SubmissionId("step-1"), 0 };
    const SchedulableEngine first = engineWith("first", "r1");
    const SchedulableEngine sameSoftware = engineWith("same", "r1");
    const SchedulableEngine otherSoftware = engineWith("other", "r2");

    BegunTextFixture()
    {
        scheduler.setEngines({ first });
        Submission submission;
        submission.id = key.submission;
        submission.model = model;
        submission.items.emplace_back();
        SubmissionPolicy policy;
        policy.softDeadline = clock.now() + 7500ms;
        policy.expiresAt = clock.now() + 1min;
        policy.pools = { pool };
        scheduler.add(submission, policy, {});
        REQUIRE(scheduler.place(clock.now()).size() == 1);
        addEvents(10);
    }

    static SchedulableEngine engineWith(const std::string& id, const std::string& software) { return { TargetId(id), pool, 4, { { "draft", 1 } }, SoftwareVersion(software), 1 }; }

    void addEvents(std::uint64_t count)
    {
        for (std::uint64_t i = 0; i < count; ++i) {
            clock.advance(20ms);
            scheduler.onEvent(key, scheduler.partialText(key)->lastEventId.value_or(0) + 1, "e", 1, clock.now());
        }
    }

    std::string engineOfNextRun()
    {
        const auto placements = scheduler.place(clock.now());
        return placements.empty() ? "" : placements.front().engine.value();
    }
    std::size_t events() const { return scheduler.partialText(key)->eventCount; }
};

} // namespace

TEST_CASE("sample scheduler, engines of several software versions come, go and restart, each finished text is of one version and all texts finish")
{
    CHECK(rc::check([] {
        MixedPool engines(*rc::gen::inRange<std::uint64_t>(0, 1000000));
        const auto disturbances = *rc::gen::inRange(0, 60);
        for (int i = 0; i < disturbances; ++i) {
            engines.step();
            if (i % 2 == 0)
                engines.disturb();
            RC_ASSERT(!engines.hasMixedText());
        }
        engines.settleEngines();
        for (int i = 0; i < 1500 && !engines.isFinished(); ++i)
            engines.step();
        RC_ASSERT(!engines.hasMixedText());
        RC_ASSERT(engines.isFinished());
    }));
}

TEST_CASE_METHOD(BegunTextFixture, "sample scheduler, broken run, continues the text on an engine with its software and not on a faster one with other software")
{
    scheduler.setEngines({ sameSoftware, otherSoftware });
    scheduler.onRunEnd(key, RunOutcome::Interrupted, clock.now());
    CHECK(engineOfNextRun() == "same");
    CHECK(events() == 10);
}

TEST_CASE_METHOD(BegunTextFixture, "sample scheduler, no engine with a text's software left, begins the text again at once")
{
    scheduler.setEngines({ otherSoftware });
    scheduler.onRunEnd(key, RunOutcome::Interrupted, clock.now());
    CHECK(engineOfNextRun() == "other");
    CHECK(events() == 0);
}

TEST_CASE_METHOD(BegunTextFixture, "sample scheduler, engine with a text's software busy, waits for it no longer than generating the events again takes")
{
    auto fullEngine = sameSoftware;
    fullEngine.models.clear();
    scheduler.setEngines({ fullEngine, otherSoftware });
    scheduler.onRunEnd(key, RunOutcome::Interrupted, clock.now());
    CHECK(engineOfNextRun().empty());
    clock.advance(10 * SampleScheduler::assumedTimePerEvent);
    CHECK(engineOfNextRun().empty());
    CHECK(events() == 10);
    clock.advance(1ms);
    CHECK(engineOfNextRun() == "other");
    CHECK(events() == 0);
}

TEST_CASE_METHOD(BegunTextFixture, "sample scheduler, no other engine free, keeps the text however long its engine is busy")
{
    auto fullEngine = sameSoftware;
    fullEngine.models.clear();
    scheduler.setEngines({ fullEngine });
    scheduler.onRunEnd(key, RunOutcome::Interrupted, clock.now());
    clock.advance(20s);
    CHECK(engineOfNextRun().empty());
    CHECK(events() == 10);
}

TEST_CASE_METHOD(BegunTextFixture, "sample scheduler, engine without a software version, begins the text again")
{
    scheduler.setEngines({ engineWith("unknown", "") });
    scheduler.onRunEnd(key, RunOutcome::Interrupted, clock.now());
    CHECK(engineOfNextRun() == "unknown");
    CHECK(events() == 0);
    addEvents(3);
    scheduler.onRunEnd(key, RunOutcome::Cancelled, clock.now());
    CHECK(engineOfNextRun() == "unknown");
    CHECK(events() == 0);
}

TEST_CASE_METHOD(BegunTextFixture, "sample scheduler, engine restarts with other software before a continued run reaches it, drops the text")
{
    scheduler.setEngines({ sameSoftware });
    scheduler.onRunEnd(key, RunOutcome::Interrupted, clock.now());
    CHECK(engineOfNextRun() == "same");
    auto restarted = engineWith("same", "r2");
    restarted.startedAt = 2;
    scheduler.setEngines({ restarted });
    addEvents(2);
    CHECK(scheduler.partialTexts(1, 1000).empty());
    CHECK(scheduler.onRunEnd(key, RunOutcome::Complete, clock.now()) == ItemAction::Retry);
    CHECK(events() == 0);
}

TEST_CASE_METHOD(BegunTextFixture, "sample scheduler, engine restarts with the same software while it runs a text, keeps the text")
{
    auto restarted = first;
    restarted.startedAt = 2;
    scheduler.setEngines({ restarted });
    CHECK(scheduler.onRunEnd(key, RunOutcome::Interrupted, clock.now()) == ItemAction::Retry);
    CHECK(events() == 10);
}
