#include "SimulatedCoordinators.h"

#include "cicadalb/base/Random.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// Longest time without a coordinator after a change of coordinator that began with a crash: the lease, and the delay of a standby and its requests.
constexpr auto longestGap = 4s;

struct StandbyCoordinationFixture : SimulatedCoordinators {
    void startSite(std::size_t candidates, std::size_t standbys)
    {
        addSite(candidates, standbys);
        REQUIRE(runUntil([this] { return coordinator() != nullptr; }, 5s));
        runFor(4s);
    }

    bool isDone(const std::string& name) const { return retirementStatus(name) == "done"; }

    /// Orders a retirement and removes the process when it is done, as the operator does.
    bool retire(const std::string& name)
    {
        orderRetirement(name);
        if (!runUntil([&] { return isDone(name); }, 8s))
            return false;
        end(*find(name));
        return true;
    }

    bool isStandbyCoordinating() { return coordinator() && coordinator()->isStandby; }
};

} // namespace

// Guards against sites on which nobody coordinates once all candidates have been retired.
TEST_CASE_METHOD(StandbyCoordinationFixture, "standby, all candidates retired one after the other, coordinates")
{
    startSite(3, 2);
    for (const auto* name : { "candidate-0", "candidate-1", "candidate-2" }) {
        INFO(name);
        REQUIRE(retire(name));
        CHECK(coordinator() != nullptr);
    }
    CHECK(isStandbyCoordinating());
    runFor(20s);
    CHECK(isStandbyCoordinating());
}

TEST_CASE_METHOD(StandbyCoordinationFixture, "standby, all candidates retired at once, coordinates before the last one is confirmed")
{
    startSite(3, 2);
    for (const auto* name : { "candidate-0", "candidate-1", "candidate-2" })
        orderRetirement(name);
    std::vector<std::string> removed;
    const auto begunAt = now();
    while (removed.size() < 3 && now() < begunAt + 8s) {
        advance(timeStep);
        for (const auto* name : { "candidate-0", "candidate-1", "candidate-2" }) {
            if (!find(name) || !isDone(name))
                continue;
            end(*find(name));
            removed.emplace_back(name);
        }
    }
    REQUIRE(removed.size() == 3);
    CHECK(runUntil([this] { return isStandbyCoordinating(); }, longestGap));
}

TEST_CASE_METHOD(StandbyCoordinationFixture, "standby, all candidates killed, coordinates within the time of a change of coordinator")
{
    startSite(3, 2);
    while (processes().front()->name.starts_with("candidate"))
        end(*processes().front());
    CHECK(runUntil([this] { return isStandbyCoordinating(); }, longestGap));
}

TEST_CASE_METHOD(StandbyCoordinationFixture, "standby that coordinates, ends, and another standby takes over")
{
    startSite(1, 3);
    REQUIRE(retire("candidate-0"));
    REQUIRE(isStandbyCoordinating());
    const auto first = coordinator()->name;
    end(*coordinator());
    REQUIRE(runUntil([this] { return isStandbyCoordinating(); }, longestGap));
    CHECK(coordinator()->name != first);
}

TEST_CASE_METHOD(StandbyCoordinationFixture, "standby that coordinates, candidate starts, gives coordination back")
{
    startSite(1, 2);
    end(*find("candidate-0"));
    REQUIRE(runUntil([this] { return isStandbyCoordinating(); }, longestGap));
    add("candidate-0", false);
    const auto isCandidateCoordinating = [this] { return coordinator() && !coordinator()->isStandby; };
    CHECK(runUntil(isCandidateCoordinating, 8s));
    runFor(20s);
    CHECK(isCandidateCoordinating());
}

TEST_CASE_METHOD(StandbyCoordinationFixture, "standby, coordinator killed while another candidate is left, does not take over")
{
    startSite(2, 3);
    end(*coordinator());
    const auto begunAt = now();
    while (now() < begunAt + 10s) {
        advance(timeStep);
        REQUIRE_FALSE(isStandbyCoordinating());
    }
    CHECK(coordinator() != nullptr);
}

// A calm day must not cost calls of the standbys.
TEST_CASE_METHOD(StandbyCoordinationFixture, "standby, candidate coordinates, makes no calls to the store for the lease")
{
    startSite(1, 4);
    const auto& counts = store().counts();
    const auto reads = counts.reads;
    const auto begun = counts.leases + counts.watches;
    end(*find("standby-0"));
    end(*find("standby-1"));
    end(*find("standby-2"));
    end(*find("standby-3"));
    runFor(20s);
    const auto alone = store().counts().leases + store().counts().watches - begun;
    for (const auto* name : { "standby-4", "standby-5", "standby-6", "standby-7" })
        add(name, true);
    runFor(4s);
    const auto again = store().counts().leases + store().counts().watches;
    runFor(20s);
    CHECK(store().counts().leases + store().counts().watches - again <= alone + 4);
    CHECK(store().counts().reads == reads);
}

TEST_CASE_METHOD(StandbyCoordinationFixture, "retirement, no other process can coordinate, is not confirmed and the work goes on")
{
    startSite(1, 0);
    orderRetirement("candidate-0");
    const auto begunAt = now();
    auto lastCoordinated = begunAt;
    Duration longest {};
    while (now() < begunAt + 40s) {
        advance(timeStep);
        if (coordinator())
            lastCoordinated = now();
        longest = std::max(longest, now() - lastCoordinated);
    }
    CHECK(retirementStatus("candidate-0") == "begun");
    CHECK(longest <= Retirement::maximumWait + 1s);
    add("candidate-9", false);
    CHECK(runUntil([this] { return isDone("candidate-0"); }, Retirement::longestRetryInterval + 2 * Retirement::maximumWait));
    CHECK(runUntil([this] { return coordinator() && coordinator()->name == "candidate-9"; }, 5s));
}

TEST_CASE_METHOD(StandbyCoordinationFixture, "retirement, of a host that does not coordinate while the coordinator has crashed, waits for a living successor")
{
    startSite(2, 0);
    const auto crashed = coordinator()->name;
    const auto* retired = crashed == "candidate-0" ? "candidate-1" : "candidate-0";
    orderRetirement(retired);
    end(*coordinator());
    runFor(20s);
    CHECK_FALSE(isDone(retired));
    add("candidate-9", false);
    CHECK(runUntil([&] { return isDone(retired); }, Retirement::longestRetryInterval + 2 * Retirement::maximumWait));
}

TEST_CASE_METHOD(StandbyCoordinationFixture, "retirement, of a host that does not coordinate, is confirmed soon whenever it is ordered")
{
    startSite(2, 0);
    const auto* retired = coordinator()->name == "candidate-0" ? "candidate-1" : "candidate-0";
    for (auto phase = 0ms; phase < 4s; phase += 400ms) {
        INFO(phase.count());
        runFor(4400ms);
        orderRetirement(retired);
        REQUIRE(runUntil([&] { return isDone(retired); }, 3s));
        CHECK(coordinator() != nullptr);
        end(*find(retired));
        store().remove(std::string("retired/") + retired);
        store().remove(std::string("retire/") + retired);
        add(retired, false);
    }
}

// Guards against a site without a coordinator whose candidates answer as mirrors but cannot acquire the lease.
TEST_CASE_METHOD(StandbyCoordinationFixture, "standby, candidate follows the store but its requests for the lease fail, coordinates")
{
    startSite(1, 2);
    find("candidate-0")->failsLeaseCalls = true;
    CHECK(runUntil([this] { return isStandbyCoordinating(); }, 12s));
}

TEST_CASE_METHOD(StandbyCoordinationFixture, "holder, standby that states an address, is known with it at a candidate and at other standbys")
{
    startSite(1, 2);
    REQUIRE(retire("candidate-0"));
    REQUIRE(isStandbyCoordinating());
    const auto address = coordinator()->coordination->holder()->address;
    CHECK(address.starts_with("10.0.0.1:"));
    for (const auto& process : processes()) {
        const auto holder = process->coordination->holder();
        REQUIRE(holder);
        CHECK(holder->host.value() == coordinator()->name);
        CHECK(holder->address == address);
    }
}

namespace {

/// Retirements, ends, returns and additions in a random order at random intervals.
class RandomChanges : public StandbyCoordinationFixture {
public:
    explicit RandomChanges(std::uint64_t seed)
        : m_random(seed)
    {
        startSite(1 + randomIndex(m_random, 3), randomIndex(m_random, 4));
    }

    /// @return what went wrong, or an empty text
    std::string run(unsigned changes)
    {
        static constexpr auto kinds = std::to_array<void (RandomChanges::*)()>({ &RandomChanges::orderAny, &RandomChanges::orderAny, &RandomChanges::endAny, &RandomChanges::returnAny, &RandomChanges::addCandidate });
        m_lastCoordinated = now();
        for (unsigned i = 0; i < changes && m_violation.empty(); ++i) {
            (this->*kinds[randomIndex(m_random, kinds.size())])();
            watch(timeStep * static_cast<int>(randomIndex(m_random, 250)));
        }
        watch(12s);
        if (m_violation.empty() && !runUntil([this] { return coordinator() != nullptr; }, longestVacancy))
            m_violation = "nobody coordinates at the end";
        return m_violation;
    }

private:
    /// A process that has just started, one that waits for a successor in vain, and one that takes over a lapsed lease.
    static constexpr auto longestVacancy = StandbyCandidacy::startupDelay + Retirement::maximumWait + longestGap;

    void watch(Duration time)
    {
        const auto until = now() + time;
        while (now() < until && m_violation.empty()) {
            advance(timeStep);
            removeRetired();
            if (coordinator())
                m_lastCoordinated = now();
            else if (now() - m_lastCoordinated > longestVacancy)
                m_violation = "nobody has coordinated for too long with " + std::to_string(processes().size()) + " processes left";
        }
    }

    void removeRetired()
    {
        for (const auto& name : m_ordered) {
            auto* process = find(name);
            if (!process || !isDone(name))
                continue;
            end(*process);
            if (processes().empty())
                m_violation = "the retirement of the last process was confirmed";
        }
    }

    std::string anyName()
    {
        return processes()[randomIndex(m_random, processes().size())]->name;
    }

    void orderAny()
    {
        const auto name = anyName();
        if (find(name)->isStandby)
            return;
        m_ordered.push_back(name);
        orderRetirement(name);
    }

    void endAny()
    {
        if (processes().size() < 2)
            return;
        const auto name = anyName();
        m_gone.emplace_back(name, find(name)->isStandby);
        end(*find(name));
    }

    void returnAny()
    {
        if (m_gone.empty())
            return;
        const auto [name, isStandby] = m_gone.back();
        m_gone.pop_back();
        add(name, isStandby);
    }

    void addCandidate() { add("added-" + std::to_string(m_added++), false); }

    Random m_random;
    std::vector<std::string> m_ordered;
    std::vector<std::pair<std::string, bool>> m_gone;
    unsigned m_added = 0;
    TimePoint m_lastCoordinated;
    std::string m_violation;
};

int environmentNumber(const char* name, int defaultValue)
{
    const auto* text = std::getenv(name);
    return text ? std::atoi(text) : defaultValue;
}

} // namespace

// To run other seeds, set COORDINATORS_FIRST and COORDINATORS_COUNT in the environment.
TEST_CASE("coordinators, random retirements, ends, returns and additions, somebody coordinates and the last one is never confirmed")
{
    constexpr unsigned changesPerSeed = 12;
    const auto first = environmentNumber("COORDINATORS_FIRST", 1);
    for (auto seed = first; seed < first + environmentNumber("COORDINATORS_COUNT", 30); ++seed) {
        INFO("seed " << seed);
        RandomChanges changes(static_cast<std::uint64_t>(seed));
        const auto violation = changes.run(changesPerSeed);
        INFO(violation);
        CHECK(violation.empty());
    }
}
