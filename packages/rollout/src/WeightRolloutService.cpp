#include "cicadalb/rollout/WeightRolloutService.h"

#include "Wakeup.h"
#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <string>

namespace cicadalb {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration loopInterval = 100ms;
    constexpr Duration statusInterval = 1s;
    constexpr Duration statusTimeout = 1s;

} // namespace

class WeightRolloutService::Implementation : public std::enable_shared_from_this<WeightRolloutService::Implementation> {
public:
    Implementation(boost::asio::any_io_executor executor, EngineClient& client, const OrderPermit& permit, std::shared_ptr<WeightLoadLimiter> limiter,
        const Clock& clock, WeightRolloutOptions options)
        : m_executor(std::move(executor))
        , m_client(client)
        , m_permit(permit)
        , m_limiter(std::move(limiter))
        , m_clock(clock)
        , m_model(options.model)
        , m_fenceCheck(options.fenceCheck)
        , m_orderTimeout(options.orderTimeout)
        , m_rollout(std::move(options))
    {
    }

    void setDesiredVersion(WeightVersion version)
    {
        const std::lock_guard lock(m_mutex);
        m_rollout.setDesiredVersion(version);
    }

    void setEngines(const std::vector<TargetId>& engines)
    {
        const std::lock_guard lock(m_mutex);
        m_rollout.setEngines(engines);
    }

    std::vector<EngineSwapStatus> engines() const
    {
        const std::lock_guard lock(m_mutex);
        return m_rollout.engines();
    }

    Task<void> run();
    void stop() { m_isStopping = true; }

private:
    void pollEngines();
    void sendOrders();
    void logIfSettled();
    std::optional<FencingNumber> permit() const;
    Task<void> pollEngine(TargetId);
    Task<void> sendOrder(PlannedOrder);

    template <typename MakeTask>
    void spawn(MakeTask makeTask)
    {
        boost::asio::post(m_executor, [self = shared_from_this(), makeTask] {
            auto task = makeTask();
            boost::asio::co_spawn(self->m_executor, std::move(task), boost::asio::detached);
        });
    }

    boost::asio::any_io_executor m_executor;
    EngineClient& m_client;
    const OrderPermit& m_permit;
    std::shared_ptr<WeightLoadLimiter> m_limiter;
    const Clock& m_clock;
    std::string m_model;
    FenceCheck m_fenceCheck;
    std::chrono::milliseconds m_orderTimeout;
    std::atomic<bool> m_isStopping = false;
    mutable std::mutex m_mutex;
    WeightRollout m_rollout;
    WeightVersion m_loggedVersion = 0;
};

Task<void> WeightRolloutService::Implementation::run()
{
    auto self = shared_from_this();
    TimePoint nextPoll {};
    while (!m_isStopping) {
        if (permit()) {
            if (m_clock.now() >= nextPoll) {
                pollEngines();
                nextPoll = m_clock.now() + statusInterval;
            }
            sendOrders();
            logIfSettled();
        }
        Wakeup pause(m_executor);
        co_await pause.wait(loopInterval);
    }
}

void WeightRolloutService::Implementation::pollEngines()
{
    for (const auto& status : engines()) {
        if (status.state != SwapState::Swapping)
            spawn([self = shared_from_this(), engine = status.engine] { return self->pollEngine(engine); });
    }
}

Task<void> WeightRolloutService::Implementation::pollEngine(TargetId engine)
{
    auto self = shared_from_this();
    auto status = co_await m_client.status(engine, m_clock.now() + statusTimeout);
    if (!status)
        co_return;
    const std::lock_guard lock(m_mutex);
    m_rollout.onStatus(engine, status.value(), m_clock.now());
}

void WeightRolloutService::Implementation::sendOrders()
{
    const auto fence = permit();
    if (!fence)
        return;
    std::vector<PlannedOrder> orders;
    {
        const std::lock_guard lock(m_mutex);
        orders = m_rollout.nextOrders(*fence, *m_limiter, m_clock.now());
    }
    for (auto& order : orders)
        spawn([self = shared_from_this(), order] { return self->sendOrder(order); });
}

std::optional<FencingNumber> WeightRolloutService::Implementation::permit() const
{
    return m_permit.permit(m_fenceCheck, m_orderTimeout);
}

Task<void> WeightRolloutService::Implementation::sendOrder(PlannedOrder planned)
{
    auto self = shared_from_this();
    Result<void> result = failure(ErrorCode::LeaseLost, "order not sent: the lease was lost or expires before the order must have taken effect");
    // Checked again: the process may have been paused since the order was planned.
    if (permit() == planned.order.fence)
        result = co_await m_client.loadWeights(planned.engine, planned.order, planned.deadline);
    bool isSetAside = false;
    {
        const std::lock_guard lock(m_mutex);
        isSetAside = m_rollout.onOrderResult(planned.engine, planned.order, result, m_clock.now());
    }
    if (isSetAside)
        logEvent(Event::WeightSwapFailed, { { "engine", planned.engine.value() }, { "version", std::to_string(planned.order.version) }, { "error", describe(result.error()) } });
}

void WeightRolloutService::Implementation::logIfSettled()
{
    WeightVersion version = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_rollout.isSettled() || m_rollout.desiredVersion() == m_loggedVersion)
            return;
        version = m_loggedVersion = m_rollout.desiredVersion();
    }
    logEvent(Event::WeightsInForce, { { "model", m_model }, { "version", std::to_string(version) } });
}

WeightRolloutService::WeightRolloutService(boost::asio::any_io_executor executor, EngineClient& client, const OrderPermit& permit,
    std::shared_ptr<WeightLoadLimiter> limiter, const Clock& clock, WeightRolloutOptions options)
    : m_implementation(std::make_shared<Implementation>(std::move(executor), client, permit, std::move(limiter), clock, std::move(options)))
{
}

WeightRolloutService::~WeightRolloutService()
{
    stop();
}

void WeightRolloutService::setDesiredVersion(WeightVersion version)
{
    m_implementation->setDesiredVersion(version);
}

void WeightRolloutService::setEngines(const std::vector<TargetId>& engines)
{
    m_implementation->setEngines(engines);
}

Task<void> WeightRolloutService::run()
{
    return m_implementation->run();
}

void WeightRolloutService::stop()
{
    m_implementation->stop();
}

std::vector<EngineSwapStatus> WeightRolloutService::engines() const
{
    return m_implementation->engines();
}

} // namespace cicadalb
