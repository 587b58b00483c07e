#include "cicadalb/services/GatedKeyValueService.h"

#include "cicadalb/base/Event.h"

namespace cicadalb {

namespace {

    /// Whether an error speaks of the service's health, and not of the call.
    bool isOutage(ErrorCode code)
    {
        return code == ErrorCode::Unavailable || code == ErrorCode::NotSent || code == ErrorCode::OutcomeUnknown;
    }

} // namespace

GatedKeyValueService::GatedKeyValueService(KeyValueService& service, const Clock& clock, CallGateSettings settings, std::uint64_t randomSeed)
    : m_service(service)
    , m_clock(clock)
    , m_gate(settings, randomSeed)
{
}

template <typename T>
Task<Result<T>> GatedKeyValueService::pass(Task<Result<T>> call)
{
    if (!begin())
        co_return failure(ErrorCode::Unavailable, "held back: the service is down or this host's share of its rate is spent");
    auto result = co_await std::move(call);
    end(result ? nullptr : &result.error());
    co_return std::move(result);
}

Task<Result<std::optional<KeyValueEntry>>> GatedKeyValueService::read(std::string key) { return pass(m_service.read(std::move(key))); }

Task<Result<std::vector<KeyValueEntry>>> GatedKeyValueService::list(std::string prefix) { return pass(m_service.list(std::move(prefix))); }

Task<Result<Revision>> GatedKeyValueService::compareAndSwap(CompareAndSwap swap) { return pass(m_service.compareAndSwap(std::move(swap))); }

Task<Result<LeaseId>> GatedKeyValueService::grantLease(std::chrono::milliseconds timeToLive) { return pass(m_service.grantLease(timeToLive)); }

Task<Result<void>> GatedKeyValueService::renewLease(LeaseId lease) { return pass(m_service.renewLease(lease)); }

Task<Result<void>> GatedKeyValueService::releaseLease(LeaseId lease) { return pass(m_service.releaseLease(lease)); }

Task<Result<WatchResult>> GatedKeyValueService::watch(std::string prefix, Revision after, std::chrono::milliseconds patience)
{
    if (!begin())
        co_return failure(ErrorCode::Unavailable, "held back: the service is down or this host's share of its rate is spent");
    const bool wasAvailable = state().isAvailable;
    // While the service counts as down a watch is the attempt that finds it up again; otherwise it does not hold a place.
    if (wasAvailable)
        end(nullptr);
    auto result = co_await m_service.watch(std::move(prefix), after, patience);
    if (!wasAvailable)
        end(result ? nullptr : &result.error());
    co_return std::move(result);
}

GateState GatedKeyValueService::state() const
{
    const std::lock_guard lock(m_mutex);
    auto state = m_counters;
    state.isAvailable = m_gate.isAvailable();
    state.retryAfter = m_gate.retryAfter(m_clock.now());
    return state;
}

bool GatedKeyValueService::begin()
{
    const std::lock_guard lock(m_mutex);
    const bool isAdmitted = m_gate.tryBegin(m_clock.now());
    ++(isAdmitted ? m_counters.callsMade : m_counters.callsHeldBack);
    return isAdmitted;
}

void GatedKeyValueService::end(const Error* error)
{
    const std::lock_guard lock(m_mutex);
    const bool wasAvailable = m_gate.isAvailable();
    if (error && isOutage(error->code))
        m_gate.failed(m_clock.now());
    else
        m_gate.succeeded(m_clock.now());
    if (wasAvailable && !m_gate.isAvailable())
        logEvent(Event::PlatformUnavailable, { { "service", "key-value" }, { "message", error->message } });
    if (!wasAvailable && m_gate.isAvailable())
        logEvent(Event::PlatformAvailable, { { "service", "key-value" } });
}

} // namespace cicadalb
