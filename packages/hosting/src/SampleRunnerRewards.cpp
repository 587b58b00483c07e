#include "SampleRunner.h"

#include "cicadalb/base/Hash.h"

#include <algorithm>

/// @file
/// Reward calls of SampleRunner.

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    constexpr unsigned statusServerError = 500;
    /// Timeout of a reward call whose route has none.
    constexpr milliseconds defaultRewardTimeout { 2000 };
    /// Delay before a reward call that found no route, no target or no answer is repeated.
    constexpr milliseconds rewardRetryDelay { 200 };

    /// Maps a request's id to a number in [0, 1), so that all attempts of the request go to the same pool of a split route.
    double splitFractionOf(const RequestId& id)
    {
        constexpr std::uint64_t buckets = 1000;
        return static_cast<double>(placementHash(id.value()) % buckets) / static_cast<double>(buckets);
    }

} // namespace

Task<void> SampleRunner::runRewardCall(OpenSubmissionPointer entry, ItemKey key)
{
    const auto self = shared_from_this();
    const auto& item = entry->submission.items[key.index];
    if (!item.reward) {
        settle(entry, key, ResultState::Succeeded, {}, "complete");
        co_return;
    }
    const auto& reward = *item.reward;
    const auto cancellation = std::make_shared<HttpCancellation>();
    m_rewardCalls[key] = cancellation;
    const auto isWanted = [&] { return !cancellation->isCancelled() && !m_isStopped && !entry->isClosed && m_scheduler.isOpen(key); };
    unsigned failures = 0;
    while (isWanted()) {
        const auto view = m_directory.view();
        const auto* route = view->routes.find(reward.authority, reward.path);
        // Like a run, a call does not begin while this process may not know yet that the submission has ended.
        if (!route || sendPermission() != PlacementPermission::Granted) {
            co_await wait(rewardRetryDelay);
            continue;
        }
        SendRecord sent;
        const auto outcome = co_await callReward(reward, *route, cancellation, sent);
        // Without a permit the call is repeated every few hundred milliseconds.
        if (outcome.attempts > 0)
            logRewardCall(reward, item, key, outcome, sent);
        if (!isWanted())
            break;
        if (outcome.state == ForwardState::Answered && outcome.answer.status >= 200 && outcome.answer.status < 300) {
            settle(entry, key, ResultState::Succeeded, m_protocol.signature(outcome.answer.fields), "judged");
            break;
        }
        const bool hasFailed = outcome.state == ForwardState::Answered && outcome.answer.status == statusServerError;
        if (hasFailed && ++failures >= std::max(1U, route->maximumAttempts)) {
            settle(entry, key, ResultState::GivenUp, {}, "its reward call failed");
            break;
        }
        if (!hasFailed)
            co_await wait(std::max<Duration>(rewardRetryDelay, outcome.retryAfter));
    }
    // A submission that is opened again has calls of its own under the same keys.
    if (const auto own = m_rewardCalls.find(key); own != m_rewardCalls.end() && own->second == cancellation)
        m_rewardCalls.erase(own);
}

Task<ForwardOutcome> SampleRunner::callReward(const RewardCall& reward, const SiteRoute& route, std::shared_ptr<HttpCancellation> cancellation, SendRecord& sent)
{
    // One attempt per call, so that the caller counts each failure.
    SiteRoute singleAttemptRoute = route;
    singleAttemptRoute.maximumAttempts = 1;
    ForwardRequest request;
    request.id = reward.id;
    request.route = &singleAttemptRoute;
    request.pool = choosePool(route, splitFractionOf(reward.id));
    request.deadline = m_clock.now() + (route.timeout.count() > 0 ? route.timeout : defaultRewardTimeout);
    request.buildMessage = [&](const AttemptContext& context) { return m_protocol.rewardRequest(reward, context); };
    request.mayBeSent = sendCondition(m_clock.now(), sent);
    request.withheldCause = "this host cannot know whether the submission has ended";
    request.cancellation = std::move(cancellation);
    co_return co_await m_forwarder.forward(std::move(request));
}

void SampleRunner::stopRewardCalls(const SubmissionId& id)
{
    for (auto entry = m_rewardCalls.lower_bound({ id, 0 }); entry != m_rewardCalls.end() && entry->first.submission == id; ++entry)
        entry->second->cancel();
}

} // namespace cicadalb
