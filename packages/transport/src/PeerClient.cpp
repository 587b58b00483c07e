#include "PeerClient.h"

#include "cicadalb/base/Cbor.h"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    Task<PeerAnswer> sendRequest(PeerLinks& links, HostId host, PeerRequest request, std::uint32_t timeout)
    {
        const auto initiate = [&links, &host, &request, timeout](auto handler) {
            const auto executor = asio::get_associated_executor(handler);
            const auto sharedHandler = std::make_shared<decltype(handler)>(std::move(handler));
            links.request(host.value(), std::move(request), timeout, [executor, sharedHandler](PeerAnswer answer) {
                asio::post(executor, [sharedHandler, answer = std::move(answer)]() mutable { (*sharedHandler)(std::move(answer)); });
            });
        };
        auto answer = co_await asio::async_initiate<const asio::use_awaitable_t<>, void(PeerAnswer)>(initiate, asio::use_awaitable);
        co_return answer;
    }

    Result<nlohmann::json> toResult(const PeerAnswer& answer, const HostId& host)
    {
        const auto location = "host " + host.value();
        if (answer.outcome == PeerOutcome::NotSent)
            return failure(ErrorCode::PeerUnreachable, answer.message, location);
        if (answer.outcome == PeerOutcome::Unknown)
            return failure(ErrorCode::OutcomeUnknown, answer.message, location);
        if (answer.error != 0)
            return failure(static_cast<ErrorCode>(answer.error), answer.message, location);
        auto document = jsonFromCbor(answer.body);
        if (!document)
            return failure(ErrorCode::MessageInvalid, "the answer is not valid CBOR", location);
        return std::move(*document);
    }

} // namespace

Task<Result<nlohmann::json>> PeerClient::request(HostId host, PeerRequestKind kind, nlohmann::json body, std::chrono::milliseconds timeout)
{
    PeerRequest request { kind, nlohmann::json::to_cbor(body) };
    const auto answer = co_await sendRequest(m_links, host, std::move(request), static_cast<std::uint32_t>(timeout.count()));
    co_return toResult(answer, host);
}

PeerAnswer toPeerAnswer(const Result<nlohmann::json>& result)
{
    PeerAnswer answer;
    answer.outcome = PeerOutcome::Answered;
    if (result) {
        answer.body = nlohmann::json::to_cbor(result.value());
        return answer;
    }
    answer.error = static_cast<std::uint16_t>(result.error().code);
    answer.message = result.error().message;
    return answer;
}

} // namespace cicadalb
