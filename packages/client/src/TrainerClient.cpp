#include "cicadalb/client/TrainerClient.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>

namespace cicadalb {

namespace {

    constexpr unsigned firstErrorStatus = 400;
    constexpr unsigned firstServerErrorStatus = 500;
    constexpr unsigned tooManyRequestsStatus = 429;

    std::string stepPath(const StepKey& key)
    {
        return "/v1/trainers/" + key.trainer.value() + "/steps/" + std::to_string(key.step);
    }

    /// The error in a problem document; AnswerInvalid if the body is none or names no code.
    Error errorFrom(const HttpResponse& response)
    {
        const auto json = nlohmann::json::parse(response.body, nullptr, false);
        Error error { ErrorCode::AnswerInvalid, "the host answered with HTTP status " + std::to_string(response.status), "" };
        if (!json.is_object())
            return error;
        if (json.contains("code") && json["code"].is_number_unsigned())
            error.code = static_cast<ErrorCode>(json["code"].get<std::uint16_t>());
        if (json.contains("detail") && json["detail"].is_string())
            error.message = json["detail"].get<std::string>();
        return error;
    }

    /// True if another host, or the same one later, may accept the request.
    bool isRetryable(unsigned status)
    {
        return status >= firstServerErrorStatus || status == tooManyRequestsStatus;
    }

} // namespace

TrainerClient::TrainerClient(boost::asio::any_io_executor executor, TrainerClientOptions options, const Clock& clock, std::uint64_t seed)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_clock(clock)
    , m_random(seed)
{
    for (const auto& host : m_options.hosts)
        m_hosts.push_back(std::make_unique<HttpClient>(m_executor, host));
    if (!m_hosts.empty())
        m_currentHost = randomIndex(m_random, m_hosts.size());
}

Task<void> TrainerClient::waitBeforeRetry(TimePoint deadline)
{
    boost::asio::steady_timer timer(m_executor);
    boost::system::error_code ignored;
    timer.expires_after(std::min<Duration>(m_options.retryDelay, std::max(deadline - m_clock.now(), Duration::zero())));
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

Task<Result<HttpResponse>> TrainerClient::sendToCurrentHost(HttpRequest request, std::chrono::milliseconds hostWait, TimePoint deadline)
{
    auto& host = *m_hosts[m_currentHost];
    const auto exchangeDeadline = std::min(deadline, m_clock.now() + hostWait + m_options.exchangeTimeout);
    auto response = co_await host.send(std::move(request), exchangeDeadline);
    if (!response || isRetryable(response.value().status))
        m_currentHost = (m_currentHost + 1) % m_hosts.size();
    co_return response;
}

Task<Result<HttpResponse>> TrainerClient::sendWithFailover(HttpRequest request, std::chrono::milliseconds hostWait, TimePoint deadline)
{
    request.fields.emplace_back("Authorization", "Bearer " + m_options.bearerToken);
    request.fields.emplace_back("Content-Type", "application/json");
    for (std::size_t attempts = 1; m_clock.now() < deadline && !m_hosts.empty(); ++attempts) {
        auto response = co_await sendToCurrentHost(request, hostWait, deadline);
        if (response && response.value().status < firstErrorStatus)
            co_return response;
        if (response && !isRetryable(response.value().status)) {
            const auto error = errorFrom(response.value());
            co_return failure(error.code, error.message, error.where);
        }
        if (attempts % m_hosts.size() == 0)
            co_await waitBeforeRetry(deadline);
    }
    co_return failure(ErrorCode::DeadlineExceeded, "no host gave a usable answer before the deadline", request.target);
}

Task<Result<SubmitReceipt>> TrainerClient::submit(StepSpec spec, TimePoint deadline)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = stepPath(spec.key);
    request.body = toJson(spec);
    auto response = co_await sendWithFailover(std::move(request), std::chrono::milliseconds(0), deadline);
    if (!response)
        co_return response.as_failure();
    co_return submitReceiptFromJson(response.value().body);
}

Task<Result<std::vector<Sample>>> TrainerClient::resubmit(StepSpec spec, TimePoint deadline)
{
    auto receipt = co_await submit(std::move(spec), deadline);
    if (!receipt)
        co_return receipt.as_failure();
    co_return std::vector<Sample> {};
}

Task<Result<std::vector<Sample>>> TrainerClient::pull(const StepSpec& spec, StepReceiver& receiver, TimePoint deadline)
{
    PullRequest pullRequest { receiver.cursor(), m_options.samplesPerPull, m_options.maximumPullWait };
    HttpRequest request;
    request.method = "POST";
    request.target = stepPath(spec.key) + "/pull";
    request.body = toJson(pullRequest);
    auto response = co_await sendWithFailover(std::move(request), m_options.maximumPullWait, deadline);
    if (!response && response.error().code == ErrorCode::StepUnknown)
        co_return co_await resubmit(spec, deadline);
    if (!response)
        co_return response.as_failure();
    auto batch = batchFromJson(response.value().body);
    if (!batch)
        co_return batch.as_failure();
    co_return receiver.accept(std::move(batch.value()));
}

Task<Result<void>> TrainerClient::receiveStep(StepSpec spec, WeightVersion version, SampleHandler handler, TimePoint deadline)
{
    auto receipt = co_await submit(spec, deadline);
    if (!receipt)
        co_return receipt.as_failure();
    StepReceiver receiver(spec, version, m_random());
    while (!receiver.isComplete()) {
        auto samples = co_await pull(spec, receiver, deadline);
        if (!samples)
            co_return samples.as_failure();
        receiver.setWeightVersion(handler(std::move(samples.value())));
    }
    // Shows the coordinator that every sample was received, so that it frees the stored samples.
    auto last = co_await pull(spec, receiver, deadline);
    static_cast<void>(last);
    co_return success();
}

Task<Result<void>> TrainerClient::announceWeights(WeightAnnouncement announcement, TimePoint deadline)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/weights";
    request.body = toJson(announcement);
    auto response = co_await sendWithFailover(std::move(request), std::chrono::milliseconds(0), deadline);
    if (!response)
        co_return response.as_failure();
    co_return success();
}

} // namespace cicadalb
