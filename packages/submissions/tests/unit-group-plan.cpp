#include "GroupPlan.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include <algorithm>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// Engines that generate 100 events a second together, 20 a second in each slot.
struct GroupPlanFixture {
    ManualClock clock;
    EngineSpeed speed { 100, 0.05 };
    std::vector<PlannedGroup> groups;
    std::vector<PlannedSubmission> submissions { {} };

    void addGroup(Duration dueIn, double events, double longest = 1)
    {
        ++submissions.back().wantedGroups;
        groups.push_back({ clock.now() + dueIn, events, longest, submissions.size() - 1 });
    }

    /// Groups that are added from here on belong to another submission.
    void addSubmission(std::size_t wholeGroups = 0) { submissions.push_back({ wholeGroups, wholeGroups }); }

    std::vector<bool> select() const { return selectGroupsInTime(groups, submissions, speed, clock.now()); }
};

using Selection = std::vector<bool>;

} // namespace

TEST_CASE_METHOD(GroupPlanFixture, "group plan, engines keep up, selects all groups")
{
    addGroup(1s, 100);
    addGroup(2s, 100);
    addGroup(3s, 100);
    CHECK(select() == Selection { true, true, true });
}

TEST_CASE_METHOD(GroupPlanFixture, "group plan, more due at once than the engines can generate, selects as many as can be whole")
{
    for (int i = 0; i < 8; ++i)
        addGroup(5s, 100);
    const auto selected = select();
    CHECK(std::count(selected.begin(), selected.end(), true) == 5);
}

TEST_CASE_METHOD(GroupPlanFixture, "group plan, one long group would make several short ones late, leaves the long one out")
{
    addGroup(4s, 350);
    addGroup(5s, 100);
    addGroup(5s, 100);
    addGroup(5s, 100);
    CHECK(select() == Selection { false, true, true, true });
}

TEST_CASE_METHOD(GroupPlanFixture, "group plan, item too long for the time left, does not select its group")
{
    addGroup(1s, 21, 21);
    addGroup(1s, 20, 20);
    CHECK(select() == Selection { false, true });
}

TEST_CASE_METHOD(GroupPlanFixture, "group plan, due time past, does not select the group")
{
    addGroup(-1s, 1);
    addGroup(1s, 100);
    CHECK(select() == Selection { false, true });
}

TEST_CASE_METHOD(GroupPlanFixture, "group plan, several submissions, leaves out groups of each alike")
{
    for (int i = 0; i < 6; ++i)
        addGroup(4s, 100);
    addSubmission();
    for (int i = 0; i < 3; ++i)
        addGroup(4500ms, 100);
    const auto selected = select();
    CHECK(std::count(selected.begin(), selected.begin() + 6, true) == 3);
    CHECK(std::count(selected.begin() + 6, selected.end(), true) == 1);
}

TEST_CASE_METHOD(GroupPlanFixture, "group plan, submission with most of its groups whole, leaves out its others first")
{
    submissions.back() = { 9, 9 };
    addGroup(1s, 100);
    addSubmission();
    addGroup(1s, 100);
    CHECK(select() == Selection { false, true });
}

TEST_CASE_METHOD(GroupPlanFixture, "group plan, no engines, selects none")
{
    speed = {};
    addGroup(5s, 1);
    CHECK(select() == Selection { false });
}

TEST_CASE("group plan, groups of equal size, selects as many as any order could finish in time")
{
    const bool holds = rc::check([] {
        ManualClock clock;
        const auto count = *rc::gen::inRange<std::size_t>(1, 9);
        const auto submissionCount = *rc::gen::inRange<std::size_t>(1, 4);
        std::vector<PlannedSubmission> submissions(submissionCount);
        const auto events = static_cast<double>(*rc::gen::inRange(1, 300));
        std::vector<PlannedGroup> groups;
        for (std::size_t i = 0; i < count; ++i) {
            const auto submission = *rc::gen::inRange<std::size_t>(0, submissionCount);
            ++submissions[submission].wantedGroups;
            groups.push_back({ clock.now() + std::chrono::milliseconds(*rc::gen::inRange(0, 6000)), events, 0, submission });
        }
        const EngineSpeed speed { 100, 0.05 };
        const auto isFeasible = [&](unsigned subset) {
            std::vector<PlannedGroup> chosen;
            for (std::size_t i = 0; i < count; ++i) {
                if ((subset >> i & 1U) != 0)
                    chosen.push_back(groups[i]);
            }
            std::sort(chosen.begin(), chosen.end(), [](const auto& left, const auto& right) { return left.dueAt < right.dueAt; });
            double finishedIn = 0;
            return std::all_of(chosen.begin(), chosen.end(), [&](const auto& group) {
                finishedIn += group.remainingEvents / speed.eventsPerSecond;
                return finishedIn <= std::chrono::duration<double>(group.dueAt - clock.now()).count() + 1e-9;
            });
        };
        int most = 0;
        for (unsigned subset = 0; subset < (1U << count); ++subset) {
            if (isFeasible(subset))
                most = std::max(most, __builtin_popcount(subset));
        }
        const auto selected = selectGroupsInTime(groups, submissions, speed, clock.now());
        unsigned chosen = 0;
        for (std::size_t i = 0; i < count; ++i)
            chosen |= selected[i] ? 1U << i : 0U;
        RC_ASSERT(isFeasible(chosen));
        RC_ASSERT(__builtin_popcount(chosen) == most);
    });
    CHECK(holds);
}

TEST_CASE("group plan, groups of any size, selects only groups that can all be whole in time")
{
    const bool holds = rc::check([] {
        ManualClock clock;
        const EngineSpeed speed { 100, 0.05 };
        std::vector<PlannedSubmission> submissions(3);
        std::vector<PlannedGroup> groups;
        const auto count = *rc::gen::inRange(0, 40);
        for (int i = 0; i < count; ++i) {
            const auto submission = *rc::gen::inRange<std::size_t>(0, submissions.size());
            ++submissions[submission].wantedGroups;
            const auto events = static_cast<double>(*rc::gen::inRange(1, 300));
            groups.push_back({ clock.now() + std::chrono::milliseconds(*rc::gen::inRange(-1000, 9000)), events, *rc::gen::inRange(1, 100) / 100.0 * events, submission });
        }
        const auto isSelected = selectGroupsInTime(groups, submissions, speed, clock.now());
        std::vector<PlannedGroup> selected;
        for (std::size_t i = 0; i < groups.size(); ++i) {
            if (isSelected[i])
                selected.push_back(groups[i]);
        }
        std::stable_sort(selected.begin(), selected.end(), [](const auto& left, const auto& right) { return left.dueAt < right.dueAt; });
        double finishedIn = 0;
        for (const auto& group : selected) {
            finishedIn += group.remainingEvents / speed.eventsPerSecond;
            const auto timeLeft = std::chrono::duration<double>(group.dueAt - clock.now()).count();
            RC_ASSERT(finishedIn <= timeLeft + 1e-9);
            RC_ASSERT(group.longestItem * speed.secondsPerEvent <= timeLeft);
        }
    });
    CHECK(holds);
}
