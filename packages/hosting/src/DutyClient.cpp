#include "DutyClient.h"

namespace cicadalb {

namespace {

    /// Only the status of an answer matters.
    constexpr std::size_t maximumAnswerBytes = std::size_t { 64 } << 10U;

    HttpClientOptions dutyClientOptions()
    {
        HttpClientOptions options;
        options.connectTimeout = DutyClient::callTimeout;
        options.maximumBodyBytes = maximumAnswerBytes;
        return options;
    }

} // namespace

DutyClient::DutyClient(boost::asio::any_io_executor executor, const SiteProtocol& protocol, Endpoint endpoint, const Clock& clock)
    : m_protocol(protocol)
    , m_clock(clock)
    , m_client(std::make_shared<HttpClient>(std::move(executor), std::move(endpoint), dutyClientOptions()))
{
}

Task<DutyOutcome> DutyClient::send(HttpRequest request)
{
    // The client may be gone when the answer arrives.
    const auto client = m_client;
    const auto& protocol = m_protocol;
    m_lastCallAt = m_clock.now();
    const auto answer = co_await client->send(std::move(request), m_clock.now() + callTimeout);
    if (answer)
        co_return protocol.dutyOutcome(answer.value());
    co_return answer.error().code == ErrorCode::NotSent ? DutyOutcome::NotExecuted : DutyOutcome::Unknown;
}

} // namespace cicadalb
