#pragma once

#include "cicadalb/base/Random.h"
#include "cicadalb/submissions/SampleScheduler.h"

#include <boost/random/lognormal_distribution.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <vector>

/// @file
/// Simulation of trainers whose submissions the real scheduler places on model engines. It opens no sockets.

namespace cicadalb::simulation {

class TrainerSimulation;

struct TrainerScenario {
    /// What the trainers ask for, as a multiple of what the engines can generate.
    double load = 1.0;
    GroupOrder order = GroupOrder::InTimeFirst;
    std::uint64_t seed = 1;
    std::chrono::seconds duration { 240 };
    std::size_t engines = 10;
    unsigned slots = 6;
    double slowestToFastest = 2.5;
    /// Whether all engines generate at a third of their speed for a quarter of the time.
    bool hasSlowPeriod = false;
    /// Spread of the lengths of texts on a log scale, and the time that the longest need on the fastest engine with all slots in use, or zero.
    double lengthSpread = 0.4;
    double longestText = 0;
    /// Share of the engines that turn slow together for slowEnginesFor, other ones each time, and the multiple of their time per event.
    double slowEnginesShare = 0;
    double slowEnginesFactor = 3;
    std::chrono::seconds slowEnginesFor { 8 };
    std::chrono::seconds slowEnginesInterval { 20 };
    /// Length of the texts of the second half, as a multiple of that of the first.
    double secondHalfLength = 1;
    /// Called every half second; may change the engines.
    std::function<void(TrainerSimulation&)> changeEngines;
};

/// What trainers got; groups as shares of the groups that they would have waited for if each of their steps had been on time.
struct TrainerResult {
    double inTime = 0;
    double late = 0;
    double never = 0;
    /// Shares in time of the trainers that got the least and the most.
    double leastInTime = 1;
    double mostInTime = 0;
    std::size_t steps = 0;
    /// Longest time from one finished or abandoned step of a trainer to the next.
    double longestStep = 0;
    /// Share of the generated events that are in no whole group.
    double inVain = 0;
    /// Runs that the scheduler cut to move their items.
    std::size_t cutRuns = 0;
};

class TrainerSimulation {
public:
    explicit TrainerSimulation(TrainerScenario scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_scheduler(scenario.order)
    {
        std::vector<SchedulableEngine> engines;
        double capacity = 0;
        for (std::size_t i = 0; i < m_scenario.engines; ++i) {
            const auto position = static_cast<double>(i) / static_cast<double>(m_scenario.engines - 1);
            const auto secondsPerEvent = fastestSecondsPerEvent * std::pow(m_scenario.slowestToFastest, position);
            const TargetId id("engine-" + std::to_string(i));
            m_engines[id] = { secondsPerEvent };
            capacity += m_scenario.slots / secondsPerEvent;
            engines.push_back(engineNamed(id));
        }
        m_scheduler.setEngines(engines);
        m_lengthFactor = boost::random::lognormal_distribution<double>(-m_scenario.lengthSpread * m_scenario.lengthSpread / 2, m_scenario.lengthSpread);
        double itemsPerSecond = 0;
        for (const auto& shape : shapes)
            itemsPerSecond += static_cast<double>(shape.groups * shape.itemsInGroup) / interval.count();
        m_meanEvents = m_scenario.load * capacity / itemsPerSecond;
        m_trainers.resize(shapes.size());
        for (std::size_t i = 0; i < m_trainers.size(); ++i)
            m_trainers[i].nextStepAt = m_clock.now() + toDuration(interval * (static_cast<double>(i) / static_cast<double>(m_trainers.size())));
    }

    TimePoint now() const { return m_clock.now(); }
    SampleScheduler& scheduler() { return m_scheduler; }

    /// @brief Adds an engine with its time per event as a multiple of the fastest's.
    void addEngine(const TargetId& id, double relativeTime) { m_engines[id] = { fastestSecondsPerEvent * relativeTime }; }

    /// @brief Sets the engines that may get new runs; others finish theirs.
    void setUsable(const std::vector<TargetId>& ids)
    {
        std::vector<SchedulableEngine> engines;
        engines.reserve(ids.size());
        for (const auto& id : ids)
            engines.push_back(engineNamed(id));
        m_scheduler.setEngines(engines);
    }

    /// @brief Takes an engine away with its runs. @return number of runs that broke off
    std::size_t removeEngine(const TargetId& id)
    {
        std::vector<ItemKey> broken;
        for (const auto& [key, run] : m_runs) {
            if (run.engine == id)
                broken.push_back(key);
        }
        for (const auto& key : broken) {
            endRun(key);
            m_scheduler.onRunEnd(key, RunOutcome::Interrupted, m_clock.now());
        }
        m_engines.erase(id);
        return broken.size();
    }

    TrainerResult run()
    {
        const auto start = m_clock.now();
        m_startedAt = start;
        const auto end = start + m_scenario.duration;
        for (unsigned tick = 0; m_clock.now() < end; ++tick) {
            for (std::size_t trainer = 0; trainer < m_trainers.size(); ++trainer)
                advanceTrainer(trainer);
            if (m_scenario.changeEngines && tick % ticksBetweenEngineChanges == 0)
                m_scenario.changeEngines(*this);
            if (tick % ticksBetweenMoves == 0)
                moveItems();
            for (const auto& placement : m_scheduler.place(m_clock.now()))
                startRun(placement);
            m_clock.advance(tickTime);
            const auto elapsed = m_clock.now() - start;
            const bool isSlow = m_scenario.hasSlowPeriod && elapsed > m_scenario.duration / 4 && elapsed < m_scenario.duration / 2;
            slowSomeEngines(elapsed);
            generate(isSlow ? 1.0 / 3 : 1.0);
        }
        return summarize();
    }

private:
    using Seconds = std::chrono::duration<double>;

    struct Shape {
        std::size_t groups;
        std::size_t itemsInGroup;
        Seconds training;
        /// Steps that may be open at the same time.
        std::size_t maximumOpenSteps;
    };
    /// Steps of the trainers.
    static constexpr std::array<Shape, 8> shapes { { { 7, 16, Seconds(1), 1 }, { 14, 8, Seconds(1), 2 }, { 6, 16, Seconds(1), 1 }, { 4, 16, Seconds(0.5), 2 },
        { 6, 16, Seconds(1), 1 }, { 6, 16, Seconds(0.5), 2 }, { 5, 16, Seconds(1), 1 }, { 13, 8, Seconds(1), 2 } } };
    static constexpr Seconds interval { 4 };
    static constexpr Seconds dueAfter { 7.5 };
    /// Results that are listed so long after the due time still count as in time.
    static constexpr Seconds readingTime { 0.7 };
    static constexpr Seconds givesUpAfter { 12 };
    static constexpr double wantedShare = 0.9;
    static constexpr double fastestSecondsPerEvent = 0.02;
    /// Time per event with one run, as a share of that with all slots in use.
    static constexpr double unloadedShare = 0.4;
    static constexpr double hintSpread = 0.5;
    static constexpr double tokensPerEvent = 54;
    static constexpr std::chrono::milliseconds tickTime { 10 };
    static constexpr unsigned ticksBetweenMoves = 10;
    static constexpr unsigned ticksBetweenEngineChanges = 50;

    struct Engine {
        double secondsPerEvent = 0;
        unsigned running = 0;
        double slowness = 1;
    };

    struct Run {
        TargetId engine;
        double progress = 0;
        std::size_t events = 0;
    };

    struct Step {
        SubmissionId id;
        TimePoint submittedAt;
        std::vector<std::size_t> lengths;
        std::vector<std::size_t> generated;
        std::vector<std::size_t> openItems;
        std::size_t wanted = 0;
        std::size_t wholeGroups = 0;
    };

    struct Trainer {
        TimePoint nextStepAt;
        TimePoint lastEndAt;
        std::map<SubmissionId, Step> openSteps;
        std::size_t steps = 0;
        std::size_t inTime = 0;
        std::size_t late = 0;
    };

    void slowSomeEngines(Duration elapsed)
    {
        if (m_scenario.slowEnginesShare <= 0)
            return;
        const auto period = elapsed / m_scenario.slowEnginesInterval;
        const bool isSlow = period > 0 && elapsed % m_scenario.slowEnginesInterval < m_scenario.slowEnginesFor;
        const auto count = static_cast<std::size_t>(std::ceil(m_scenario.slowEnginesShare * static_cast<double>(m_engines.size())));
        std::size_t position = 0;
        for (auto& [id, engine] : m_engines) {
            const auto turn = (position++ + static_cast<std::size_t>(period) * count) % m_engines.size();
            engine.slowness = isSlow && turn < count ? m_scenario.slowEnginesFactor : 1;
        }
    }

    SchedulableEngine engineNamed(const TargetId& id) const
    {
        SchedulableEngine engine { id, PoolName("engines"), m_scenario.slots, {}, SoftwareVersion("r1"), 1 };
        for (std::size_t trainer = 0; trainer < shapes.size(); ++trainer)
            engine.models[modelOf(trainer).value()] = 1;
        return engine;
    }

    static Duration toDuration(Seconds seconds) { return std::chrono::duration_cast<Duration>(seconds); }
    static ModelName modelOf(std::size_t trainer) { return ModelName("model-" + std::to_string(trainer)); }
    static std::size_t wantedGroups(std::size_t trainer) { return static_cast<std::size_t>(std::ceil(wantedShare * static_cast<double>(shapes[trainer].groups))); }

    void advanceTrainer(std::size_t index)
    {
        auto& trainer = m_trainers[index];
        const auto now = m_clock.now();
        std::vector<SubmissionId> ended;
        for (const auto& [id, step] : trainer.openSteps) {
            if (step.wholeGroups >= step.wanted || now >= step.submittedAt + toDuration(givesUpAfter))
                ended.push_back(id);
        }
        for (const auto& id : ended)
            endStep(index, id);
        if (trainer.openSteps.size() < shapes[index].maximumOpenSteps && now >= trainer.nextStepAt)
            beginStep(index);
    }

    void beginStep(std::size_t index)
    {
        auto& trainer = m_trainers[index];
        const auto& shape = shapes[index];
        const auto now = m_clock.now();
        Submission submission;
        submission.id = SubmissionId("step-" + std::to_string(index) + "-" + std::to_string(trainer.steps++));
        submission.model = modelOf(index);
        submission.oldestVersion = 1;
        submission.wantedGroupCount = wantedGroups(index);
        Step step;
        step.id = submission.id;
        step.submittedAt = now;
        step.wanted = submission.wantedGroupCount;
        step.openItems.assign(shape.groups, shape.itemsInGroup);
        for (std::size_t i = 0; i < shape.groups * shape.itemsInGroup; ++i) {
            const auto factor = now >= m_startedAt + m_scenario.duration / 2 ? m_scenario.secondHalfLength : 1.0;
            const auto longest = m_scenario.longestText > 0 ? m_scenario.longestText / fastestSecondsPerEvent : std::numeric_limits<double>::infinity();
            const auto length = std::clamp(factor * m_meanEvents * m_lengthFactor(m_random), 1.0, longest);
            step.lengths.push_back(static_cast<std::size_t>(length));
            SampleItem item;
            item.id = ItemId(submission.id.value() + "-" + std::to_string(i));
            item.group = GroupId(std::to_string(i / shape.itemsInGroup));
            item.lengthHint = length * m_hintFactor(m_random) * tokensPerEvent;
            submission.items.push_back(std::move(item));
        }
        step.generated.assign(step.lengths.size(), 0);
        SubmissionPolicy policy;
        policy.softDeadline = now + toDuration(dueAfter);
        policy.expiresAt = now + std::chrono::seconds(40);
        policy.pools = { PoolName("engines") };
        m_scheduler.add(submission, policy, {});
        m_stepOwners[step.id] = index;
        trainer.openSteps.emplace(step.id, std::move(step));
        trainer.nextStepAt = std::max(trainer.nextStepAt, now) + toDuration(interval);
    }

    void endStep(std::size_t index, const SubmissionId& id)
    {
        auto& trainer = m_trainers[index];
        const auto now = m_clock.now();
        for (const auto& key : m_scheduler.remove(id))
            endRun(key);
        const auto& step = trainer.openSteps.at(id);
        for (std::size_t i = 0; i < step.generated.size(); ++i)
            m_eventsInVain += step.openItems[i / shapes[index].itemsInGroup] > 0 ? step.generated[i] : 0;
        m_stepOwners.erase(id);
        trainer.openSteps.erase(id);
        if (trainer.lastEndAt != TimePoint())
            m_result.longestStep = std::max(m_result.longestStep, Seconds(now - trainer.lastEndAt).count());
        trainer.lastEndAt = now;
        trainer.nextStepAt = std::max(trainer.nextStepAt, now + toDuration(shapes[index].training));
        ++m_result.steps;
    }

    Step& stepOf(const SubmissionId& id) { return m_trainers[m_stepOwners.at(id)].openSteps.at(id); }

    void moveItems()
    {
        for (const auto& key : m_scheduler.itemsToMove(m_clock.now())) {
            ++m_result.cutRuns;
            endRun(key);
            m_scheduler.onRunEnd(key, RunOutcome::Cancelled, m_clock.now());
        }
    }

    void startRun(const Placement& placement)
    {
        const auto& step = stepOf(placement.item.submission);
        m_runs[placement.item] = { placement.engine, 0, step.generated[placement.item.index] };
        ++m_engines.at(placement.engine).running;
    }

    void endRun(const ItemKey& key)
    {
        const auto found = m_runs.find(key);
        if (found == m_runs.end())
            return;
        --m_engines.at(found->second.engine).running;
        m_runs.erase(found);
    }

    void generate(double speed)
    {
        std::vector<ItemKey> complete;
        for (auto& [key, run] : m_runs) {
            const auto& engine = m_engines.at(run.engine);
            const auto load = unloadedShare + (1 - unloadedShare) * engine.running / m_scenario.slots;
            run.progress += speed * Seconds(tickTime).count() / (engine.secondsPerEvent * engine.slowness * load);
            auto& step = stepOf(key.submission);
            for (; run.progress >= 1 && run.events < step.lengths[key.index]; run.progress -= 1) {
                m_scheduler.onEvent(key, ++run.events, "e", 1, m_clock.now());
                ++step.generated[key.index];
                ++m_events;
            }
            if (run.events >= step.lengths[key.index])
                complete.push_back(key);
        }
        for (const auto& key : complete) {
            endRun(key);
            m_scheduler.onRunEnd(key, RunOutcome::Complete, m_clock.now());
            m_scheduler.settle(key);
            finishItem(key);
        }
    }

    void finishItem(const ItemKey& key)
    {
        const auto owner = m_stepOwners.at(key.submission);
        auto& trainer = m_trainers[owner];
        auto& step = trainer.openSteps.at(key.submission);
        if (--step.openItems[key.index / shapes[owner].itemsInGroup] > 0 || step.wholeGroups >= step.wanted)
            return;
        ++step.wholeGroups;
        const bool isInTime = m_clock.now() <= step.submittedAt + toDuration(dueAfter + readingTime);
        ++(isInTime ? trainer.inTime : trainer.late);
    }

    TrainerResult summarize()
    {
        double owed = 0;
        for (std::size_t i = 0; i < m_trainers.size(); ++i) {
            const auto owedHere = static_cast<double>(wantedGroups(i)) * (Seconds(m_scenario.duration) / interval);
            const auto share = static_cast<double>(m_trainers[i].inTime) / owedHere;
            owed += owedHere;
            m_result.inTime += static_cast<double>(m_trainers[i].inTime);
            m_result.late += static_cast<double>(m_trainers[i].late);
            m_result.leastInTime = std::min(m_result.leastInTime, share);
            m_result.mostInTime = std::max(m_result.mostInTime, share);
        }
        m_result.inTime /= owed;
        m_result.late /= owed;
        m_result.never = 1 - m_result.inTime - m_result.late;
        m_result.inVain = m_events > 0 ? static_cast<double>(m_eventsInVain) / static_cast<double>(m_events) : 0;
        return m_result;
    }

    TrainerScenario m_scenario;
    Random m_random;
    ManualClock m_clock;
    TimePoint m_startedAt;
    SampleScheduler m_scheduler;
    /// With the median 1.
    boost::random::lognormal_distribution<double> m_lengthFactor;
    boost::random::lognormal_distribution<double> m_hintFactor { 0, hintSpread };
    double m_meanEvents = 0;
    std::map<TargetId, Engine> m_engines;
    std::vector<Trainer> m_trainers;
    std::map<SubmissionId, std::size_t> m_stepOwners;
    std::map<ItemKey, Run> m_runs;
    std::size_t m_events = 0;
    std::size_t m_eventsInVain = 0;
    TrainerResult m_result;
};

} // namespace cicadalb::simulation
