#pragma once

#include "cicadalb/services/LeaseStateMachine.h"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <mutex>

/// @file
/// Acquires a lease and renews it.

namespace cicadalb {

/// @brief State of a lease, for reports.
struct LeaseState {
    std::string key;
    std::string holder;
    std::optional<FencingNumber> fencingNumber;
};

/// @brief One candidate for one lease. The const functions are thread-safe; only one coroutine at a time may call step(), run() or release().
class LeaseCandidate {
public:
    /// @param service must outlive this object, and so must @p clock
    LeaseCandidate(KeyValueService& service, const Clock& clock, LeaseSettings, std::uint64_t randomSeed);

    /// @brief Makes the call that is due, if any. @return the time of the next call
    Task<TimePoint> step();
    /// @brief Makes the next step() call the service immediately.
    void skipDelay();
    /// @brief Lets this candidate replace the key's value at the revision @p previous, which an earlier process of this candidate wrote.
    void allowReplacing(Revision previous);
    /// @brief Calls step() until stop() is called, then releases the lease. Waits on the steady clock.
    Task<void> run(boost::asio::any_io_executor);
    void stop() noexcept { m_isStopped = true; }
    /// @brief Releases the lease. It is not held afterwards, whatever the service answers.
    Task<void> release();

    /// @brief Whether an action of at most @p longestAction may start now. Check again after every wait.
    bool mayAct(Duration longestAction) const;
    /// @brief Like mayAct(), for targets that ignore fencing numbers: also false while an action of an earlier holder may still be running.
    bool mayActUnfenced(Duration longestAction) const;
    std::optional<FencingNumber> fencingNumber() const;
    /// @brief The granted lease; 0 if there is none.
    LeaseId leaseId() const;
    LeaseState state() const;

private:
    Task<void> makeCall(LeaseCall);
    void logRequest(std::string_view call) const;
    void logRefusal(std::string_view call, const Error&) const;
    template <typename Value>
    Value readLocked(Value (LeaseStateMachine::*accessor)() const) const;
    template <typename Event>
    void applyEvent(Event event);

    KeyValueService& m_service;
    const Clock& m_clock;
    LeaseSettings m_settings;
    mutable std::mutex m_mutex;
    LeaseStateMachine m_stateMachine;
    std::atomic<bool> m_isStopped { false };
};

} // namespace cicadalb
