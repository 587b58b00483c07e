#pragma once

#include "cicadalb/services/LeaseHolding.h"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <mutex>

/// @file
/// Takes a lease and keeps it.

namespace cicadalb {

/// @brief State of a lease for the dump.
struct LeaseState {
    std::string key;
    std::string holder;
    std::optional<FencingNumber> fencingNumber;
};

/// @brief One candidate for one lease. Reading is thread-safe; only one coroutine may run it.
class LeaseKeeper {
public:
    /// @param service and @p clock must outlive this object
    LeaseKeeper(KeyValueService& service, const Clock& clock, LeaseSettings, std::uint64_t randomSeed);

    /// @brief Makes the call that is due, if any. @return when to call again
    Task<TimePoint> step();
    /// @brief The next step() makes its call now.
    void hasten();
    /// @brief The lease may be taken over from the record at @p earlier, which an earlier process of this candidate left behind.
    void replace(Revision earlier);
    /// @brief Steps until stop() and then gives the lease back. Waits on the steady clock.
    Task<void> run(boost::asio::any_io_executor);
    void stop() noexcept { m_isStopped = true; }
    /// @brief Gives the lease back; it is not held afterwards, whatever the service answers.
    Task<void> release();

    /// @brief Whether an action of at most @p longestAction may start now. Ask again after every wait.
    bool mayAct(Duration longestAction) const;
    /// @brief As mayAct(), for targets that ignore fencing numbers.
    bool mayActUnfenced(Duration longestAction) const;
    std::optional<FencingNumber> fencingNumber() const;
    LeaseState state() const;

private:
    Task<void> call(LeaseCall);
    template <typename Value>
    Value locked(Value (LeaseHolding::*accessor)() const) const;
    template <typename Event>
    void note(Event event);

    KeyValueService& m_service;
    const Clock& m_clock;
    LeaseSettings m_settings;
    mutable std::mutex m_mutex;
    LeaseHolding m_holding;
    std::atomic<bool> m_isStopped { false };
};

} // namespace cicadalb
