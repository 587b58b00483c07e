#include "ForwardCall.h"

#include "Problem.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace cicadalb {

namespace {

    /// A response with a known length up to this size is buffered completely before it is relayed.
    constexpr std::size_t maximumBufferedBytes = std::size_t { 256 } << 10U;
    constexpr unsigned statusServiceUnavailable = 503;
    constexpr unsigned firstServerErrorStatus = 500;

    /// Header fields that are not forwarded: they belong to one connection, or this system sets or consumes them.
    constexpr auto droppedRequestFields = std::to_array<std::string_view>({ "Connection", "Keep-Alive", "Proxy-Authorization", "TE", "Trailer",
        "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect", "Authorization", "X-Request-Id", "Cicadalb-Caller" });
    constexpr auto droppedResponseFields = std::to_array<std::string_view>({ "Connection", "Keep-Alive", "Proxy-Authenticate", "Trailer",
        "Transfer-Encoding", "Upgrade", "Content-Length", "X-Request-Id", "Cicadalb-Run-State", "Cicadalb-Weight-Versions" });

    template <std::size_t size>
    bool contains(const std::array<std::string_view, size>& names, std::string_view name)
    {
        return std::any_of(names.begin(), names.end(), [name](auto candidate) { return boost::beast::iequals(candidate, name); });
    }

    HttpRequest forwardedRequest(const RequestContext& context)
    {
        HttpRequest request;
        request.method = context.request.method;
        request.target = context.request.path;
        if (!context.request.query.empty())
            request.target += "?" + context.request.query;
        for (const auto& field : context.request.fields) {
            if (!contains(droppedRequestFields, field.first))
                request.fields.push_back(field);
        }
        request.fields.emplace_back(requestIdField, context.id.value());
        request.exchangeId.value = context.id.value();
        request.fields.emplace_back("Cicadalb-Caller", context.caller.value());
        request.body = context.request.body;
        return request;
    }

    /// Relays a target's response to the caller: at once if its length is known and up to maximumBufferedBytes, otherwise as a stream.
    class ResponseRelay {
    public:
        explicit ResponseRelay(const RequestContext& context)
            : m_context(context)
        {
        }

        HttpStreamHandler handler()
        {
            HttpStreamHandler handler;
            handler.onHead = [this](const HttpResponse& head) -> Task<bool> { co_return receiveHead(head); };
            handler.onPart = [this](std::string_view part) { return receivePart(part); };
            return handler;
        }

        /// Sends what is not yet relayed, after the complete response was received. @return false if the caller has disconnected
        Task<bool> finish()
        {
            if (m_isStreaming)
                return m_context.responder.endStream({});
            m_head.body = std::move(m_body);
            m_head.memory = m_memory;
            return m_context.responder.send(m_head);
        }

        bool isReportedNotRun() const { return m_isReportedNotRun; }
        unsigned status() const { return m_head.status; }
        HttpResponse takeResponse() { return std::move(m_head); }

    private:
        bool receiveHead(const HttpResponse& head)
        {
            m_isReportedNotRun = head.status == statusServiceUnavailable && boost::beast::iequals(head.field(notRunField), "true");
            m_isChunked = head.field("Content-Length").empty() && !head.field("Transfer-Encoding").empty();
            m_head.status = head.status;
            for (const auto& field : head.fields) {
                if (!contains(droppedResponseFields, field.first))
                    m_head.fields.push_back(field);
            }
            m_head.fields.emplace_back(requestIdField, m_context.id.value());
            m_head.fields.emplace_back(runStateField, name(RunState::Answered));
            return true;
        }

        Task<bool> receivePart(std::string_view part)
        {
            if (m_isReportedNotRun)
                co_return true;
            // Without memory for it, the response is streamed instead.
            const auto size = m_body.size() + part.size();
            if (!m_isStreaming && !m_isChunked && size <= maximumBufferedBytes && m_memory->resize(copiesOfBody * size)) {
                m_body.append(part);
                co_return true;
            }
            if (!m_isStreaming) {
                const bool hasBegun = co_await beginStream();
                if (!hasBegun)
                    co_return false;
            }
            co_return co_await m_context.responder.writeChunk(part);
        }

        Task<bool> beginStream()
        {
            m_isStreaming = true;
            const bool hasBegun = co_await m_context.responder.beginStream(m_head);
            if (!hasBegun || m_body.empty())
                co_return hasBegun;
            const std::string buffered = std::exchange(m_body, {});
            co_return co_await m_context.responder.writeChunk(buffered);
        }

        const RequestContext& m_context;
        HttpResponse m_head;
        std::string m_body;
        /// The response is kept for the caller's idempotency key while it is sent.
        static constexpr std::size_t copiesOfBody = 2;
        std::shared_ptr<MessageMemory::Share> m_memory = std::make_shared<MessageMemory::Share>(MessageMemory::ofProcess());
        bool m_isReportedNotRun = false;
        bool m_isChunked = false;
        bool m_isStreaming = false;
    };

} // namespace

CompletionKind completionKindFor(ErrorCode code) noexcept
{
    if (code == ErrorCode::NotSent)
        return CompletionKind::NotRun;
    return code == ErrorCode::Cancelled ? CompletionKind::Abandoned : CompletionKind::Lost;
}

Task<AttemptResult> ForwardCall::attempt(const RequestContext& context, const Target& target, TimePoint deadline)
{
    const auto client = m_clients.client(context.request.worker, Endpoint { target.address, target.port });
    ResponseRelay relay(context);
    AttemptResult result;
    auto response = co_await client->stream(forwardedRequest(context), deadline, relay.handler());
    if (!response) {
        result.kind = completionKindFor(response.error().code);
        result.error = response.error();
        co_return result;
    }
    if (relay.isReportedNotRun()) {
        result.kind = CompletionKind::NotRun;
        result.error = Error { ErrorCode::NoTargetAvailable, "the target refused the request without running it", target.id.value() };
        co_return result;
    }
    const bool isDelivered = co_await relay.finish();
    result.kind = relay.status() >= firstServerErrorStatus ? CompletionKind::ServerError : CompletionKind::Succeeded;
    if (!isDelivered)
        result.kind = CompletionKind::Abandoned;
    result.response = relay.takeResponse();
    co_return result;
}

} // namespace cicadalb
