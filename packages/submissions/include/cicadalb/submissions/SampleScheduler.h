#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/routing/TargetRateLimits.h"
#include "cicadalb/submissions/PartialText.h"
#include "cicadalb/submissions/PrefillLoad.h"
#include "cicadalb/submissions/Submission.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// @file
/// Scheduling of samples on model engines.

namespace cicadalb {

/// @brief Properties of a model engine that the scheduler needs.
struct SchedulableEngine {
    TargetId id;
    PoolName pool;
    /// Maximum number of items that the engine runs at the same time.
    unsigned slots = 1;
    /// Loaded weight version of each model.
    std::map<std::string, WeightVersion> models;
    SoftwareVersion softwareVersion;
    /// Distinguishes restarts of the engine under the same id.
    Incarnation startedAt = 0;
};

/// @brief Rules that a submission takes from its route.
struct SubmissionPolicy {
    /// Time by which the trainer wants all results.
    TimePoint softDeadline;
    /// Time from which unfinished items are given up.
    TimePoint expiresAt;
    bool requiresSingleVersion = false;
    unsigned maximumServerErrors = 3;
    unsigned priority = 0;
    /// Time within which the first event of an item is wanted; zero: no wish.
    Duration firstEventWithin {};
    /// Pools whose engines may run the items; they change with the configuration.
    std::vector<PoolName> pools;
};

/// @brief An item by its position in a submission.
struct ItemKey {
    SubmissionId submission;
    std::size_t index = 0;
    auto operator<=>(const ItemKey&) const = default;
};

/// @brief A run to start now.
struct Placement {
    ItemKey item;
    TargetId engine;
    /// Start of the engine that the run is meant for. After a later start the engine may run other software.
    Incarnation engineStartedAt = 0;
};

enum class RunOutcome : std::uint8_t {
    /// The text is complete.
    Complete,
    /// The answer broke off; another run continues the text.
    Interrupted,
    /// The engine did not run the item, for example because it was full or changing its weights.
    NotRun,
    /// The engine ran the item and failed.
    ServerError,
    /// The engine states that the item can never be run.
    Impossible,
    /// This host cancelled the run.
    Cancelled,
    /// The engine generated text with weights that the submission does not allow.
    WrongWeights,
    /// The engine sent more text than can be kept.
    Oversized,
};

std::string_view name(RunOutcome) noexcept;

/// @brief What to do with an item after its run has ended.
enum class ItemAction : std::uint8_t { Retry,
    /// The text is complete: request its reward, if there is one, and store the result.
    RequestReward,
    GiveUp,
    Nothing };

/// @brief Order in which the groups that trainers wait for are run.
enum class GroupOrder : std::uint8_t {
    /// By due time.
    DueTime,
    /// As many as can be whole by their due times first, then the others; both by due time.
    InTimeFirst,
};

std::string_view name(GroupOrder) noexcept;

/// @brief Assigns the items of all open submissions to engines. Designed for several trainers that submit steps of 30 to 300 items every few
/// seconds, with text lengths known only roughly, on engines that differ in speed by a factor of two or more, and that may be asked for more than
/// they can generate. Groups that can be whole by their due times take precedence; of their items, the longest are placed first, on the fastest engines. A text is continued only by engines
/// with the software that began it and, on a route that requires a single version, with the weights that it was generated with. It begins again on
/// another engine once none of these is left, or once it has been without a new event, although another engine was free, for longer than
/// generating its events again takes. Not thread-safe.
class SampleScheduler {
public:
    /// Assumed time per event of an engine without measurements.
    static constexpr std::chrono::milliseconds assumedTimePerEvent { 40 };
    /// Time without new runs on an engine after it did not run an item.
    static constexpr std::chrono::milliseconds refusalBackoff { 150 };
    /// Time without new runs on an engine after a run on it broke off or used weights that were not allowed.
    static constexpr std::chrono::milliseconds interruptionBackoff { 1000 };

    explicit SampleScheduler(GroupOrder order = GroupOrder::InTimeFirst)
        : m_groupOrder(order)
    {
    }

    void setEngines(const std::vector<SchedulableEngine>&);
    /// @brief States when an engine that has left the list of engines will be gone. Runs that cannot end there in time are moved shortly before.
    void setLeaving(const TargetId&, TimePoint leavesAt);
    /// @brief Sets the weight version of a model on an engine; empty while the weights change.
    void setWeightVersion(const TargetId&, const ModelName&, std::optional<WeightVersion>);
    /// @brief Assigns an engine to a model; an empty name removes the assignment.
    void setAssignedModel(const TargetId&, const ModelName&);

    /// @brief Sets the limits on runs a second that engines state, or null. Each placement uses one. They must outlive the scheduler.
    void setRateLimits(TargetRateLimits* limits) noexcept { m_rateLimits = limits; }

    /// @param done items whose results are already stored
    void add(const Submission&, const SubmissionPolicy&, const std::set<ItemId>& done);
    /// @brief Replaces the pools of a submission after a configuration change; with an empty list, no further run starts.
    void setPools(const SubmissionId&, std::vector<PoolName>);
    /// @brief Removes a submission. @return its running items, whose runs the caller has to stop
    std::vector<ItemKey> remove(const SubmissionId&);

    /// @brief Places waiting items on free slots and counts them as running. Complexity: n of the waiting items that an engine with a free slot may
    /// run, and log n + m for each of them that is looked at, with m such engines; none if there is no such engine or item.
    std::vector<Placement> place(TimePoint now);
    /// @brief Records an event of a run.
    void onEvent(const ItemKey&, std::uint64_t eventId, std::string_view data, WeightVersion, TimePoint now);
    /// @brief Records the end of a run. Text that was generated with weights that the submission does not allow is dropped.
    ItemAction onRunEnd(const ItemKey&, RunOutcome, TimePoint now);
    /// @brief Ends an item whose result is stored or about to be stored.
    void settle(const ItemKey&);
    /// @brief Items that have to be given up now.
    std::vector<ItemKey> expiredItems(TimePoint now) const;
    /// @brief Running items to move to another engine: on an engine that leaves before they end, stalled, or expected to finish sooner on a faster engine with free slots.
    std::vector<ItemKey> itemsToMove(TimePoint now) const;

    /// @return the text received so far, or null if the item is unknown
    const PartialText* partialText(const ItemKey&) const;
    /// @brief Texts of waiting and running items with at least @p minimumEvents events, the longest first, up to @p maximumBytes in total.
    std::vector<ItemText> partialTexts(std::size_t minimumEvents, std::size_t maximumBytes) const;
    /// @brief Takes over partial texts of another coordinator. Items that are added later continue them if the submission allows their weights.
    void addPartialTexts(std::vector<ItemText>);
    /// @brief Whether an item exists and is not settled.
    bool isOpen(const ItemKey&) const;
    /// @brief Number of running items.
    std::size_t runningCount() const;
    /// @brief Number of waiting items.
    std::size_t waitingCount() const;
    std::size_t waitingCount(const ModelName&) const;
    /// @brief Expected events per submission of each model, as a moving average.
    const std::map<ModelName, double>& demand() const noexcept { return m_demand; }
    /// @brief Time per event of an engine as an average over a second or more; empty until so much was measured.
    std::optional<Duration> averageTimePerEvent(const TargetId&) const;
    /// @brief Number of runs of a model on an engine.
    std::size_t runningCountOn(const TargetId&, const ModelName&) const;
    /// @brief Number of runs on an engine.
    std::size_t runningCountOn(const TargetId&) const;
    /// @brief Share of the events of the groups that trainers wait for which the engines cannot generate in time, as of the last placement.
    double lateShare() const noexcept { return m_lateShare; }
    /// @brief Time per event of an engine, measured or assumed.
    Duration timePerEvent(const TargetId&) const;
    /// @brief Number of times that an item waited although an engine had a free slot, because of the prompts that the engine reads.
    std::uint64_t prefillWaits() const noexcept { return m_prefillWaits; }
    /// @brief The oldest weight version that all open submissions of a model allow, or nothing if none is open.
    std::optional<WeightVersion> oldestAllowedVersion(const ModelName&) const;

private:
    enum class ItemState : std::uint8_t { Waiting,
        Running,
        /// The last run has ended, but the item is not settled yet.
        AwaitingResult,
        Settled };

    struct Item {
        ItemId id;
        /// Number of its group in the submission, in the order of first items.
        std::size_t group = 0;
        double expectedEvents = 0;
        Prompt prompt;
        /// Number of the last run.
        std::uint64_t run = 0;
        /// Since when the item waits for a run, as far as placing has seen it.
        std::optional<TimePoint> waitingSince;
        /// Whether the trainer waits for the item's group; such items are placed first.
        bool isInWantedGroup = true;
        /// Whether the item's group can be whole by its due time, as of the last plan.
        bool isInTime = true;
        ItemState state = ItemState::Waiting;
        PartialText text;
        unsigned serverErrors = 0;
        TimePoint notBefore;
        TargetId engine;
        TimePoint startedAt;
        TimePoint lastEventAt;
        std::size_t eventsAtStart = 0;
        /// Software and start of the engine that the current run was placed on.
        SoftwareRelease runRelease;
        Incarnation runEngineStartedAt = 0;
        /// Since when the text has not grown although an engine that cannot continue it could have begun it again.
        std::optional<TimePoint> textBlockedSince;
    };

    struct OpenSubmission {
        ModelName model;
        WeightVersion oldestVersion = 0;
        SubmissionPolicy policy;
        std::vector<Item> items;
        std::size_t groups = 0;
        /// Number of groups that the trainer waits for.
        std::size_t wantedGroups = 0;
        /// Whether an item has a prompt with at least PrefillLoad::minimumMeasuredTokens.
        bool hasLongPrompt = false;
        /// Items in these states, by index.
        std::set<std::size_t> waiting;
        std::set<std::size_t> running;
    };

    void keepReusableText(const ItemId&, PartialText);

    /// Intervals between the events of an engine's runs. Single ones say little, since several events may arrive at once.
    struct EventTiming {
        std::size_t intervals = 0;
        TimePoint firstAt;
        TimePoint lastAt;
        /// Averages in seconds: of the latest intervals, and over a longer time.
        double recentAverage = 0;
        double longAverage = 0;

        void add(double seconds, TimePoint now);
    };

    struct Engine {
        SoftwareRelease release;
        Incarnation startedAt = 0;
        unsigned slots = 1;
        unsigned running = 0;
        std::map<ModelName, unsigned> runningByModel;
        bool isPresent = true;
        /// When the engine will be gone, if it has said so.
        std::optional<TimePoint> leavesAt;
        std::map<ModelName, std::optional<WeightVersion>> weights;
        /// Model that the engine is assigned to, or empty.
        ModelName assignedModel;
        TimePoint pausedUntil;
        EventTiming timing;
        PrefillLoad prefill;
    };

    using EngineEntry = std::pair<const TargetId, Engine>;
    class EngineChoices;

    void updatePlan(TimePoint now);
    /// @return the number of unfinished groups that trainers wait for
    std::size_t markGroupsInTime(TimePoint now);
    static void markWantedGroups(OpenSubmission&, const std::vector<GroupId>& groups, std::uint64_t wantedGroupCount);
    static void setState(OpenSubmission&, Item&, ItemState);
    void beginRun(OpenSubmission&, Item&, const TargetId& engine, TimePoint now);
    Item* find(const ItemKey&);
    const Item* find(const ItemKey&) const;
    /// What a run does with the text that an item has already.
    enum class TextUse : std::uint8_t { Continue,
        BeginAgain };

    bool canTakeRun(const EngineEntry&, TimePoint now) const;
    static bool mayRun(const Engine&, const OpenSubmission&);
    /// Whether a run on the engine may continue the text: its software is the one that began the text and, on a route that requires a single
    /// version, its weights are those of the text. A run on any other engine has to begin the text again.
    static bool canContinue(const Engine&, const OpenSubmission&, const PartialText&);
    const Engine* findEngine(const TargetId&) const;
    /// @param engines engines that may run the item now
    /// The prompt that a run has to read first, and what the item's group leaves as time.
    struct Reading {
        Prompt prompt;
        double events = 0;
        TimePoint softDeadline;
        TimePoint now;
        /// Whether an engine was passed over because of the prompts that it reads.
        bool hasPassedOver = false;
    };
    /// @param reading null if the prompt does not matter
    const EngineEntry* bestEngine(const OpenSubmission&, const PartialText&, TextUse, const std::vector<const EngineEntry*>& engines, Reading* reading = nullptr) const;
    /// Chooses the engine of an item's next run, and drops the item's text if the run has to begin it again.
    const EngineEntry* chooseEngine(const OpenSubmission&, Item&, const std::vector<const EngineEntry*>& engines, TimePoint now);
    /// Whether an engine that is present, although it may have no free slot now, can continue the text.
    bool hasContinuingEngine(const OpenSubmission&, const PartialText&) const;
    bool hasSeveralReleases() const;
    /// Whether the engine of an item's run has restarted with other software since the run was placed, so that the run's events may come from either.
    bool isRunReleaseUncertain(const Item&) const;
    void dropUncertainText(Item&) const;
    double secondsPerEvent(const Engine&) const;
    static Prompt promptToRead(const Item&);
    void updatePrefillBound();
    /// Whether prompts matter: a first event is wanted within some time, an open submission has long prompts, and the reading speed of an
    /// engine is known. Texts that are continued are read too, but alone they show no speed that could be held against short prompts.
    bool considersPrompts() const noexcept { return m_hasLongPrompts && m_prefillBound.maximum > Duration::zero() && m_isReadingSpeedKnown; }
    std::optional<Reading> readingOf(const OpenSubmission&, const Item&, TimePoint now) const;
    /// Adds the time to read a prompt at an engine to the time per event. @return nothing if the item waits for another engine
    std::optional<double> readingSecondsPerEvent(const Engine&, Reading&) const;
    /// Whether items with short prompts go before the item, whose prompt is long and may still wait.
    bool yieldsToShortPrompts(const OpenSubmission&, const Item&, TimePoint now) const;
    void releaseSlot(const OpenSubmission&, const Item&);
    void updateTimePerEvent(const Item&, TimePoint now);
    void dropDisallowedText(const OpenSubmission&, Item&) const;

    PrefillBound m_prefillBound;
    bool m_isReadingSpeedKnown = false;
    /// Whether an item of an open submission has a prompt that takes an engine long to read.
    bool m_hasLongPrompts = false;
    std::uint64_t m_lastRun = 0;
    std::uint64_t m_prefillWaits = 0;
    GroupOrder m_groupOrder;
    /// When the groups that can be whole in time were determined, for how long that is good, and whether a submission was added since.
    TimePoint m_plannedAt;
    std::chrono::milliseconds m_planInterval { 0 };
    bool m_hasUnplannedSubmission = false;
    std::map<SubmissionId, OpenSubmission> m_submissions;
    std::map<TargetId, Engine> m_engines;
    /// Software of the engines that are present.
    std::map<PoolName, std::set<SoftwareVersion>> m_releases;
    /// Partial texts of ended submissions and of another coordinator, for items that are submitted again.
    std::map<ItemId, PartialText> m_reusableTexts;
    std::size_t m_reusableBytes = 0;
    std::map<ModelName, double> m_demand;
    double m_lateShare = 0;
    TargetRateLimits* m_rateLimits = nullptr;
};

} // namespace cicadalb
