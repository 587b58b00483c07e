#include "cicadalb/transport/EngineHttpClient.h"

#include "EngineProtocol.h"
#include "ForwardCall.h"

#include "cicadalb/services/StreamProgress.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusConflict = 409;
    constexpr unsigned statusServiceUnavailable = 503;
    constexpr auto cancelTimeout = std::chrono::seconds(2);

    /// Asks an engine to stop a generation and ignores the response.
    Task<void> sendCancel(std::shared_ptr<HttpClient> client, RequestId id)
    {
        const auto deadline = std::chrono::steady_clock::now() + cancelTimeout;
        (void)co_await client->send(makeCancelRequest(id), deadline);
    }

    /// Cancels the HTTP request and sends a cancel request to the engine, both on the worker's event loop.
    class HttpGenerationHandle final : public GenerationHandle {
    public:
        HttpGenerationHandle(asio::any_io_executor executor, std::shared_ptr<HttpCancellation> cancellation, std::shared_ptr<HttpClient> client, RequestId id)
            : m_executor(std::move(executor))
            , m_cancellation(std::move(cancellation))
            , m_client(std::move(client))
            , m_id(std::move(id))
        {
        }

        void cancel() override
        {
            asio::dispatch(m_executor, [executor = m_executor, cancellation = m_cancellation, client = m_client, id = m_id] {
                cancellation->cancel();
                asio::co_spawn(executor, sendCancel(client, id), asio::detached);
            });
        }

    private:
        asio::any_io_executor m_executor;
        std::shared_ptr<HttpCancellation> m_cancellation;
        std::shared_ptr<HttpClient> m_client;
        RequestId m_id;
    };

    Error errorFromResponse(const HttpResponse& head, const TargetId& target)
    {
        if (head.status == statusServiceUnavailable && head.field(notRunField) == "true")
            return Error { ErrorCode::NotSent, "the engine refused the request without running it", target.value() };
        return Error { ErrorCode::OutcomeUnknown, "the engine answered with status " + std::to_string(head.status), target.value() };
    }

} // namespace

EngineHttpClient::EngineHttpClient(TargetClients& clients, std::size_t worker, EndpointResolver resolveEndpoint)
    : m_clients(clients)
    , m_worker(worker)
    , m_resolveEndpoint(std::move(resolveEndpoint))
{
}

Result<std::shared_ptr<HttpClient>> EngineHttpClient::clientFor(const TargetId& target)
{
    const auto endpoint = m_resolveEndpoint(target);
    if (!endpoint)
        return failure(ErrorCode::NotSent, "the engine is not in the configuration", target.value());
    return m_clients.client(m_worker, *endpoint);
}

Task<Result<Generation>> EngineHttpClient::generate(TargetId target, GenerationRequest request, TimePoint deadline,
    std::function<void(std::shared_ptr<GenerationHandle>)> onStart,
    std::function<void(const GenerationProgress&)> onProgress)
{
    const auto found = clientFor(target);
    if (!found)
        co_return found.as_failure();
    const auto& client = found.value();
    const auto executor = m_clients.context(m_worker).get_executor();
    const auto cancellation = std::make_shared<HttpCancellation>();
    if (onStart)
        onStart(std::make_shared<HttpGenerationHandle>(executor, cancellation, client, request.id));

    GenerationReader reader;
    MessageMemory::Share memory(MessageMemory::ofProcess());
    StreamProgress streamProgress(generationStallTimeout);
    unsigned status = 0;
    bool isWellFormed = true;
    HttpStreamHandler handler;
    handler.onHead = [&status](const HttpResponse& head) -> Task<bool> {
        status = head.status;
        co_return true;
    };
    handler.onPart = [&reader, &memory, &streamProgress, &status, &isWellFormed, &onProgress](std::string_view part) -> Task<bool> {
        const auto tokensBefore = reader.progress().tokens;
        // The body of an error is not a generation.
        if (status == statusOk)
            isWellFormed = reader.append(part) && memory.resize(reader.memoryBytes());
        if (status == statusOk && isWellFormed && onProgress)
            onProgress(reader.progress());
        isWellFormed = isWellFormed && streamProgress.onPart(part.size(), reader.progress().tokens > tokensBefore, std::chrono::steady_clock::now());
        co_return isWellFormed;
    };
    handler.stallTimeout = generationStallTimeout;
    auto response = co_await client->stream(makeGenerateRequest(request), deadline, std::move(handler), cancellation);
    if (!response && isWellFormed)
        co_return response.as_failure();
    if (response && response.value().status != statusOk) {
        auto error = errorFromResponse(response.value(), target);
        co_return failure(error.code, error.message, error.where);
    }
    if (!isWellFormed || !reader.isComplete())
        co_return failure(ErrorCode::OutcomeUnknown, "the engine's generation is malformed or incomplete", target.value());
    co_return reader.generation();
}

Task<Result<void>> EngineHttpClient::loadWeights(TargetId target, WeightOrder order, TimePoint deadline)
{
    const auto found = clientFor(target);
    if (!found)
        co_return found.as_failure();
    const auto& client = found.value();
    auto response = co_await client->send(makeWeightOrderRequest(order), deadline);
    if (!response)
        co_return response.as_failure();
    const auto status = response.value().status;
    if (status == statusConflict)
        co_return failure(ErrorCode::FenceRejected, "the engine rejected the order: it has seen a newer fencing number", target.value());
    if (status != statusOk)
        co_return failure(ErrorCode::OutcomeUnknown, "the engine answered with status " + std::to_string(status), target.value());
    co_return success();
}

Task<Result<EngineStatus>> EngineHttpClient::status(TargetId target, TimePoint deadline)
{
    const auto found = clientFor(target);
    if (!found)
        co_return found.as_failure();
    const auto& client = found.value();
    auto response = co_await client->send(makeLoadReportRequest(), deadline);
    if (!response)
        co_return response.as_failure();
    co_return engineStatusFromJson(response.value().body);
}

} // namespace cicadalb
