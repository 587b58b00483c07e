#include "SimulatedCoordinators.h"

#include "cicadalb/base/Random.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <set>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// Records who coordinates while a series of changes goes on.
class CoordinatorChangesFixture : public SimulatedCoordinators {
public:
    void startSite(std::size_t candidates, std::size_t standbys)
    {
        addSite(candidates, standbys);
        REQUIRE(runUntil([this] { return coordinator() != nullptr; }, 5s));
        runFor(4s);
        m_last = coordinator()->name;
        m_lastWorkAt = now();
    }

    /// Advances while the condition is false, and observes who works.
    bool watchUntil(const std::function<bool()>& condition, Duration limit)
    {
        const auto until = now() + limit;
        while (!condition() && now() < until) {
            advance(timeStep);
            observe();
        }
        return condition();
    }

    void watchFor(Duration time)
    {
        (void)watchUntil([] { return false; }, time);
    }

    std::string coordinatorName() { return coordinator() ? coordinator()->name : std::string(); }
    bool isStandbyCoordinating() { return coordinator() && coordinator()->isStandby; }
    /// Changes of coordinator since the start.
    unsigned changes() const { return m_changes; }
    Duration longestGap() const { return m_longestGap; }
    bool haveTwoWorked() const { return m_haveTwoWorked; }
    bool hasStandbyOvertaken() const { return m_hasStandbyOvertaken; }
    void forgetGap() { m_longestGap = {}; }

private:
    void observe()
    {
        const Process* working = nullptr;
        for (const auto& process : processes()) {
            if (!process->coordination->isCoordinating())
                continue;
            m_haveTwoWorked = m_haveTwoWorked || working;
            working = process.get();
        }
        if (working) {
            m_lastWorkAt = now();
            if (working->name != m_last)
                recordChange(*working);
            return;
        }
        m_longestGap = std::max(m_longestGap, now() - m_lastWorkAt);
    }

    void recordChange(const Process& working)
    {
        ++m_changes;
        m_last = working.name;
        const auto isAbleCandidate = [this](const auto& process) {
            return !process->isStandby && retirementStatus(process->name).empty() && process->coordination->isCandidate();
        };
        m_hasStandbyOvertaken = m_hasStandbyOvertaken || (working.isStandby && std::any_of(processes().begin(), processes().end(), isAbleCandidate));
    }

    std::string m_last;
    TimePoint m_lastWorkAt;
    Duration m_longestGap {};
    unsigned m_changes = 0;
    bool m_haveTwoWorked = false;
    bool m_hasStandbyOvertaken = false;
};

} // namespace

// Guards against a request of an earlier vacancy that delays the next holder, so that a standby overtakes a candidate.
TEST_CASE_METHOD(CoordinatorChangesFixture, "unplanned change, coordinators killed one after the other, a candidate that is alive takes over each time")
{
    startSite(4, 4);
    for (unsigned killed = 1; killed <= 3; ++killed) {
        end(*coordinator());
        CHECK(watchUntil([this] { return coordinator() != nullptr; }, 4s));
        CHECK_FALSE(isStandbyCoordinating());
        watchFor(6s);
        CHECK(changes() == killed);
    }
}

// Guards against a candidate that pauses between the calls of one request, so that standbys, which wait longer, catch up with it.
TEST_CASE_METHOD(CoordinatorChangesFixture, "unplanned change, lease vacant and a candidate alive, candidate takes over within 600 ms")
{
    startSite(2, 0);
    for (unsigned repetition = 0; repetition < 12; ++repetition) {
        INFO(repetition);
        const auto killed = coordinatorName();
        end(*coordinator());
        const auto isVacant = [this] { return !store().entries().contains("coordinator/holder"); };
        REQUIRE(runUntil(isVacant, 3s));
        CHECK(runUntil([this] { return coordinator() != nullptr; }, 600ms));
        add(killed, false);
        runFor(5s + repetition * timeStep);
    }
}
