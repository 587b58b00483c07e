#pragma once

#include "cicadalb/base/Clock.h"

#include <vector>

/// @file
/// Which groups of samples can still be whole by their due times. Load: trainers that together ask for more than the engines can generate.

namespace cicadalb {

/// @brief A group that its trainer waits for, with items that are not finished.
struct PlannedGroup {
    TimePoint dueAt;
    /// Events that all items of the group together still need.
    double remainingEvents = 0;
    /// Events that its longest item still needs.
    double longestItem = 0;
    /// Index of its submission.
    std::size_t submission = 0;
};

struct PlannedSubmission {
    /// Groups that its trainer waits for.
    std::size_t wantedGroups = 0;
    /// Those of them that are whole already.
    std::size_t wholeGroups = 0;
};

struct EngineSpeed {
    /// Of all engines together, with all slots in use.
    double eventsPerSecond = 0;
    /// Of the fastest engine.
    double secondsPerEvent = 0;
};

/// @brief Selects groups that are all whole by their due times if they are run in the order of these times. Running all groups in that order makes
/// nearly all of them late as soon as more is asked than the engines can generate. The rule is that of Moore and Hodgson for the least number of
/// late jobs, with the engines as one machine: whenever a group would be late, one is left out. It belongs to the
/// submission that keeps the largest share of its groups without it, so that trainers are served alike, and is the one of them with the most work. Complexity: n log n.
/// @return for each group whether it is selected
std::vector<bool> selectGroupsInTime(const std::vector<PlannedGroup>&, std::vector<PlannedSubmission>, const EngineSpeed&, TimePoint now);

} // namespace cicadalb
