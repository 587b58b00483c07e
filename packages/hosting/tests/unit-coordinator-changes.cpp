#include "SimulatedCoordinators.h"

#include "cicadalb/base/Random.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <map>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// Longest time without a coordinator in a planned change.
constexpr auto longestPlannedGap = 200ms;
/// Longest time from the order of a retirement to its confirmation while another process can take over.
constexpr auto longestRetirement = 5s;

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

    /// Orders a retirement and, once it is confirmed, removes the process, as the operator does.
    bool retire(const std::string& name)
    {
        orderRetirement(name);
        if (!watchUntil([&] { return retirementStatus(name) == "done"; }, longestRetirement))
            return false;
        end(*find(name));
        return true;
    }

    /// Hands over as a process does that has received a signal, and ends it.
    bool stop(Process& process)
    {
        const auto handOver = [](std::shared_ptr<Coordination> coordination) -> Task<bool> {
            co_await coordination->handOver();
            co_return true;
        };
        const auto done = startTask(executor(), handOver(process.coordination));
        const bool isDone = watchUntil([&] { return done->has_value(); }, Coordination::offerTime + 1s);
        end(process);
        return isDone;
    }

    std::string coordinatorName() { return coordinator() ? coordinator()->name : std::string(); }
    bool isStandbyCoordinating() { return coordinator() && coordinator()->isStandby; }
    /// Changes of coordinator since the start.
    unsigned changes() const { return m_changes; }
    Duration longestGap() const { return m_longestGap; }
    bool haveTwoWorked() const { return m_haveTwoWorked; }
    bool hasStandbyOvertaken() const { return m_hasStandbyOvertaken; }

private:
    void observe()
    {
        const Process* working = nullptr;
        for (const auto& process : processes()) {
            if (!process->coordination->isCandidate())
                m_candidateSince.erase(process->name);
            m_candidateSince.try_emplace(process->name, now());
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
            return process->coordination->isCandidate() && now() >= m_candidateSince.at(process->name) + candidateStart;
        };
        m_hasStandbyOvertaken = m_hasStandbyOvertaken || (working.isStandby && std::any_of(processes().begin(), processes().end(), isAbleCandidate));
    }

    /// Time after which a candidate that has started can be expected to take over.
    static constexpr auto candidateStart = 2s;

    std::map<std::string, TimePoint> m_candidateSince;
    std::string m_last;
    TimePoint m_lastWorkAt;
    Duration m_longestGap {};
    unsigned m_changes = 0;
    bool m_haveTwoWorked = false;
    bool m_hasStandbyOvertaken = false;
};

} // namespace

// Guards against steps that run out of time, since their runs are cut and nobody coordinates for seconds at each planned change.
TEST_CASE_METHOD(CoordinatorChangesFixture, "planned change, coordinator retired while a candidate is left, is one change without a gap")
{
    startSite(3, 4);
    for (unsigned retired = 1; retired <= 2; ++retired) {
        REQUIRE(retire(coordinatorName()));
        CHECK(changes() == retired);
        CHECK(longestGap() <= longestPlannedGap);
        watchFor(8s);
    }
    CHECK(changes() == 2);
    CHECK_FALSE(isStandbyCoordinating());
    CHECK_FALSE(haveTwoWorked());
}

TEST_CASE_METHOD(CoordinatorChangesFixture, "planned change, last candidate retired, a standby takes over without a gap")
{
    startSite(1, 4);
    REQUIRE(retire("candidate-0"));
    CHECK(isStandbyCoordinating());
    watchFor(8s);
    CHECK(changes() == 1);
    CHECK(longestGap() <= longestPlannedGap);
    CHECK_FALSE(haveTwoWorked());
}

TEST_CASE_METHOD(CoordinatorChangesFixture, "planned change, coordinator stopped by a signal, is one change without a gap")
{
    startSite(2, 2);
    REQUIRE(stop(*coordinator()));
    watchFor(4s);
    CHECK(changes() == 1);
    CHECK(longestGap() <= longestPlannedGap);
    CHECK_FALSE(isStandbyCoordinating());
    CHECK_FALSE(haveTwoWorked());
}

TEST_CASE_METHOD(CoordinatorChangesFixture, "planned change, last candidate stopped by a signal, a standby takes over without a gap")
{
    startSite(1, 3);
    REQUIRE(stop(*coordinator()));
    watchFor(4s);
    CHECK(changes() == 1);
    CHECK(longestGap() <= longestPlannedGap);
    CHECK(isStandbyCoordinating());
    CHECK_FALSE(haveTwoWorked());
}

TEST_CASE_METHOD(CoordinatorChangesFixture, "planned change, candidate returns, a standby gives back without a gap")
{
    startSite(1, 2);
    REQUIRE(retire("candidate-0"));
    REQUIRE(isStandbyCoordinating());
    add("candidate-1", false);
    CHECK(watchUntil([this] { return coordinatorName() == "candidate-1"; }, 8s));
    watchFor(8s);
    CHECK(changes() == 2);
    CHECK(longestGap() <= longestPlannedGap);
    CHECK_FALSE(haveTwoWorked());
}

TEST_CASE_METHOD(CoordinatorChangesFixture, "planned change, candidate that returned retires before a standby gives back, costs no change")
{
    startSite(1, 2);
    REQUIRE(retire("candidate-0"));
    add("candidate-1", false);
    watchFor(StandbyCandidacy::returnDelay / 2);
    orderRetirement("candidate-1");
    watchFor(8s);
    CHECK(changes() == 1);
    CHECK(isStandbyCoordinating());
}

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

namespace {

/// Retirements, stops, kills and additions in a random order at random intervals. Standbys are left alone, so that somebody can always take over.
class RandomCoordinatorChanges : public CoordinatorChangesFixture {
public:
    enum class Kinds : std::uint8_t { Planned,
        All };

    RandomCoordinatorChanges(std::uint64_t seed, Kinds kinds)
        : m_random(seed)
        , m_kinds(kinds)
    {
        startSite(1 + randomIndex(m_random, 3), 3);
    }

    void run(unsigned events)
    {
        static constexpr auto changes = std::to_array<void (RandomCoordinatorChanges::*)()>({ &RandomCoordinatorChanges::retireAny, &RandomCoordinatorChanges::stopAny, &RandomCoordinatorChanges::addCandidate, &RandomCoordinatorChanges::killAny });
        const auto kinds = changes.size() - (m_kinds == Kinds::Planned ? 1 : 0);
        for (unsigned i = 0; i < events; ++i) {
            (this->*changes[randomIndex(m_random, kinds)])();
            watch(timeStep * static_cast<int>(randomIndex(m_random, 300)));
        }
        watch(15s);
    }

    /// Events that may each cause one change of coordinator.
    unsigned causes() const { return m_causes; }

private:
    void watch(Duration time)
    {
        const auto until = now() + time;
        while (now() < until) {
            watchFor(timeStep);
            for (const auto& name : std::exchange(m_retiring, {})) {
                if (retirementStatus(name) == "done")
                    end(*find(name));
                else
                    m_retiring.push_back(name);
            }
        }
    }

    /// A candidate that is not retiring, or null.
    Process* anyCandidate()
    {
        std::vector<Process*> candidates;
        for (const auto& process : processes()) {
            if (!process->isStandby && std::find(m_retiring.begin(), m_retiring.end(), process->name) == m_retiring.end())
                candidates.push_back(process.get());
        }
        return candidates.empty() ? nullptr : candidates[randomIndex(m_random, candidates.size())];
    }

    void retireAny()
    {
        if (const auto* process = anyCandidate()) {
            ++m_causes;
            m_retiring.push_back(process->name);
            orderRetirement(process->name);
        }
    }

    void stopAny()
    {
        if (auto* process = anyCandidate()) {
            ++m_causes;
            (void)stop(*process);
        }
    }

    void killAny()
    {
        if (auto* process = anyCandidate()) {
            ++m_causes;
            end(*process);
        }
    }

    /// A standby that coordinates gives back to it.
    void addCandidate()
    {
        ++m_causes;
        add("added-" + std::to_string(m_added++), false);
    }

    Random m_random;
    Kinds m_kinds;
    std::vector<std::string> m_retiring;
    unsigned m_added = 0;
    unsigned m_causes = 0;
};

int environmentNumber(const char* name, int defaultValue)
{
    const auto* text = std::getenv(name);
    return text ? std::atoi(text) : defaultValue;
}

void checkRandomChanges(RandomCoordinatorChanges::Kinds kinds)
{
    constexpr unsigned eventsPerSeed = 12;
    const auto first = environmentNumber("COORDINATORS_FIRST", 1);
    for (auto seed = first; seed < first + environmentNumber("COORDINATORS_COUNT", 20); ++seed) {
        INFO("seed " << seed);
        RandomCoordinatorChanges changes(static_cast<std::uint64_t>(seed), kinds);
        changes.run(eventsPerSeed);
        CHECK(changes.changes() <= changes.causes());
        CHECK_FALSE(changes.haveTwoWorked());
        CHECK_FALSE(changes.hasStandbyOvertaken());
        if (kinds == RandomCoordinatorChanges::Kinds::Planned)
            CHECK(changes.longestGap() <= longestPlannedGap);
    }
}

} // namespace

// To run other seeds, set COORDINATORS_FIRST and COORDINATORS_COUNT in the environment.
TEST_CASE("planned changes, random retirements, stops and additions, one change for each at most and no gap")
{
    checkRandomChanges(RandomCoordinatorChanges::Kinds::Planned);
}

TEST_CASE("coordinator changes, random retirements, stops, kills and additions, one change for each at most and no standby overtakes")
{
    checkRandomChanges(RandomCoordinatorChanges::Kinds::All);
}
