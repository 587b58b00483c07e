#include "cicadalb/submissions/SampleScheduler.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <tuple>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const PoolName pools[] { PoolName("first"), PoolName("second") };
const std::string models[] { "draft", "final" };
const SoftwareVersion softwareVersions[] { SoftwareVersion("r1"), SoftwareVersion("r2") };

struct PlainItem {
    ItemKey key;
    double expectedEvents = 0;
    bool isWaiting = true;
    TargetId engine;
    std::size_t events = 0;
};

struct PlainSubmission {
    Submission submission;
    SubmissionPolicy policy;
    std::vector<PlainItem> items;
};

/// Decides by looking at each waiting item and each engine, as the interface of the scheduler describes it.
struct PlainScheduler {
    std::vector<SchedulableEngine> engines;
    std::map<TargetId, ModelName> assigned;
    std::map<SubmissionId, PlainSubmission> submissions;
    std::map<TargetId, unsigned> running;

    const SchedulableEngine* best(const PlainSubmission& source, const PlainItem& item, const SampleScheduler& scheduler)
    {
        const SchedulableEngine* chosen = nullptr;
        auto lowestCost = std::numeric_limits<double>::infinity();
        for (const auto& engine : engines) {
            const auto& allowed = source.policy.pools;
            const auto version = engine.models.find(source.submission.model.value());
            const auto* text = scheduler.partialText(item.key);
            const bool hasText = text && text->eventCount > 0;
            const bool isAllowed = std::find(allowed.begin(), allowed.end(), engine.pool) != allowed.end();
            const bool hasWeights = version != engine.models.end() && version->second >= source.submission.oldestVersion;
            const bool isFull = running[engine.id] >= engine.slots;
            const bool isCompatible = !hasText || SoftwareRelease { engine.pool, engine.softwareVersion }.isCompatibleWith(text->release);
            if (!isAllowed || !hasWeights || isFull || !isCompatible)
                continue;
            const bool isOwn = assigned[engine.id].isEmpty() || assigned[engine.id] == source.submission.model;
            const auto seconds = std::chrono::duration<double>(scheduler.timePerEvent(engine.id)).count();
            const auto cost = seconds * (1.0 + 0.3 * running[engine.id] / engine.slots) * (isOwn ? 1.0 : 1.5);
            if (cost < lowestCost) {
                lowestCost = cost;
                chosen = &engine;
            }
        }
        return chosen;
    }

    /// @return the placements as item and engine
    std::vector<std::pair<ItemKey, TargetId>> place(const SampleScheduler& scheduler)
    {
        std::vector<std::pair<PlainSubmission*, PlainItem*>> waiting;
        for (auto& [id, source] : submissions) {
            for (auto& item : source.items) {
                if (item.isWaiting)
                    waiting.emplace_back(&source, &item);
            }
        }
        std::stable_sort(waiting.begin(), waiting.end(), [](const auto& left, const auto& right) {
            const auto key = [](const auto& entry) { return std::tuple(entry.first->policy.softDeadline, static_cast<double>(entry.second->events) - entry.second->expectedEvents); };
            return key(left) < key(right);
        });
        std::vector<std::pair<ItemKey, TargetId>> placements;
        for (auto& [source, item] : waiting) {
            const auto* engine = best(*source, *item, scheduler);
            if (!engine)
                continue;
            ++running[engine->id];
            item->isWaiting = false;
            item->engine = engine->id;
            placements.emplace_back(item->key, engine->id);
        }
        return placements;
    }
};

/// A scheduler and the plain one in the same state.
struct SchedulerPair {
    SampleScheduler scheduler { GroupOrder::DueTime };
    PlainScheduler plain;
    ManualClock clock;
    unsigned nextSubmission = 0;

    SchedulerPair()
    {
        // One release for each pool: with several, texts that can be begun again are placed by rules that the plain scheduler lacks.
        const auto count = *rc::gen::inRange(1, 12);
        for (int i = 0; i < count; ++i) {
            const auto pool = *rc::gen::inRange(0, 2);
            SchedulableEngine engine { TargetId("engine-" + std::to_string(10 + i)), pools[pool], *rc::gen::inRange(1U, 4U), {}, softwareVersions[pool], 1 };
            for (const auto& model : models)
                engine.models[model] = *rc::gen::inRange<WeightVersion>(1, 3);
            plain.engines.push_back(engine);
        }
        scheduler.setEngines(plain.engines);
        for (const auto& engine : plain.engines) {
            const auto choice = *rc::gen::inRange(0, 3);
            if (choice == 0)
                continue;
            plain.assigned[engine.id] = ModelName(models[choice - 1]);
            scheduler.setAssignedModel(engine.id, ModelName(models[choice - 1]));
        }
    }

    void submit()
    {
        PlainSubmission added;
        added.submission.id = SubmissionId("submission-" + std::to_string(100 + nextSubmission++));
        added.submission.model = ModelName(models[*rc::gen::inRange(0, 2)]);
        added.submission.oldestVersion = *rc::gen::inRange<WeightVersion>(1, 3);
        added.policy.softDeadline = clock.now() + std::chrono::milliseconds(*rc::gen::inRange(1, 5) * 1000);
        added.policy.expiresAt = clock.now() + 10h;
        // An item belongs to one pool, so that a text that began in it is never blocked by another.
        added.policy.pools = { pools[*rc::gen::inRange(0, 2)] };
        const auto count = *rc::gen::inRange<std::size_t>(1, 12);
        for (std::size_t i = 0; i < count; ++i) {
            SampleItem item;
            item.id = ItemId(added.submission.id.value() + "-" + std::to_string(i));
            item.group = GroupId("group-" + std::to_string(i / 3));
            item.lengthHint = 54.0 * *rc::gen::inRange(1, 60);
            added.items.push_back({ { added.submission.id, i }, item.lengthHint / 54.0, true, {}, 0 });
            added.submission.items.push_back(std::move(item));
        }
        scheduler.add(added.submission, added.policy, {});
        plain.submissions.emplace(added.submission.id, std::move(added));
    }

    std::vector<PlainItem*> runningItems()
    {
        std::vector<PlainItem*> items;
        for (auto& [id, source] : plain.submissions) {
            for (auto& item : source.items) {
                if (!item.isWaiting && !item.engine.isEmpty())
                    items.push_back(&item);
            }
        }
        return items;
    }

    void reportEvents()
    {
        clock.advance(std::chrono::milliseconds(*rc::gen::inRange(5, 80)));
        for (auto* item : runningItems()) {
            const auto* engine = findEngine(item->engine);
            const auto version = engine->models.at(plain.submissions.at(item->key.submission).submission.model.value());
            if (*rc::gen::arbitrary<bool>())
                scheduler.onEvent(item->key, ++item->events, "e", version, clock.now());
        }
    }

    const SchedulableEngine* findEngine(const TargetId& id) const
    {
        return &*std::find_if(plain.engines.begin(), plain.engines.end(), [&](const auto& engine) { return engine.id == id; });
    }

    void endRuns()
    {
        for (auto* item : runningItems()) {
            const auto choice = *rc::gen::inRange(0, 4);
            if (choice > 1)
                continue;
            --plain.running[item->engine];
            item->engine = TargetId();
            const bool isComplete = choice == 0 && item->events > 0;
            scheduler.onRunEnd(item->key, isComplete ? RunOutcome::Complete : RunOutcome::Cancelled, clock.now());
            if (isComplete)
                scheduler.settle(item->key);
            else
                item->isWaiting = true;
        }
    }

    void removeOne()
    {
        if (plain.submissions.empty())
            return;
        const auto removed = std::next(plain.submissions.begin(), *rc::gen::inRange<long>(0, static_cast<long>(plain.submissions.size())));
        std::size_t stopped = 0;
        for (const auto& item : removed->second.items) {
            if (item.engine.isEmpty())
                continue;
            --plain.running[item.engine];
            ++stopped;
        }
        RC_ASSERT(scheduler.remove(removed->first).size() == stopped);
        plain.submissions.erase(removed);
    }

    void compareCounts()
    {
        std::size_t waiting = 0;
        std::map<std::pair<TargetId, ModelName>, std::size_t> running;
        for (const auto& [id, source] : plain.submissions) {
            for (const auto& item : source.items) {
                waiting += item.isWaiting ? 1 : 0;
                if (!item.engine.isEmpty())
                    ++running[{ item.engine, source.submission.model }];
            }
        }
        RC_ASSERT(scheduler.waitingCount() == waiting);
        for (const auto& engine : plain.engines) {
            for (const auto& model : models)
                RC_ASSERT(scheduler.runningCountOn(engine.id, ModelName(model)) == (running[{ engine.id, ModelName(model) }]));
        }
    }
};

} // namespace

TEST_CASE("sample scheduler, random submissions and runs, places the same items on the same engines as one that compares all items and engines")
{
    CHECK(rc::check("same placements", [] {
        SchedulerPair pair;
        const auto steps = *rc::gen::inRange(1, 20);
        for (int step = 0; step < steps; ++step) {
            if (*rc::gen::inRange(0, 2) == 0)
                pair.submit();
            const auto expected = pair.plain.place(pair.scheduler);
            std::vector<std::pair<ItemKey, TargetId>> placed;
            for (const auto& placement : pair.scheduler.place(pair.clock.now()))
                placed.emplace_back(placement.item, placement.engine);
            RC_ASSERT(placed == expected);
            pair.reportEvents();
            pair.endRuns();
            if (*rc::gen::inRange(0, 6) == 0)
                pair.removeOne();
            pair.compareCounts();
        }
    }));
}
