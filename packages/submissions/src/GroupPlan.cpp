#include "GroupPlan.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <utility>

namespace cicadalb {

std::vector<bool> selectGroupsInTime(const std::vector<PlannedGroup>& groups, std::vector<PlannedSubmission> submissions, const EngineSpeed& speed, TimePoint now)
{
    using Seconds = std::chrono::duration<double>;
    std::vector<bool> isSelected(groups.size(), false);
    if (speed.eventsPerSecond <= 0)
        return isSelected;
    std::vector<std::size_t> byDueTime(groups.size());
    std::iota(byDueTime.begin(), byDueTime.end(), std::size_t { 0 });
    std::stable_sort(byDueTime.begin(), byDueTime.end(), [&](auto left, auto right) { return groups[left].dueAt < groups[right].dueAt; });
    const auto costOf = [&](std::size_t index) {
        const auto& submission = submissions[groups[index].submission];
        const auto share = static_cast<double>(submission.wholeGroups) / static_cast<double>(std::max<std::size_t>(1, submission.wantedGroups));
        return std::pair(share, groups[index].remainingEvents);
    };
    std::vector<std::size_t> selected;
    double finishedIn = 0;
    for (const auto index : byDueTime) {
        const auto& group = groups[index];
        const auto timeLeft = Seconds(group.dueAt - now).count();
        if (group.longestItem * speed.secondsPerEvent > timeLeft)
            continue;
        selected.push_back(index);
        // Selected groups count as whole from here on.
        ++submissions[group.submission].wholeGroups;
        isSelected[index] = true;
        finishedIn += group.remainingEvents / speed.eventsPerSecond;
        while (finishedIn > timeLeft && !selected.empty()) {
            const auto worst = std::max_element(selected.begin(), selected.end(), [&](auto left, auto right) { return costOf(left) < costOf(right); });
            finishedIn -= groups[*worst].remainingEvents / speed.eventsPerSecond;
            isSelected[*worst] = false;
            --submissions[groups[*worst].submission].wholeGroups;
            selected.erase(worst);
        }
    }
    return isSelected;
}

} // namespace cicadalb
