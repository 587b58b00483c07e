#include "FakeSiteProtocol.h"
#include "Pause.h"
#include "SampleRunner.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/submissions/SubmissionRecords.h"
#include "cicadalb/transport/HttpListener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_future.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view rewardPath = "/judge/";

/// Messages for a target that generates texts and judges them.
class JudgingProtocol final : public FakeSiteProtocol {
public:
    HttpRequest sampleRequest(const Submission&, const SampleItem& item, const SampleAttempt&) const override { return makeRequest("/drafts/", item.id.value()); }
    HttpRequest rewardRequest(const RewardCall& reward, const AttemptContext&) const override { return makeRequest(reward.path, reward.id.value()); }

private:
    static HttpRequest makeRequest(std::string target, const std::string& id)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = std::move(target);
        request.fields.emplace_back("Id", id);
        return request;
    }
};

/// A coordinator with a submission of eight items. Its only target has one slot, generates texts at once and takes 200 ms for a reward call, so that
/// the calls wait for each other.
struct RewardedSubmissionFixture {
    static constexpr unsigned itemCount = 8;
    WorkerPool workers { 1 };
    boost::asio::io_context& context = workers.context(0);
    std::atomic<unsigned> rewardCalls = 0;
    HttpListener target { workers, {}, [this](auto& request, auto& responder) { return serve(request, responder); } };
    SteadyClock clock;
    ManualClock storeClock;
    FakeKeyValueService store { context.get_executor(), storeClock };
    JudgingProtocol protocol;
    SiteDirectory directory { context.get_executor(), store, protocol, clock, {} };
    TargetClients clients { workers };
    RequestPermits permits { context.get_executor(), {}, nullptr, protocol, clock };
    std::shared_ptr<CrashGuard> crashGuard = std::make_shared<CrashGuard>(context.get_executor(), store, HostId("host"));
    std::shared_ptr<SampleRunner> runner = std::make_shared<SampleRunner>(context.get_executor(), store, protocol, directory, clients, permits, *crashGuard, clock, SampleRunnerSettings {});
    const SubmissionId submission { "7c41e0" };

    RewardedSubmissionFixture() { REQUIRE(target.start()); }

    ~RewardedSubmissionFixture()
    {
        onWorker([this] {
            runner->stop();
            directory.stop();
            store.advance(60s);
        });
        workers.stop();
    }

    Task<void> serve(ServerRequest& request, ServerResponder& responder)
    {
        HttpResponse response;
        response.status = 200;
        response.fields.emplace_back("Id", std::string(request.field("Id")));
        if (request.path == rewardPath) {
            ++rewardCalls;
            co_await pause(co_await boost::asio::this_coro::executor, 200ms);
        } else {
            response.body = "id: 1\ndata: text\n\n";
        }
        co_await responder.send(std::move(response));
    }

    void onWorker(std::function<void()> action)
    {
        const auto run = [](std::function<void()> body) -> Task<void> {
            body();
            co_return;
        };
        boost::asio::co_spawn(context, run(std::move(action)), boost::asio::use_future).get();
    }

    /// @param age of the submission; its items are given up at 63 s
    void submit(UnixTime age = UnixTime(0))
    {
        Submission submitted;
        submitted.id = submission;
        submitted.authority = "train.example";
        submitted.path = "/drafts/";
        submitted.model = ModelName("draft");
        submitted.submittedAt = std::chrono::duration_cast<UnixTime>(std::chrono::system_clock::now().time_since_epoch()) - age;
        for (unsigned i = 0; i < itemCount; ++i) {
            SampleItem item;
            item.id = ItemId("item-" + std::to_string(i));
            item.reward = RewardCall { RequestId("reward-" + std::to_string(i)), "train.example", std::string(rewardPath), {} };
            submitted.items.push_back(std::move(item));
        }
        onWorker([&] {
            store.put("site/configuration", "4 drafts draft train.example/drafts/ idempotent:train.example/judge/");
            store.put("targets/engine", "drafts 127.0.0.1:" + std::to_string(target.port()) + " ready draft 1 100");
            store.put(itemCountKey(submission), encodeItemCount(itemCount));
            store.put(submissionKey(submission), encodeSubmission(submitted));
            directory.start();
            runner->start();
        });
    }

    /// Ticks the coordinator for @p time, or until @p condition holds. @return whether it holds
    bool tickUntil(std::chrono::milliseconds time, const std::function<bool()>& condition)
    {
        bool isMet = false;
        for (const auto limit = clock.now() + time; !isMet && clock.now() < limit; std::this_thread::sleep_for(10ms)) {
            onWorker([&] {
                runner->updateEngines();
                runner->tick();
                isMet = condition();
            });
        }
        return isMet;
    }

    /// Whether all texts are complete and calls for their rewards wait.
    bool areRewardsWaiting()
    {
        return tickUntil(10s, [this] { return rewardCalls > 0 && runner->scheduler().waitingCount() == 0 && runner->scheduler().runningCount() == 0; });
    }

    /// Number of reward calls that reach the target within the time that all of them would take.
    unsigned furtherRewardCalls()
    {
        const auto before = rewardCalls.load();
        (void)tickUntil(itemCount * 200ms + 500ms, [] { return false; });
        return rewardCalls - before;
    }
};

} // namespace

// Review case 5: reward calls that waited for a target were sent after the end of their submission was acknowledged.
TEST_CASE_METHOD(RewardedSubmissionFixture, "sample runner, submission ended while its reward calls wait for a target, sends none of them")
{
    submit();
    REQUIRE(areRewardsWaiting());
    onWorker([this] { store.put(endKey(submission), ""); });
    REQUIRE(tickUntil(5s, [this] { return runner->openSubmissions() == 0; }));
    CHECK(furtherRewardCalls() == 0);
    CHECK(rewardCalls < itemCount);
}

TEST_CASE_METHOD(RewardedSubmissionFixture, "sample runner, stopped while reward calls wait for a target, sends none of them")
{
    submit();
    REQUIRE(areRewardsWaiting());
    onWorker([this] { runner->stop(); });
    CHECK(furtherRewardCalls() == 0);
    CHECK(rewardCalls < itemCount);
}

TEST_CASE_METHOD(RewardedSubmissionFixture, "sample runner, items given up while their reward calls wait for a target, sends none of them")
{
    submit(62s);
    REQUIRE(areRewardsWaiting());
    std::this_thread::sleep_for(1s);
    (void)tickUntil(100ms, [] { return false; });
    CHECK(furtherRewardCalls() == 0);
}

TEST_CASE_METHOD(RewardedSubmissionFixture, "sample runner, submission left open, sends all reward calls")
{
    submit();
    REQUIRE(tickUntil(20s, [this] { return rewardCalls == itemCount; }));
    CHECK(tickUntil(5s, [this] { return runner->openSubmissions() == 0; }));
}
