#include "cicadalb/services/LeaseCandidate.h"

#include "cicadalb/base/Event.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    constexpr std::string_view grantCall = "grant";
    constexpr std::string_view writeCall = "write";

} // namespace

LeaseCandidate::LeaseCandidate(KeyValueService& service, const Clock& clock, LeaseSettings settings, std::uint64_t randomSeed)
    : m_service(service)
    , m_clock(clock)
    , m_settings(settings)
    , m_stateMachine(std::move(settings), randomSeed)
{
}

Task<TimePoint> LeaseCandidate::step()
{
    LeaseCall dueCall = LeaseCall::None;
    {
        const std::lock_guard lock(m_mutex);
        dueCall = m_stateMachine.next(m_clock.now());
    }
    co_await makeCall(dueCall);
    const std::lock_guard lock(m_mutex);
    co_return m_stateMachine.nextCallAt();
}

void LeaseCandidate::skipDelay()
{
    const std::lock_guard lock(m_mutex);
    m_stateMachine.skipDelay(m_clock.now());
}

void LeaseCandidate::allowReplacing(Revision previous)
{
    const std::lock_guard lock(m_mutex);
    m_stateMachine.allowReplacing(previous);
}

Task<void> LeaseCandidate::run(asio::any_io_executor executor)
{
    constexpr std::chrono::milliseconds longestWait { 200 };
    asio::steady_timer timer(executor);
    while (!m_isStopped) {
        const TimePoint nextCallAt = co_await step();
        const auto wait = std::clamp<Duration>(nextCallAt - m_clock.now(), Duration::zero(), longestWait);
        boost::system::error_code error;
        timer.expires_after(wait);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    co_await release();
}

Task<void> LeaseCandidate::release()
{
    LeaseId lease = 0;
    {
        const std::lock_guard lock(m_mutex);
        lease = m_stateMachine.lease();
        m_stateMachine.onRelease(m_clock.now());
    }
    if (lease != 0)
        (void)co_await m_service.releaseLease(lease);
}

bool LeaseCandidate::mayAct(Duration longestAction) const
{
    const std::lock_guard lock(m_mutex);
    return m_stateMachine.mayAct(m_clock.now(), longestAction);
}

bool LeaseCandidate::mayActUnfenced(Duration longestAction) const
{
    const std::lock_guard lock(m_mutex);
    return m_stateMachine.mayActUnfenced(m_clock.now(), longestAction);
}

std::optional<FencingNumber> LeaseCandidate::fencingNumber() const
{
    return readLocked(&LeaseStateMachine::fencingNumber);
}

LeaseId LeaseCandidate::leaseId() const
{
    return readLocked(&LeaseStateMachine::lease);
}

LeaseState LeaseCandidate::state() const
{
    return LeaseState { m_settings.key, m_settings.holder, fencingNumber() };
}

template <typename Value>
Value LeaseCandidate::readLocked(Value (LeaseStateMachine::*accessor)() const) const
{
    const std::lock_guard lock(m_mutex);
    return (m_stateMachine.*accessor)();
}

template <typename Event>
void LeaseCandidate::applyEvent(Event event)
{
    std::optional<FencingNumber> before;
    std::optional<FencingNumber> after;
    {
        const std::lock_guard lock(m_mutex);
        before = m_stateMachine.fencingNumber();
        event(m_stateMachine, m_clock.now());
        after = m_stateMachine.fencingNumber();
    }
    if (before && !after)
        logEvent(cicadalb::Event::LeaseLost, { { "key", m_settings.key }, { "holder", m_settings.holder } });
}

void LeaseCandidate::logRequest(std::string_view call) const
{
    logEvent(cicadalb::Event::LeaseRequested, { { "key", m_settings.key }, { "holder", m_settings.holder }, { "call", std::string(call) } });
}

void LeaseCandidate::logRefusal(std::string_view call, const Error& error) const
{
    logEvent(cicadalb::Event::LeaseRefused, { { "key", m_settings.key }, { "holder", m_settings.holder }, { "call", std::string(call) }, { "cause", error.message } });
}

Task<void> LeaseCandidate::makeCall(LeaseCall dueCall)
{
    switch (dueCall) {
    case LeaseCall::None:
        co_return;
    case LeaseCall::Grant: {
        logRequest(grantCall);
        const auto result = co_await m_service.grantLease(m_settings.timeToLive);
        if (!result)
            logRefusal(grantCall, result.error());
        applyEvent([&](LeaseStateMachine& machine, TimePoint now) { machine.onGrant(result, now); });
        co_return;
    }
    case LeaseCall::WriteKey: {
        logRequest(writeCall);
        auto write = readLocked(&LeaseStateMachine::keyWrite);
        const auto result = co_await m_service.compareAndSwap(std::move(write));
        if (!result)
            logRefusal(writeCall, result.error());
        applyEvent([&](LeaseStateMachine& machine, TimePoint now) { machine.onKeyWritten(result, now); });
        co_return;
    }
    case LeaseCall::ReadKey: {
        const auto result = co_await m_service.read(m_settings.key);
        applyEvent([&](LeaseStateMachine& machine, TimePoint now) { machine.onKeyRead(result, now); });
        co_return;
    }
    case LeaseCall::Renew: {
        const auto lease = readLocked(&LeaseStateMachine::lease);
        const auto result = co_await m_service.renewLease(lease);
        applyEvent([&](LeaseStateMachine& machine, TimePoint now) { machine.onRenew(result, now); });
        co_return;
    }
    case LeaseCall::Release:
        co_await release();
        co_return;
    }
}

} // namespace cicadalb
