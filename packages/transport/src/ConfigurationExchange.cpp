#include "ConfigurationExchange.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    constexpr auto compareInterval = std::chrono::milliseconds(200);
    constexpr auto fetchTimeout = std::chrono::milliseconds(2000);
    constexpr const char* numberKey = "number";

} // namespace

ConfigurationExchange::ConfigurationExchange(ConfigurationWatcher& watcher, PeerClient& peerClient)
    : m_watcher(watcher)
    , m_peerClient(peerClient)
{
}

Task<void> ConfigurationExchange::run(UdpMembership& membership)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!m_isStopping) {
        const auto source = membership.view()->highestConfiguration;
        if (m_watcher.shouldFetch(source.number))
            co_await fetch(source.host);
        membership.setConfiguration(m_watcher.number());
        timer.expires_after(compareInterval);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

Task<void> ConfigurationExchange::fetch(HostId host)
{
    nlohmann::json body { { numberKey, m_watcher.number() } };
    const auto answer = co_await m_peerClient.request(host, PeerRequestKind::FetchConfiguration, std::move(body), fetchTimeout);
    if (!answer || !answer.value().is_string())
        co_return;
    const auto& record = answer.value().get_ref<const std::string&>();
    if (!record.empty())
        (void)m_watcher.offer(record);
}

Result<nlohmann::json> ConfigurationExchange::serveFetch(const nlohmann::json& body) const
{
    if (!body.is_object() || !body.contains(numberKey) || !body[numberKey].is_number_unsigned())
        return failure(ErrorCode::MessageInvalid, "an unsigned number is required", numberKey);
    return nlohmann::json(m_watcher.recordNewerThan(body[numberKey].get<ConfigurationNumber>()));
}

} // namespace cicadalb
