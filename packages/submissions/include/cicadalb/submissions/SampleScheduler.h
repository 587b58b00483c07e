#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/submissions/PartialText.h"
#include "cicadalb/submissions/Submission.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// @file
/// Which sample runs on which engine next.

namespace cicadalb {

/// @brief A model engine as the scheduler sees it.
struct SchedulableEngine {
    TargetId id;
    PoolName pool;
    unsigned slots = 1;
    std::map<std::string, WeightVersion> models;
};

/// @brief Rules of the route that a submission came by.
struct SubmissionTerms {
    /// When the trainer wants all results.
    TimePoint due;
    /// When items may be given up.
    TimePoint giveUpAt;
    bool requiresSingleVersion = false;
    unsigned maximumServerErrors = 3;
    unsigned priority = 0;
    /// Pools whose engines may run its items; changes with the configuration.
    std::vector<PoolName> pools;
};

struct ItemKey {
    SubmissionId submission;
    std::size_t index = 0;
    auto operator<=>(const ItemKey&) const = default;
};

/// @brief A run that is to begin now.
struct Placement {
    ItemKey item;
    TargetId engine;
};

enum class RunEnd : std::uint8_t {
    /// The whole text is there.
    Complete,
    /// The answer broke off; the text goes on elsewhere.
    Broken,
    /// The engine did not run it: full, or its weights change.
    NotRun,
    /// The engine tried and failed.
    ServerError,
    /// The engine states that it can never be done.
    Impossible,
    /// Ended by us.
    Abandoned,
    /// Its text came from weights that the submission does not allow.
    WrongWeights,
};

std::string_view name(RunEnd) noexcept;

/// @brief What follows from a run's end.
enum class ItemStep : std::uint8_t { RunAgain,
    Judge,
    GiveUp,
    Nothing };

/// @brief Places the items of all open submissions. Load that it answers: several trainers whose steps of 30 to 300 items come every few
/// seconds, of lengths known only roughly, on engines that differ in speed by a factor of two or more. Within a submission the groups
/// that can be complete first come first, and of these the longest items, on the fastest engines. Not thread-safe.
class SampleScheduler {
public:
    /// Time for one event that is assumed of an engine until it was measured.
    static constexpr std::chrono::milliseconds assumedPace { 40 };
    /// How long an engine that refused an item is left alone.
    static constexpr std::chrono::milliseconds refusalPause { 150 };
    /// How long an engine that broke a run off is left alone.
    static constexpr std::chrono::milliseconds breakPause { 1000 };

    void setEngines(const std::vector<SchedulableEngine>&);
    /// @brief The weights of one model that an engine holds; none while they change.
    void setWeights(const TargetId&, const ModelName&, std::optional<WeightVersion>);
    /// @brief Model that an engine serves first, or none.
    void setHome(const TargetId&, const ModelName&);

    /// @param done items whose results are already stored
    void add(const Submission&, const SubmissionTerms&, const std::set<ItemId>& done);
    /// @brief Takes over a configuration that sends a submission's route elsewhere; an empty list lets nothing more run.
    void setPools(const SubmissionId&, std::vector<PoolName>);
    /// @brief Forgets a submission. @return its running items, which are to be stopped
    std::vector<ItemKey> remove(const SubmissionId&);

    /// @brief Chooses runs for the free slots. Each of them counts as running. Complexity: items waiting times engines.
    std::vector<Placement> place(TimePoint now);
    /// @brief Text that came from a run.
    void progressed(const ItemKey&, std::uint64_t event, std::string_view data, WeightVersion, TimePoint now);
    /// @brief Text with versions that the submission does not allow is dropped.
    ItemStep finished(const ItemKey&, RunEnd, TimePoint now);
    /// @brief An item's result is stored, or will be.
    void settle(const ItemKey&);
    /// @brief Items that have to be given up now.
    std::vector<ItemKey> expired(TimePoint now) const;
    /// @brief Runs that do better elsewhere: silent, or on an engine so slow that a faster one with room would be done sooner.
    std::vector<ItemKey> misplaced(TimePoint now) const;

    const PartialText* text(const ItemKey&) const;
    /// @brief Texts of open items from @p fewestEvents events on, the longest first, up to @p bytes in all.
    std::vector<ItemText> texts(std::size_t fewestEvents, std::size_t bytes) const;
    /// @brief Texts that another coordinator had; items that are added go on with them if their weights allow.
    void adopt(std::vector<ItemText>);
    /// @brief Whether an item waits, runs or is judged.
    bool isOpen(const ItemKey&) const;
    std::size_t running() const;
    std::size_t waiting() const;
    std::size_t waiting(const ModelName&) const;
    /// @brief Events that a submission of each model asks for, as a running mean of estimates.
    const std::map<ModelName, double>& demand() const noexcept { return m_demand; }
    /// @brief Whether the pace of an engine was measured.
    bool isMeasured(const TargetId&) const;
    /// @brief Runs of one model on an engine.
    std::size_t runningOn(const TargetId&, const ModelName&) const;
    Duration pace(const TargetId&) const;
    /// @brief The oldest weights that open submissions of a model still need, or nothing if it has none.
    std::optional<WeightVersion> neededVersion(const ModelName&) const;

private:
    enum class ItemState : std::uint8_t { Waiting,
        Running,
        Judging,
        Settled };

    struct Item {
        ItemId id;
        GroupId group;
        double expectedEvents = 0;
        /// Groups that the trainer waits for come first.
        bool isWanted = true;
        ItemState state = ItemState::Waiting;
        PartialText text;
        unsigned serverErrors = 0;
        TimePoint notBefore;
        TargetId engine;
        TimePoint startedAt;
        TimePoint lastEventAt;
        std::size_t eventsAtStart = 0;
    };

    struct Open {
        ModelName model;
        WeightVersion oldestVersion = 0;
        SubmissionTerms terms;
        std::vector<Item> items;
    };

    struct Engine {
        PoolName pool;
        unsigned slots = 1;
        unsigned running = 0;
        bool isPresent = true;
        std::map<ModelName, std::optional<WeightVersion>> weights;
        ModelName home;
        TimePoint pausedUntil;
        /// Seconds for one event; 0 if not measured.
        double pace = 0;
    };

    static void rank(Open&, std::uint64_t wantedGroups);
    Item* find(const ItemKey&);
    const Item* find(const ItemKey&) const;
    bool mayServe(const Engine&, const Open&, const Item&, TimePoint now) const;
    const Engine* engine(const TargetId&) const;
    std::optional<TargetId> bestEngine(const Open&, const Item&, TimePoint now) const;
    double seconds(const Engine&) const;
    void release(Item&);
    void measure(const Item&, TimePoint now);
    void keepText(const Open&, Item&) const;

    std::map<SubmissionId, Open> m_open;
    std::map<TargetId, Engine> m_engines;
    /// Text of items whose submission ended before they were complete.
    std::map<ItemId, PartialText> m_leftover;
    std::map<ModelName, double> m_demand;
};

} // namespace cicadalb
