#include "cicadalb/submissions/SampleScheduler.h"

#include <CLI/CLI.hpp>

#include <array>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>

/// @file
/// Measures the processor time that the sample scheduler takes per run, by what it is asked, for docs/CAPACITY.md. Time in the model is virtual: engines
/// generate events at fixed rates, and trainers replace each submission that ends.

namespace {

using namespace cicadalb;
using std::chrono::milliseconds;

struct SchedulerArguments {
    std::size_t engines = 120;
    unsigned slots = 6;
    std::size_t models = 4;
    std::size_t submissions = 24;
    std::size_t items = 100;
    std::size_t itemsPerGroup = 4;
    unsigned seconds = 10;
};

enum class Operation : std::uint8_t { Place,
    RecordEvents,
    EndRuns,
    FindMoves,
    FindExpired,
    CountForOrders,
    CopyTexts,
    SetEngines };
constexpr std::array<std::string_view, 8> operationNames { "place", "events", "run-ends", "moves", "expired", "counts-for-orders", "texts", "set-engines" };

/// Processor time of the calling thread, which other work on the machine hardly changes.
class ThreadClock final : public Clock {
public:
    TimePoint now() const noexcept override
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

/// Processor time by operation.
class Stopwatch {
public:
    template <typename Function>
    auto measure(Operation operation, Function&& function)
    {
        const Lap lap { *this, operation, m_clock.now() };
        return function();
    }
    double microseconds(Operation operation) const { return std::chrono::duration<double, std::micro>(m_times[static_cast<std::size_t>(operation)]).count(); }

private:
    struct Lap {
        Stopwatch& owner;
        Operation operation;
        TimePoint begin;
        Lap(Stopwatch& stopwatch, Operation measured, TimePoint now)
            : owner(stopwatch)
            , operation(measured)
            , begin(now)
        {
        }
        Lap(const Lap&) = delete;
        Lap& operator=(const Lap&) = delete;
        ~Lap() { owner.m_times[static_cast<std::size_t>(operation)] += owner.m_clock.now() - begin; }
    };

    ThreadClock m_clock;
    std::array<Duration, operationNames.size()> m_times {};
};

/// A site with trainers that always have a submission open.
class SchedulerLoad {
public:
    explicit SchedulerLoad(const SchedulerArguments& arguments)
        : m_arguments(arguments)
    {
        for (std::size_t i = 0; i < arguments.engines; ++i)
            m_engines.push_back({ TargetId("engine-" + std::to_string(i)), pool, arguments.slots, weights(), SoftwareVersion("r1"), 1 });
        m_scheduler.setEngines(m_engines);
        for (std::size_t i = 0; i < arguments.engines; ++i)
            m_scheduler.setAssignedModel(m_engines[i].id, modelOf(i));
        for (std::size_t i = 0; i < arguments.submissions; ++i)
            submit();
    }

    void run()
    {
        constexpr milliseconds step { 5 };
        for (std::uint64_t steps = 0; steps * step < std::chrono::seconds(m_arguments.seconds); ++steps) {
            advanceRuns();
            if (m_hasChanged)
                place();
            if (steps % 20 == 0)
                tick();
            if (steps % 200 == 0)
                m_textBytes += m_stopwatch.measure(Operation::CopyTexts, [&] { return m_scheduler.partialTexts(12, std::size_t { 600 } << 10U).size(); });
            if (steps % 50 == 0)
                m_stopwatch.measure(Operation::SetEngines, [&] { m_scheduler.setEngines(m_engines); });
            m_clock.advance(step);
        }
    }

    void print() const
    {
        double total = 0;
        const auto runs = static_cast<double>(std::max<std::uint64_t>(1, m_runs));
        std::cout << std::fixed << std::setprecision(2) << "scheduler.runs " << runs / m_arguments.seconds << " runs a second\n";
        for (std::size_t i = 0; i < operationNames.size(); ++i) {
            const auto time = m_stopwatch.microseconds(static_cast<Operation>(i));
            total += time;
            std::cout << "scheduler." << operationNames[i] << ' ' << time / runs << " us a run\n";
        }
        std::cout << "scheduler.total " << total / runs << " us a run\n"
                  << "scheduler.share " << total / 1e4 / m_arguments.seconds << " % of a core\n";
    }

private:
    struct Run {
        unsigned remainingEvents = 0;
        std::uint64_t lastEventId = 0;
        milliseconds interval { 0 };
        TimePoint nextEventAt;
    };

    static inline const PoolName pool { "engines" };

    ModelName modelOf(std::size_t number) const { return ModelName("model-" + std::to_string(number % m_arguments.models)); }
    std::map<std::string, WeightVersion> weights() const
    {
        std::map<std::string, WeightVersion> versions;
        for (std::size_t i = 0; i < m_arguments.models; ++i)
            versions[modelOf(i).value()] = 1;
        return versions;
    }

    void submit()
    {
        Submission submission;
        submission.id = SubmissionId("submission-of-a-trainer-" + std::to_string(m_nextSubmission));
        submission.model = modelOf(m_nextSubmission++);
        submission.oldestVersion = 1;
        for (std::size_t i = 0; i < m_arguments.items; ++i) {
            SampleItem item;
            item.id = ItemId(submission.id.value() + "-item-" + std::to_string(i));
            item.group = GroupId(submission.id.value() + "-group-" + std::to_string(i / m_arguments.itemsPerGroup));
            item.lengthHint = static_cast<double>(500 + (i * 7919) % 2500);
            submission.items.push_back(std::move(item));
        }
        SubmissionPolicy policy;
        policy.softDeadline = m_clock.now() + milliseconds(7500);
        policy.expiresAt = m_clock.now() + std::chrono::seconds(40);
        policy.pools = { pool };
        m_scheduler.add(submission, policy, {});
        m_unfinished[submission.id] = submission.items.size();
        m_hasChanged = true;
    }

    void place()
    {
        m_hasChanged = false;
        const auto placements = m_stopwatch.measure(Operation::Place, [&] { return m_scheduler.place(m_clock.now()); });
        for (const auto& placement : placements) {
            const auto number = std::stoul(placement.engine.value().substr(7));
            const milliseconds interval(30 + (number * 31) % 50);
            const auto* text = m_scheduler.partialText(placement.item);
            const auto length = static_cast<unsigned>(10 + (placement.item.index * 7919) % 45);
            m_running[placement.item] = Run { length, text ? text->eventCount : 0, interval, m_clock.now() + interval };
        }
    }

    void advanceRuns()
    {
        std::vector<ItemKey> ended;
        const auto now = m_clock.now();
        m_stopwatch.measure(Operation::RecordEvents, [&] {
            for (auto& [key, run] : m_running) {
                if (run.nextEventAt > now)
                    continue;
                run.nextEventAt += run.interval;
                m_scheduler.onEvent(key, ++run.lastEventId, m_eventData, 1, now);
                if (--run.remainingEvents == 0)
                    ended.push_back(key);
            }
        });
        for (const auto& key : ended)
            end(key);
    }

    void end(const ItemKey& key)
    {
        ++m_runs;
        m_hasChanged = true;
        m_running.erase(key);
        m_stopwatch.measure(Operation::EndRuns, [&] {
            if (m_scheduler.onRunEnd(key, RunOutcome::Complete, m_clock.now()) == ItemAction::RequestReward)
                m_scheduler.settle(key);
        });
        if (--m_unfinished[key.submission] > 0)
            return;
        m_unfinished.erase(key.submission);
        m_stopwatch.measure(Operation::EndRuns, [&] { m_scheduler.remove(key.submission); });
        submit();
    }

    void tick()
    {
        const auto now = m_clock.now();
        m_stopwatch.measure(Operation::FindExpired, [&] { return m_scheduler.expiredItems(now).size(); });
        const auto moves = m_stopwatch.measure(Operation::FindMoves, [&] { return m_scheduler.itemsToMove(now); });
        for (const auto& key : moves) {
            m_running.erase(key);
            m_scheduler.onRunEnd(key, RunOutcome::Cancelled, now);
        }
        m_stopwatch.measure(Operation::CountForOrders, [&] {
            for (std::size_t i = 0; i < m_engines.size(); ++i)
                m_counted += m_scheduler.runningCountOn(m_engines[i].id, modelOf(i));
            for (std::size_t i = 0; i < m_arguments.models; ++i)
                m_counted += m_scheduler.waitingCount(modelOf(i)) + m_scheduler.oldestAllowedVersion(modelOf(i)).value_or(0);
        });
        place();
    }

    SchedulerArguments m_arguments;
    ManualClock m_clock;
    SampleScheduler m_scheduler;
    Stopwatch m_stopwatch;
    std::string m_eventData = std::string(60, 'x');
    std::vector<SchedulableEngine> m_engines;
    std::map<ItemKey, Run> m_running;
    std::map<SubmissionId, std::size_t> m_unfinished;
    std::size_t m_nextSubmission = 0;
    std::uint64_t m_runs = 0;
    std::size_t m_counted = 0;
    std::size_t m_textBytes = 0;
    bool m_hasChanged = false;
};

} // namespace

int main(int argc, char** argv)
{
    SchedulerArguments arguments;
    CLI::App app { "Measures the processor time of the sample scheduler" };
    app.add_option("--engines", arguments.engines, "Number of engines");
    app.add_option("--slots", arguments.slots, "Runs at the same time on each engine");
    app.add_option("--models", arguments.models, "Number of models, each with its own share of the engines");
    app.add_option("--submissions", arguments.submissions, "Number of open submissions");
    app.add_option("--items", arguments.items, "Number of items in a submission");
    app.add_option("--seconds", arguments.seconds, "Length of the load, in virtual time");
    CLI11_PARSE(app, argc, argv);
    SchedulerLoad load(arguments);
    load.run();
    load.print();
    return 0;
}
