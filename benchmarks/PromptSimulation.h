#pragma once

#include "cicadalb/submissions/SampleScheduler.h"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <vector>

/// @file
/// The scheduler's placing of long and short prompts, on engines that read prompts in turn beside their running texts.

namespace cicadalb::simulation {

struct PromptScenario {
    /// Slots in use, as a share of all.
    double load = 0.5;
    std::uint64_t longPromptTokens = 30000;
    double tokensPerMillisecond = 100;
    /// Whether the scheduler is told the sizes of the prompts.
    bool areSizesKnown = true;
    std::uint64_t seed = 1;
};

/// @brief Times from submission to the first event, in milliseconds, ascending.
struct PromptResult {
    std::vector<double> shortPrompts;
    std::vector<double> longPrompts;

    static double percentile(const std::vector<double>& sorted, double share) { return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))]; }
    static double shareWithin(const std::vector<double>& sorted, double milliseconds)
    {
        return static_cast<double>(std::upper_bound(sorted.begin(), sorted.end(), milliseconds) - sorted.begin()) / static_cast<double>(std::max<std::size_t>(1, sorted.size()));
    }
};

class PromptSimulation {
public:
    static constexpr double shortAimMs = 400;
    static constexpr double longAimMs = 2000;

    explicit PromptSimulation(PromptScenario scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        std::vector<SchedulableEngine> engines;
        for (std::size_t index = 0; index < engineCount; ++index)
            engines.push_back({ TargetId("e" + std::to_string(index)), PoolName("engines"), slots, { { "model", 1 } }, SoftwareVersion("r1"), 1 });
        m_scheduler.setEngines(engines);
    }

    PromptResult run()
    {
        std::exponential_distribution<double> pause(arrivalsPerMs());
        double nextArrival = 0;
        for (double nowMs = 0; nowMs < durationMs; ++nowMs) {
            for (; nextArrival <= nowMs; nextArrival += pause(m_random))
                submit();
            for (const auto& placement : m_scheduler.place(m_clock.now()))
                begin(placement);
            for (auto& [id, engine] : m_engines)
                advance(engine);
            m_clock.advance(std::chrono::milliseconds(1));
        }
        std::sort(m_result.shortPrompts.begin(), m_result.shortPrompts.end());
        std::sort(m_result.longPrompts.begin(), m_result.longPrompts.end());
        return m_result;
    }

private:
    /// Arrivals at which the scenario's share of the slots is in use. Reading takes a slot and half of the engine's speed.
    double arrivalsPerMs() const
    {
        const auto meanTokens = longShare * static_cast<double>(m_scenario.longPromptTokens) + (1 - longShare) * static_cast<double>(shortPromptTokens);
        const auto readingMs = meanTokens / m_scenario.tokensPerMillisecond;
        double perEngine = 0;
        constexpr int iterations = 50;
        for (int iteration = 0; iteration < iterations; ++iteration)
            perEngine = m_scenario.load * slots / (readingMs + eventsPerText * msPerEvent / (1 - perEngine * readingMs / 2));
        return perEngine * engineCount;
    }

    static constexpr double longShare = 0.1;
    static constexpr std::size_t engineCount = 8;
    static constexpr unsigned slots = 6;
    static constexpr double msPerEvent = 40;
    static constexpr unsigned eventsPerText = 10;
    static constexpr double durationMs = 60000;
    static constexpr std::uint64_t shortPromptTokens = 300;

    struct Text {
        ItemKey key;
        bool isLong = false;
        TimePoint submittedAt;
        double unreadTokens = 0;
        double msToNextEvent = msPerEvent;
        unsigned events = 0;
    };

    struct Engine {
        std::deque<Text> reading;
        std::vector<Text> running;
    };

    void submit()
    {
        const bool isLong = std::uniform_real_distribution<double>(0, 1)(m_random) < longShare;
        Submission submission;
        submission.id = SubmissionId("s" + std::to_string(m_next++));
        submission.model = ModelName("model");
        SampleItem item;
        item.id = ItemId(submission.id.value());
        item.group = GroupId("g");
        item.lengthHint = eventsPerText * 54;
        const auto tokens = isLong ? m_scenario.longPromptTokens : shortPromptTokens;
        if (m_scenario.areSizesKnown)
            item.prompt.tokens = tokens;
        submission.items.push_back(item);
        SubmissionPolicy policy;
        policy.softDeadline = m_clock.now() + std::chrono::milliseconds(7500);
        policy.expiresAt = m_clock.now() + std::chrono::seconds(40);
        policy.firstEventWithin = std::chrono::milliseconds(static_cast<int>(shortAimMs));
        policy.pools = { PoolName("engines") };
        m_scheduler.add(submission, policy, {});
        m_submitted[submission.id] = { { submission.id, 0 }, isLong, m_clock.now(), static_cast<double>(tokens) };
    }

    void begin(const Placement& placement)
    {
        m_engines[placement.engine].reading.push_back(m_submitted.at(placement.item.submission));
    }

    /// One millisecond of an engine: a prompt that is being read takes every other step from the running texts.
    void advance(Engine& engine)
    {
        const double runningShare = engine.reading.empty() ? 1.0 : 0.5;
        if (!engine.reading.empty()) {
            auto& text = engine.reading.front();
            text.unreadTokens -= m_scenario.tokensPerMillisecond;
            if (text.unreadTokens <= 0) {
                engine.running.push_back(text);
                engine.reading.pop_front();
            }
        }
        for (auto& text : engine.running) {
            text.msToNextEvent -= runningShare;
            if (text.msToNextEvent > 0)
                continue;
            text.msToNextEvent += msPerEvent;
            m_scheduler.onEvent(text.key, ++text.events, "event", 1, m_clock.now());
            if (text.events == 1)
                (text.isLong ? m_result.longPrompts : m_result.shortPrompts).push_back(std::chrono::duration<double, std::milli>(m_clock.now() - text.submittedAt).count());
        }
        std::erase_if(engine.running, [this](const Text& text) {
            if (text.events < eventsPerText)
                return false;
            m_scheduler.onRunEnd(text.key, RunOutcome::Complete, m_clock.now());
            m_scheduler.settle(text.key);
            m_scheduler.remove(text.key.submission);
            return true;
        });
    }

    PromptScenario m_scenario;
    std::mt19937_64 m_random;
    ManualClock m_clock;
    SampleScheduler m_scheduler;
    std::map<TargetId, Engine> m_engines;
    std::map<SubmissionId, Text> m_submitted;
    PromptResult m_result;
    std::uint64_t m_next = 0;
};

} // namespace cicadalb::simulation
