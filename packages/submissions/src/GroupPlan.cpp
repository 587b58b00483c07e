#include "GroupPlan.h"

#include <algorithm>
#include <chrono>
#include <compare>
#include <iterator>
#include <numeric>
#include <set>
#include <utility>

namespace cicadalb {

namespace {

    /// Selected groups, ordered by which of them is left out first.
    class Selection {
    public:
        Selection(const std::vector<PlannedGroup>& groups, std::vector<PlannedSubmission> submissions)
            : m_groups(groups)
            , m_submissions(std::move(submissions))
            , m_selected(m_submissions.size())
        {
        }

        bool isEmpty() const { return m_ranking.empty(); }

        void add(std::size_t index)
        {
            const auto submission = m_groups[index].submission;
            removeRank(submission);
            // Selected groups count as whole.
            ++m_submissions[submission].wholeGroups;
            m_selected[submission].emplace(m_groups[index].remainingEvents, index);
            addRank(submission);
        }

        /// Removes a group of the submission that keeps the largest share of its groups without it, the one with the most work. @return its index
        std::size_t removeWorst()
        {
            const auto submission = std::prev(m_ranking.end())->submission;
            removeRank(submission);
            const auto worst = std::prev(m_selected[submission].end());
            const auto index = worst->second;
            m_selected[submission].erase(worst);
            --m_submissions[submission].wholeGroups;
            addRank(submission);
            return index;
        }

    private:
        struct Rank {
            /// Share of its groups that the submission keeps if one is left out.
            double share = 0;
            double mostEvents = 0;
            std::size_t submission = 0;
            auto operator<=>(const Rank&) const = default;
        };

        Rank rankOf(std::size_t submission) const
        {
            const auto& [wanted, whole] = m_submissions[submission];
            return { static_cast<double>(whole - 1) / static_cast<double>(std::max<std::size_t>(1, wanted)), std::prev(m_selected[submission].end())->first, submission };
        }

        void addRank(std::size_t submission)
        {
            if (!m_selected[submission].empty())
                m_ranking.insert(rankOf(submission));
        }

        void removeRank(std::size_t submission)
        {
            if (!m_selected[submission].empty())
                m_ranking.erase(rankOf(submission));
        }

        const std::vector<PlannedGroup>& m_groups;
        std::vector<PlannedSubmission> m_submissions;
        /// The selected groups of each submission, by the events that they need.
        std::vector<std::set<std::pair<double, std::size_t>>> m_selected;
        std::set<Rank> m_ranking;
    };

} // namespace

std::vector<bool> selectGroupsInTime(const std::vector<PlannedGroup>& groups, std::vector<PlannedSubmission> submissions, const EngineSpeed& speed, TimePoint now)
{
    using Seconds = std::chrono::duration<double>;
    std::vector<bool> isSelected(groups.size(), false);
    if (speed.eventsPerSecond <= 0)
        return isSelected;
    std::vector<std::size_t> byDueTime(groups.size());
    std::iota(byDueTime.begin(), byDueTime.end(), std::size_t { 0 });
    std::stable_sort(byDueTime.begin(), byDueTime.end(), [&](auto left, auto right) { return groups[left].dueAt < groups[right].dueAt; });
    Selection selection(groups, std::move(submissions));
    double finishedIn = 0;
    for (const auto index : byDueTime) {
        const auto& group = groups[index];
        const auto timeLeft = Seconds(group.dueAt - now).count();
        if (group.longestItem * speed.secondsPerEvent > timeLeft)
            continue;
        selection.add(index);
        isSelected[index] = true;
        finishedIn += group.remainingEvents / speed.eventsPerSecond;
        while (finishedIn > timeLeft && !selection.isEmpty()) {
            const auto leftOut = selection.removeWorst();
            finishedIn -= groups[leftOut].remainingEvents / speed.eventsPerSecond;
            isSelected[leftOut] = false;
        }
    }
    return isSelected;
}

} // namespace cicadalb
