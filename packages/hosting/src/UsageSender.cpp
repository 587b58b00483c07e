#include "UsageSender.h"

#include "cicadalb/base/ClockTimer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace cicadalb {

namespace {

    Task<Result<UsageReply>> sendMessage(std::shared_ptr<HttpClient> client, UsageMessage message)
    {
        HostCall call { usagePath, encodeUsageMessage(message), UsageSender::replyTimeout, true };
        const auto answer = co_await callHost(std::move(client), std::move(call));
        if (!answer)
            co_return answer.as_failure();
        co_return decodeUsageReply(answer.value().body);
    }

    Task<Result<UsageReply>> answerAtOnce(UsageReply reply) { co_return reply; }

} // namespace

UsageExchange makeHttpUsageExchange(const boost::asio::any_io_executor& executor, const std::vector<Endpoint>& endpoints, std::function<UsageReply(const UsageMessage&)> own, EndpointSource unlisted)
{
    const auto unlistedClient = std::make_shared<ChangingHostClient>(executor, std::move(unlisted));
    return [clients = makeHostClients(executor, endpoints), own = std::move(own), unlistedClient](std::size_t candidate, UsageMessage message) {
        const bool isOwn = candidate == clients.size();
        auto client = candidate < clients.size() ? clients[candidate] : unlistedClient->client();
        // Without an unlisted coordinator this process answers once more.
        return client && !isOwn ? sendMessage(std::move(client), std::move(message)) : answerAtOnce(own(message));
    };
}

UsageSender::UsageSender(boost::asio::any_io_executor executor, UsageCounter& counter, UsageExchange exchange, const Clock& clock, UsageDeliverySettings settings)
    : m_executor(std::move(executor))
    , m_exchange(std::move(exchange))
    , m_clock(clock)
    , m_delivery(counter, std::move(settings))
{
}

void UsageSender::tick()
{
    if (m_delivery.isCalling())
        return;
    auto call = m_delivery.nextCall(m_clock.now(), m_isLast);
    if (call)
        boost::asio::co_spawn(m_executor, makeCalls(std::move(*call)), boost::asio::detached);
}

Task<void> UsageSender::makeCalls(UsageCall first)
{
    const auto self = shared_from_this();
    std::optional<UsageCall> call(std::move(first));
    while (call) {
        const auto reply = co_await m_exchange(call->candidate, call->message);
        if (reply)
            m_delivery.onReply(*call, reply.value(), m_clock.now());
        else
            m_delivery.onFailure(*call, m_clock.now());
        call = m_delivery.nextCall(m_clock.now(), m_isLast);
    }
}

Task<bool> UsageSender::flush(Duration maximumWait)
{
    constexpr std::chrono::milliseconds pollInterval { 20 };
    const auto self = shared_from_this();
    const auto until = m_clock.now() + maximumWait;
    ClockTimer timer(m_executor, m_clock);
    m_isLast = true;
    while (!m_delivery.isDelivered() && m_clock.now() < until) {
        tick();
        (void)co_await timer.waitFor(pollInterval);
    }
    co_return m_delivery.isDelivered();
}

} // namespace cicadalb
