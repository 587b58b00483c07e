#include "FakeSiteProtocol.h"
#include "HolderLink.h"

#include "cicadalb/services/FakeKeyValueService.h"

#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t firstOwner = 7;
constexpr std::uint64_t nextOwner = 8;

class FakeBackend final : public RunBackend {
public:
    void begin(RunAssignment assignment) override { begun.push_back(assignment.id); }
    void requestReward(RunAssignment assignment) override { rewards.insert(assignment.id); }
    void cancel(const RunId& id) override { cancelled.insert(id); }
    void stop(const RunId& id) override { stopped.insert(id); }
    void stopAll() override { }

    std::vector<RunId> begun;
    std::set<RunId> rewards;
    std::set<RunId> cancelled;
    std::set<RunId> stopped;
};

RunAssignment assignmentFor(const RunId& id)
{
    RunAssignment assignment;
    assignment.id = id;
    assignment.submission.id = SubmissionId("s");
    assignment.submission.items.emplace_back().reward.emplace();
    assignment.engine = TargetId("engine");
    assignment.remainingTime = 60s;
    return assignment;
}

/// A host with two candidates, whose replies the test makes. Calls take the time that they wait.
struct HolderLinkFixture {
    struct Candidate {
        std::uint64_t owner = 0;
        std::string ownerAddress;
        bool isDown = false;
        std::vector<RunAssignment> starts;
        std::vector<RunId> stops;
        Duration delay {};
        std::vector<RunCall> calls;
    };

    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    FakeSiteProtocol protocol;
    SiteDirectory directory { context.get_executor(), store, protocol, clock, {} };
    FakeBackend backend;
    std::map<std::string, Candidate> candidates { { "a", {} }, { "b", {} } };
    std::uint64_t replies = 0;
    std::shared_ptr<HolderLink> link;
    RunId id { firstOwner, 1 };

    HolderLinkFixture()
    {
        HolderLinkSettings settings;
        settings.host = HostId("host");
        settings.process = 1;
        settings.capacity = 4;
        settings.candidates = { { "a", 1 }, { "b", 1 } };
        link = std::make_shared<HolderLink>(context.get_executor(), settings, [this](const Endpoint& candidate, RunCall call) { return exchange(candidate.address, std::move(call)); }, directory, clock);
        link->start(backend);
        candidates["a"].owner = firstOwner;
    }

    ~HolderLinkFixture()
    {
        link->stop();
        pass(5s);
    }

    Task<Result<RunReply>> exchange(std::string address, RunCall call)
    {
        auto& candidate = candidates[address];
        const auto wait = call.maximumWait + candidate.delay;
        candidate.calls.push_back(call);
        RunReply reply;
        if (!candidate.isDown) {
            reply.owner = candidate.owner;
            reply.ownerAddress = candidate.ownerAddress;
        }
        if (reply.owner != 0 && call.owner == reply.owner) {
            reply.number = ++replies;
            reply.starts = std::move(candidate.starts);
            candidate.starts.clear();
            reply.stops = candidate.stops;
        }
        ClockTimer timer(context.get_executor(), clock);
        if (!candidate.isDown && reply.starts.empty() && wait.count() > 0)
            co_await timer.waitFor(wait);
        else if (candidate.delay.count() > 0)
            co_await timer.waitFor(candidate.delay);
        if (candidates[address].isDown)
            co_return failure(ErrorCode::NotSent, "down");
        co_return reply;
    }

    void pass(Duration time)
    {
        const auto until = clock.now() + time;
        while (clock.now() < until) {
            context.restart();
            context.poll();
            clock.advance(5ms);
        }
        context.restart();
        context.poll();
    }

    void startRun()
    {
        candidates["a"].starts = { assignmentFor(id) };
        pass(1s);
        REQUIRE(backend.begun == std::vector { id });
    }

    void receive(std::uint64_t event) { link->onRunEvent(assignmentFor(id), { event, "e" + std::to_string(event), {} }, 1); }

    void loseFirst()
    {
        candidates["a"].isDown = true;
        candidates["a"].owner = 0;
        pass(1s);
        REQUIRE_FALSE(link->hasOwner());
    }
};

} // namespace

TEST_CASE_METHOD(HolderLinkFixture, "holder link, owner, is found and starts a run once")
{
    startRun();
    CHECK(link->hasOwner());
    candidates["a"].starts = { assignmentFor(id) };
    pass(1s);
    CHECK(backend.begun.size() == 1);
}

TEST_CASE_METHOD(HolderLinkFixture, "holder link, owner that is lost, leaves its runs going and they are presented to the next one")
{
    startRun();
    receive(1);
    loseFirst();
    receive(2);
    CHECK(backend.stopped.empty());
    candidates["b"].owner = nextOwner;
    pass(500ms);
    const auto& calls = candidates["b"].calls;
    const auto presenting = std::find_if(calls.begin(), calls.end(), [](const auto& call) { return !call.reports.empty(); });
    REQUIRE(presenting != calls.end());
    REQUIRE(presenting->reports.front().origin);
    CHECK(presenting->owner == nextOwner);
    CHECK(presenting->reports.front().origin->text.text == "e1\ne2");
    CHECK(backend.begun.size() == 1);
    CHECK(backend.stopped.empty());
}

TEST_CASE_METHOD(HolderLinkFixture, "holder link, runs without an owner for 10 s, are ended")
{
    startRun();
    loseFirst();
    pass(8s);
    CHECK(backend.stopped.empty());
    pass(4s);
    CHECK(backend.stopped == std::set { id });
    CHECK(link->heldRuns() == 0);
}

TEST_CASE_METHOD(HolderLinkFixture, "holder link, text that is whole without an owner, is judged for 2 s only and kept")
{
    startRun();
    receive(1);
    link->onRunEnded(assignmentFor(id), { RunOutcome::Complete, {} });
    CHECK(backend.rewards == std::set { id });
    CHECK(link->mayRequestReward(assignmentFor(id)));
    loseFirst();
    pass(2s);
    CHECK_FALSE(link->mayRequestReward(assignmentFor(id)));
    pass(12s);
    CHECK(link->heldRuns() == 1);
}

TEST_CASE_METHOD(HolderLinkFixture, "holder link, reply that is 2 s old, starts no run")
{
    pass(500ms);
    REQUIRE(link->hasOwner());
    candidates["a"].delay = 2100ms;
    candidates["a"].starts = { assignmentFor(id) };
    pass(6s);
    CHECK(backend.begun.empty());
}

TEST_CASE_METHOD(HolderLinkFixture, "holder link, run that the owner no longer wants, is stopped")
{
    startRun();
    candidates["a"].stops = { id };
    pass(500ms);
    CHECK(backend.stopped == std::set { id });
    CHECK(link->heldRuns() == 0);
}

TEST_CASE_METHOD(HolderLinkFixture, "holder link, owner that another candidate names, is called at its address")
{
    candidates["a"].owner = 0;
    candidates["b"].ownerAddress = "c:1";
    candidates["c"].owner = firstOwner;
    pass(500ms);
    CHECK(link->hasOwner());
    CHECK_FALSE(candidates["c"].calls.empty());
}

TEST_CASE_METHOD(HolderLinkFixture, "holder link, candidates of an earlier build, are asked again once a second")
{
    candidates["a"].isDown = true;
    pass(6s);
    const auto before = candidates["a"].calls.size();
    pass(10s);
    CHECK(candidates["a"].calls.size() - before <= 11);
    candidates["a"].isDown = false;
    pass(1500ms);
    CHECK(link->hasOwner());
}

TEST_CASE_METHOD(HolderLinkFixture, "holder link, stopping host, cancels its runs and takes no more")
{
    startRun();
    link->handBack();
    CHECK(backend.cancelled == std::set { id });
    candidates["a"].starts = { assignmentFor({ firstOwner, 2 }) };
    pass(1s);
    CHECK(backend.begun.size() == 1);
    CHECK(candidates["a"].calls.back().capacity == 0);
}
