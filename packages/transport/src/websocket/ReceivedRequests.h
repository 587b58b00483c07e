#pragma once

#include "PeerMessage.h"

#include "cicadalb/base/Clock.h"

#include <deque>
#include <map>
#include <optional>

/// @file
/// What this host remembers of the requests of one incarnation of another host. C++17, no sockets.

namespace cicadalb::detail {

/// @brief What to do with a request that arrived.
enum class ReceivedKind : std::uint8_t {
    /// Run it.
    New,
    /// It runs; its answer goes to the link on which it came last.
    Running,
    /// Repeat its answer.
    Answered,
    /// It was run once, but its answer is not held any more.
    Forgotten,
    /// Too many run; it was not run.
    Refused,
};

struct ReceivedBounds {
    std::size_t running = 1024;
    std::size_t answers = 4096;
    std::size_t answerBytes = std::size_t { 64 } << 20U;
};

/// @brief Runs each number once. First deliveries come in rising order, since a link keeps the order and a new link starts with the
/// smallest outstanding number; so a number that is neither higher than all before nor remembered was forgotten.
class ReceivedRequests {
public:
    explicit ReceivedRequests(ReceivedBounds bounds = {})
        : m_bounds(bounds)
    {
    }

    /// @brief Takes in a request; forgets the answers below @p acknowledgedBelow. A host that is stopping refuses new numbers.
    ReceivedKind receive(std::uint64_t id, std::uint64_t acknowledgedBelow, bool isStopping = false);
    /// @brief Keeps the answer of a running request. @return false if it was answered before
    bool answer(std::uint64_t id, PeerAnswer);
    /// @brief A remembered answer, or null.
    const PeerAnswer* answerTo(std::uint64_t id) const;

    std::size_t runningCount() const { return m_runningCount; }
    std::size_t answerCount() const { return m_answered.size(); }

private:
    void forgetBelow(std::uint64_t acknowledgedBelow);
    void forgetOverBounds();
    void forget(std::uint64_t id);

    ReceivedBounds m_bounds;
    /// Remembered requests; without an answer while they run.
    std::map<std::uint64_t, std::optional<PeerAnswer>> m_requests;
    /// Numbers of remembered answers, oldest answer first.
    std::deque<std::uint64_t> m_answered;
    std::size_t m_runningCount = 0;
    std::size_t m_answerBytes = 0;
    std::uint64_t m_highestId = 0;
    std::uint64_t m_acknowledgedBelow = 0;
};

} // namespace cicadalb::detail
