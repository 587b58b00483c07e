#include "HostCall.h"

namespace cicadalb {

Task<Result<HostAnswer>> callHost(std::shared_ptr<HttpClient> client, HostCall call)
{
    constexpr unsigned statusOk = 200;
    HttpRequest request;
    request.method = "POST";
    request.target = call.path;
    request.fields.emplace_back("Content-Type", "application/cbor");
    request.body = std::move(call.body);
    request.mayRepeat = call.mayRepeat;
    auto response = co_await client->send(std::move(request), std::chrono::steady_clock::now() + call.timeout, std::move(call.cancellation));
    if (!response)
        co_return response.as_failure();
    if (response.value().status != statusOk)
        co_return failure(ErrorCode::Unavailable, "answered with status " + std::to_string(response.value().status), std::string(call.path));
    co_return HostAnswer { std::move(response.value().body), std::move(response.value().memory) };
}

ChangingHostClient::ChangingHostClient(boost::asio::any_io_executor executor, EndpointSource source)
    : m_executor(std::move(executor))
    , m_source(std::move(source))
{
}

std::shared_ptr<HttpClient> ChangingHostClient::client()
{
    auto endpoint = m_source ? m_source() : std::nullopt;
    if (endpoint != m_endpoint) {
        m_endpoint = std::move(endpoint);
        m_client = m_endpoint ? std::make_shared<HttpClient>(m_executor, *m_endpoint) : nullptr;
    }
    return m_client;
}

std::vector<std::shared_ptr<HttpClient>> makeHostClients(const boost::asio::any_io_executor& executor, const std::vector<Endpoint>& endpoints, const HttpClientOptions& options)
{
    std::vector<std::shared_ptr<HttpClient>> clients;
    clients.reserve(endpoints.size());
    for (const auto& endpoint : endpoints)
        clients.push_back(std::make_shared<HttpClient>(executor, endpoint, options));
    return clients;
}

} // namespace cicadalb
