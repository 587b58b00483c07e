#include "ForwardCall.h"

#include "Problem.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace cicadalb {

namespace {

    /// An answer of a stated length up to this size is read whole before any of it is passed on.
    constexpr std::size_t maximumBufferedBytes = std::size_t { 256 } << 10U;
    constexpr unsigned statusServiceUnavailable = 503;
    constexpr unsigned firstServerErrorStatus = 500;

    /// Fields that belong to one connection, or to this system, and are not passed on.
    constexpr auto requestFieldsDropped = std::to_array<std::string_view>({ "Connection", "Keep-Alive", "Proxy-Authorization", "TE", "Trailer",
        "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect", "Authorization", "X-Request-Id", "Cicadalb-Caller" });
    constexpr auto responseFieldsDropped = std::to_array<std::string_view>({ "Connection", "Keep-Alive", "Proxy-Authenticate", "Trailer",
        "Transfer-Encoding", "Upgrade", "Content-Length", "X-Request-Id", "Cicadalb-Run-State", "Cicadalb-Weight-Versions" });

    template <std::size_t size>
    bool contains(const std::array<std::string_view, size>& names, std::string_view name)
    {
        return std::any_of(names.begin(), names.end(), [name](auto candidate) { return boost::beast::iequals(candidate, name); });
    }

    HttpRequest requestFor(const RequestContext& context)
    {
        HttpRequest request;
        request.method = context.request.method;
        request.target = context.request.path;
        if (!context.request.query.empty())
            request.target += "?" + context.request.query;
        for (const auto& field : context.request.fields) {
            if (!contains(requestFieldsDropped, field.first))
                request.fields.push_back(field);
        }
        request.fields.emplace_back(requestIdField, context.id.value());
        request.fields.emplace_back("Cicadalb-Caller", context.caller.value());
        request.body = context.request.body;
        return request;
    }

    /// Receives a target's answer and passes it on: whole if its length is stated and small, else as a stream.
    class AnswerRelay {
    public:
        explicit AnswerRelay(const RequestContext& context)
            : m_context(context)
        {
        }

        HttpStreamHandler handler()
        {
            HttpStreamHandler handler;
            handler.onHead = [this](const HttpResponse& head) -> Task<bool> { co_return takeHead(head); };
            handler.onPart = [this](std::string_view part) { return takePart(part); };
            return handler;
        }

        /// Passes on what remains after the whole answer was received. @return false if the caller is gone
        Task<bool> finish()
        {
            if (m_isStreaming)
                return m_context.responder.endStream({});
            m_head.body = m_body;
            return m_context.responder.send(m_head);
        }

        bool saysNotRun() const { return m_saysNotRun; }
        unsigned status() const { return m_head.status; }
        HttpResponse takeAnswer() { return std::move(m_head); }

    private:
        bool takeHead(const HttpResponse& head)
        {
            m_saysNotRun = head.status == statusServiceUnavailable && boost::beast::iequals(head.field(notRunField), "true");
            m_isChunked = head.field("Content-Length").empty() && !head.field("Transfer-Encoding").empty();
            m_head.status = head.status;
            for (const auto& field : head.fields) {
                if (!contains(responseFieldsDropped, field.first))
                    m_head.fields.push_back(field);
            }
            m_head.fields.emplace_back(requestIdField, m_context.id.value());
            m_head.fields.emplace_back(runStateField, name(RunState::Answered));
            return true;
        }

        Task<bool> takePart(std::string_view part)
        {
            if (m_saysNotRun)
                co_return true;
            if (!m_isStreaming && !m_isChunked && m_body.size() + part.size() <= maximumBufferedBytes) {
                m_body.append(part);
                co_return true;
            }
            if (!m_isStreaming) {
                const bool hasBegun = co_await beginStream();
                if (!hasBegun)
                    co_return false;
            }
            co_return co_await m_context.responder.writePart(part);
        }

        Task<bool> beginStream()
        {
            m_isStreaming = true;
            const bool hasBegun = co_await m_context.responder.beginStream(m_head);
            if (!hasBegun || m_body.empty())
                co_return hasBegun;
            const std::string buffered = std::exchange(m_body, {});
            co_return co_await m_context.responder.writePart(buffered);
        }

        const RequestContext& m_context;
        HttpResponse m_head;
        std::string m_body;
        bool m_saysNotRun = false;
        bool m_isChunked = false;
        bool m_isStreaming = false;
    };

} // namespace

CompletionKind completionOf(ErrorCode code) noexcept
{
    if (code == ErrorCode::NotSent)
        return CompletionKind::NotRun;
    return code == ErrorCode::Cancelled ? CompletionKind::Abandoned : CompletionKind::Lost;
}

Task<AttemptResult> ForwardCall::attempt(const RequestContext& context, const Target& target, TimePoint deadline)
{
    const auto client = m_clients.client(context.request.worker, Endpoint { target.address, target.port });
    AnswerRelay relay(context);
    AttemptResult result;
    auto exchange = co_await client->stream(requestFor(context), deadline, relay.handler());
    if (!exchange) {
        result.kind = completionOf(exchange.error().code);
        result.error = exchange.error();
        co_return result;
    }
    if (relay.saysNotRun()) {
        result.kind = CompletionKind::NotRun;
        result.error = Error { ErrorCode::NoTargetAvailable, "the target refused the request without running it", target.id.value() };
        co_return result;
    }
    const bool isDelivered = co_await relay.finish();
    result.kind = relay.status() >= firstServerErrorStatus ? CompletionKind::ServerError : CompletionKind::Succeeded;
    if (!isDelivered)
        result.kind = CompletionKind::Abandoned;
    result.answer = relay.takeAnswer();
    co_return result;
}

} // namespace cicadalb
