#include "cicadalb/submissions/SampleScheduler.h"

#include "cicadalb/base/EnumTable.h"

#include <algorithm>
#include <limits>

namespace cicadalb {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Weight of the newest event in an engine's pace: some 25 events, a quarter of a second of a busy engine, tell it.
    constexpr double paceGain = 0.04;
    /// Weight of the newest submission in a model's demand.
    constexpr double demandGain = 0.3;
    /// A text that is longer than expected is expected to be as long again by this share of what it has.
    constexpr double surpriseShare = 0.5;
    constexpr double fewestEventsLeft = 5;
    /// Items of this expected length are assumed where no hint is given.
    constexpr double assumedEvents = 20;
    /// Output tokens of one event; hints are in tokens. Only the order and rough size of estimates depend on it.
    constexpr double tokensPerEvent = 54;
    /// A run without an event for so many times its engine's pace, and for this long at least, is moved.
    constexpr double silentFactor = 10;
    constexpr Seconds shortestSilence { 0.7 };
    /// A run is moved only to an engine that is faster by this factor.
    constexpr double moveFactor = 1.6;
    /// ... and only if at least so much time of it is expected to be left.
    constexpr Seconds movableRest { 0.4 };
    /// Texts of ended submissions that are kept for a later one.
    constexpr std::size_t maximumLeftover = 4096;

    constexpr auto endNames = std::to_array<EnumName<RunEnd>>({
        { RunEnd::Complete, "complete" },
        { RunEnd::Broken, "broken" },
        { RunEnd::NotRun, "not-run" },
        { RunEnd::ServerError, "server-error" },
        { RunEnd::Impossible, "impossible" },
        { RunEnd::Abandoned, "abandoned" },
        { RunEnd::WrongWeights, "wrong-weights" },
    });

    /// Longest expected item of each group.
    template <typename Items>
    std::map<GroupId, double> groupLengths(const Items& items)
    {
        std::map<GroupId, double> lengths;
        for (const auto& item : items) {
            auto& length = lengths[item.group];
            length = std::max(length, item.expectedEvents);
        }
        return lengths;
    }

} // namespace

std::string_view name(RunEnd end) noexcept { return nameIn(endNames, end); }

void PartialText::append(std::uint64_t event, std::string_view data, WeightVersion version)
{
    if (events > 0)
        text += '\n';
    text += data;
    lastEvent = event;
    ++events;
    versions.insert(version);
}

void SampleScheduler::setEngines(const std::vector<SchedulableEngine>& engines)
{
    for (auto& [id, engine] : m_engines)
        engine.isPresent = false;
    for (const auto& present : engines) {
        auto& engine = m_engines[present.id];
        engine.isPresent = true;
        engine.pool = present.pool;
        engine.slots = std::max(1U, present.slots);
        for (const auto& [model, version] : present.models)
            engine.weights.try_emplace(ModelName(model), version);
    }
    std::erase_if(m_engines, [](const auto& entry) { return !entry.second.isPresent && entry.second.running == 0; });
}

void SampleScheduler::setWeights(const TargetId& id, const ModelName& model, std::optional<WeightVersion> version)
{
    if (const auto found = m_engines.find(id); found != m_engines.end())
        found->second.weights[model] = version;
}

void SampleScheduler::setHome(const TargetId& id, const ModelName& model)
{
    if (const auto found = m_engines.find(id); found != m_engines.end())
        found->second.home = model;
}

void SampleScheduler::add(const Submission& submission, const SubmissionTerms& terms, const std::set<ItemId>& done)
{
    if (m_open.contains(submission.id))
        return;
    Open open;
    open.model = submission.model;
    open.oldestVersion = submission.oldestVersion;
    open.terms = terms;
    for (const auto& source : submission.items) {
        Item item;
        item.id = source.id;
        item.group = source.group;
        item.expectedEvents = source.lengthHint > 0 ? source.lengthHint / tokensPerEvent : assumedEvents;
        if (done.contains(source.id))
            item.state = ItemState::Settled;
        if (const auto leftover = m_leftover.find(source.id); leftover != m_leftover.end()) {
            item.text = std::move(leftover->second);
            m_leftover.erase(leftover);
            keepText(open, item);
        }
        open.items.push_back(std::move(item));
    }
    rank(open, submission.wantedGroups);
    double events = 0;
    for (const auto& item : open.items)
        events += item.expectedEvents;
    auto& demand = m_demand[open.model];
    demand = demand > 0 ? demand + demandGain * (events - demand) : events;
    m_open.emplace(submission.id, std::move(open));
}

/// Groups whose longest item is short are complete first; the trainer does not wait for more than @p wantedGroups of them. Groups
/// of which text is known were asked for before and are waited for in any case.
void SampleScheduler::rank(Open& open, std::uint64_t wantedGroups)
{
    const auto lengths = groupLengths(open.items);
    std::set<GroupId> wanted;
    for (const auto& item : open.items) {
        if (item.text.events > 0)
            wanted.insert(item.group);
    }
    std::vector<std::pair<double, GroupId>> order;
    order.reserve(lengths.size());
    for (const auto& [group, length] : lengths)
        order.emplace_back(length, group);
    std::sort(order.begin(), order.end());
    for (const auto& [length, group] : order) {
        if (wantedGroups == 0 || wanted.size() < wantedGroups)
            wanted.insert(group);
    }
    for (auto& item : open.items)
        item.isWanted = wanted.contains(item.group);
}

void SampleScheduler::setPools(const SubmissionId& id, std::vector<PoolName> pools)
{
    if (const auto found = m_open.find(id); found != m_open.end())
        found->second.terms.pools = std::move(pools);
}

std::vector<ItemKey> SampleScheduler::remove(const SubmissionId& id)
{
    std::vector<ItemKey> stopped;
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return stopped;
    for (std::size_t index = 0; index < found->second.items.size(); ++index) {
        auto& item = found->second.items[index];
        if (item.state == ItemState::Running) {
            stopped.push_back({ id, index });
            if (const auto engine = m_engines.find(item.engine); engine != m_engines.end())
                --engine->second.running;
        }
        if (item.state != ItemState::Settled && item.text.events > 0 && m_leftover.size() < maximumLeftover)
            m_leftover.insert_or_assign(item.id, std::move(item.text));
    }
    m_open.erase(found);
    return stopped;
}

std::vector<Placement> SampleScheduler::place(TimePoint now)
{
    struct Candidate {
        ItemKey key;
        Open* open;
        Item* item;
    };
    std::vector<Candidate> waiting;
    for (auto& [id, open] : m_open) {
        for (std::size_t index = 0; index < open.items.size(); ++index) {
            auto& item = open.items[index];
            if (item.state == ItemState::Waiting && item.notBefore <= now && open.terms.giveUpAt > now)
                waiting.push_back({ { id, index }, &open, &item });
        }
    }
    const auto order = [](const Candidate& candidate) {
        const auto rest = candidate.item->expectedEvents - static_cast<double>(candidate.item->text.events);
        return std::tuple(!candidate.item->isWanted, candidate.open->terms.due, -rest);
    };
    std::sort(waiting.begin(), waiting.end(), [&](const auto& left, const auto& right) { return order(left) < order(right); });
    std::vector<Placement> placements;
    for (auto& [key, open, item] : waiting) {
        const auto engineId = bestEngine(*open, *item, now);
        if (!engineId)
            continue;
        ++m_engines[*engineId].running;
        item->state = ItemState::Running;
        item->engine = *engineId;
        item->startedAt = now;
        item->lastEventAt = now;
        item->eventsAtStart = item->text.events;
        placements.push_back({ key, *engineId });
    }
    return placements;
}

bool SampleScheduler::mayServe(const Engine& engine, const Open& open, const Item& item, TimePoint now) const
{
    if (!engine.isPresent || engine.running >= engine.slots || engine.pausedUntil > now)
        return false;
    if (std::find(open.terms.pools.begin(), open.terms.pools.end(), engine.pool) == open.terms.pools.end())
        return false;
    const auto weights = engine.weights.find(open.model);
    if (weights == engine.weights.end() || !weights->second || *weights->second < open.oldestVersion)
        return false;
    const bool continuesText = open.terms.requiresSingleVersion && !item.text.versions.empty();
    return !continuesText || item.text.versions.contains(*weights->second);
}

std::optional<TargetId> SampleScheduler::bestEngine(const Open& open, const Item& item, TimePoint now) const
{
    std::optional<TargetId> best;
    auto least = std::numeric_limits<double>::infinity();
    for (const auto& [id, engine] : m_engines) {
        if (!mayServe(engine, open, item, now))
            continue;
        // An engine that another model calls home is taken when the own ones are full or slower by more than half.
        const double strangeness = engine.home == open.model || engine.home.isEmpty() ? 1.0 : 1.5;
        const double crowding = 1.0 + 0.3 * engine.running / engine.slots;
        const auto cost = seconds(engine) * crowding * strangeness;
        if (cost < least) {
            least = cost;
            best = id;
        }
    }
    return best;
}

double SampleScheduler::seconds(const Engine& engine) const
{
    return engine.pace > 0 ? engine.pace : Seconds(assumedPace).count();
}

void SampleScheduler::progressed(const ItemKey& key, std::uint64_t event, std::string_view data, WeightVersion version, TimePoint now)
{
    auto* item = find(key);
    if (!item || item->state != ItemState::Running)
        return;
    measure(*item, now);
    item->text.append(event, data, version);
    item->lastEventAt = now;
}

void SampleScheduler::release(Item& item)
{
    if (const auto found = m_engines.find(item.engine); found != m_engines.end())
        --found->second.running;
}

/// Takes the time since a run's last event into its engine's pace.
void SampleScheduler::measure(const Item& item, TimePoint now)
{
    const auto found = m_engines.find(item.engine);
    // The first event includes the wait for a slot and the reading of the prompt.
    if (found == m_engines.end() || item.text.events <= item.eventsAtStart)
        return;
    auto& pace = found->second.pace;
    const auto gap = Seconds(now - item.lastEventAt).count();
    pace = pace > 0 ? pace + paceGain * (gap - pace) : gap;
}

/// Drops text that the submission's weights do not allow.
void SampleScheduler::keepText(const Open& open, Item& item) const
{
    const auto& versions = item.text.versions;
    const bool isTooOld = !versions.empty() && *versions.begin() < open.oldestVersion;
    if (isTooOld || (open.terms.requiresSingleVersion && versions.size() > 1))
        item.text = {};
}

ItemStep SampleScheduler::finished(const ItemKey& key, RunEnd end, TimePoint now)
{
    auto* item = find(key);
    if (!item || item->state != ItemState::Running)
        return ItemStep::Nothing;
    auto& open = m_open[key.submission];
    release(*item);
    item->state = ItemState::Waiting;
    item->notBefore = now;
    const auto eventsBefore = item->text.events;
    keepText(open, *item);
    const bool hasLostText = item->text.events < eventsBefore;
    const auto pause = [&](Duration duration) {
        if (const auto engine = m_engines.find(item->engine); engine != m_engines.end())
            engine->second.pausedUntil = now + duration;
    };
    switch (end) {
    case RunEnd::Complete:
        if (hasLostText || item->text.events == 0)
            return ItemStep::RunAgain;
        item->state = ItemState::Judging;
        return ItemStep::Judge;
    case RunEnd::Impossible:
        item->state = ItemState::Judging;
        return ItemStep::GiveUp;
    case RunEnd::ServerError:
        if (++item->serverErrors >= open.terms.maximumServerErrors) {
            item->state = ItemState::Judging;
            return ItemStep::GiveUp;
        }
        return ItemStep::RunAgain;
    case RunEnd::NotRun:
        pause(refusalPause);
        return ItemStep::RunAgain;
    case RunEnd::Broken:
    case RunEnd::WrongWeights:
        // An engine that holds other weights than were reported wastes whatever comes next as well.
        pause(breakPause);
        return ItemStep::RunAgain;
    case RunEnd::Abandoned:
        return ItemStep::RunAgain;
    }
    return ItemStep::RunAgain;
}

void SampleScheduler::settle(const ItemKey& key)
{
    auto* item = find(key);
    if (!item)
        return;
    if (item->state == ItemState::Running)
        release(*item);
    item->state = ItemState::Settled;
    item->text = {};
}

std::vector<ItemKey> SampleScheduler::expired(TimePoint now) const
{
    std::vector<ItemKey> keys;
    for (const auto& [id, open] : m_open) {
        if (open.terms.giveUpAt > now)
            continue;
        for (std::size_t index = 0; index < open.items.size(); ++index) {
            if (open.items[index].state != ItemState::Settled)
                keys.push_back({ id, index });
        }
    }
    return keys;
}

std::vector<ItemKey> SampleScheduler::misplaced(TimePoint now) const
{
    std::vector<ItemKey> keys;
    /// Places that moves of this round take, by engine.
    std::map<TargetId, unsigned> taken;
    for (const auto& [id, open] : m_open) {
        for (std::size_t index = 0; index < open.items.size(); ++index) {
            const auto& item = open.items[index];
            if (item.state != ItemState::Running)
                continue;
            const auto* own = engine(item.engine);
            if (!own)
                continue;
            const auto silence = Seconds(now - item.lastEventAt);
            if (silence > shortestSilence && silence.count() > silentFactor * seconds(*own)) {
                keys.push_back({ id, index });
                continue;
            }
            const auto made = static_cast<double>(item.text.events);
            const auto rest = std::max({ fewestEventsLeft, item.expectedEvents - made, surpriseShare * made });
            if (Seconds(rest * seconds(*own)) < movableRest || Seconds(now - item.startedAt) < movableRest)
                continue;
            const auto better = bestEngine(open, item, now);
            if (!better || *better == item.engine)
                continue;
            const auto* other = engine(*better);
            const bool hasRoom = other->running + taken[*better] + 1 < other->slots;
            if (hasRoom && seconds(*own) > moveFactor * seconds(*other)) {
                ++taken[*better];
                keys.push_back({ id, index });
            }
        }
    }
    return keys;
}

SampleScheduler::Item* SampleScheduler::find(const ItemKey& key)
{
    const auto found = m_open.find(key.submission);
    return found == m_open.end() || key.index >= found->second.items.size() ? nullptr : &found->second.items[key.index];
}

const SampleScheduler::Item* SampleScheduler::find(const ItemKey& key) const
{
    const auto found = m_open.find(key.submission);
    return found == m_open.end() || key.index >= found->second.items.size() ? nullptr : &found->second.items[key.index];
}

const SampleScheduler::Engine* SampleScheduler::engine(const TargetId& id) const
{
    const auto found = m_engines.find(id);
    return found == m_engines.end() ? nullptr : &found->second;
}

const PartialText* SampleScheduler::text(const ItemKey& key) const
{
    const auto* item = find(key);
    return item ? &item->text : nullptr;
}

bool SampleScheduler::isOpen(const ItemKey& key) const
{
    const auto* item = find(key);
    return item && item->state != ItemState::Settled;
}

std::vector<ItemText> SampleScheduler::texts(std::size_t fewestEvents, std::size_t bytes) const
{
    std::vector<ItemText> texts;
    for (const auto& [id, open] : m_open) {
        for (const auto& item : open.items) {
            const bool isOpen = item.state == ItemState::Waiting || item.state == ItemState::Running;
            if (isOpen && item.text.events >= std::max<std::size_t>(1, fewestEvents))
                texts.push_back({ item.id, item.text });
        }
    }
    std::sort(texts.begin(), texts.end(), [](const auto& left, const auto& right) { return left.text.events > right.text.events; });
    std::size_t total = 0;
    const auto end = std::find_if(texts.begin(), texts.end(), [&](const auto& row) { return (total += row.text.text.size()) > bytes; });
    texts.erase(end, texts.end());
    return texts;
}

void SampleScheduler::adopt(std::vector<ItemText> texts)
{
    for (auto& row : texts)
        m_leftover.try_emplace(row.item, std::move(row.text));
}

std::size_t SampleScheduler::running() const
{
    std::size_t count = 0;
    for (const auto& [id, engine] : m_engines)
        count += engine.running;
    return count;
}

std::size_t SampleScheduler::waiting() const
{
    std::size_t count = 0;
    for (const auto& [id, open] : m_open)
        count += static_cast<std::size_t>(std::count_if(open.items.begin(), open.items.end(), [](const auto& item) { return item.state == ItemState::Waiting; }));
    return count;
}

std::size_t SampleScheduler::waiting(const ModelName& model) const
{
    std::size_t count = 0;
    for (const auto& [id, open] : m_open) {
        if (open.model == model)
            count += static_cast<std::size_t>(std::count_if(open.items.begin(), open.items.end(), [](const auto& item) { return item.state == ItemState::Waiting; }));
    }
    return count;
}

bool SampleScheduler::isMeasured(const TargetId& id) const
{
    const auto* found = engine(id);
    return found && found->pace > 0;
}

std::size_t SampleScheduler::runningOn(const TargetId& engine, const ModelName& model) const
{
    std::size_t count = 0;
    for (const auto& [id, open] : m_open) {
        if (open.model != model)
            continue;
        count += static_cast<std::size_t>(std::count_if(open.items.begin(), open.items.end(),
            [&](const auto& item) { return item.state == ItemState::Running && item.engine == engine; }));
    }
    return count;
}

Duration SampleScheduler::pace(const TargetId& id) const
{
    const auto* found = engine(id);
    return std::chrono::duration_cast<Duration>(Seconds(found ? seconds(*found) : Seconds(assumedPace).count()));
}

std::optional<WeightVersion> SampleScheduler::neededVersion(const ModelName& model) const
{
    std::optional<WeightVersion> needed;
    for (const auto& [id, open] : m_open) {
        if (open.model == model)
            needed = std::max(needed.value_or(0), open.oldestVersion);
    }
    return needed;
}

} // namespace cicadalb
