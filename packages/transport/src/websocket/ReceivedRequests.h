#pragma once

#include "PeerMessage.h"

#include "cicadalb/base/Clock.h"

#include <deque>
#include <map>
#include <optional>

/// @file
/// Requests received from one incarnation of another host, and the stored answers to them. C++17, no sockets.

namespace cicadalb::detail {

/// @brief How the listener handles a received request.
enum class ReceiveOutcome : std::uint8_t {
    /// The request was not received before: run it.
    New,
    /// The request is still running: do nothing. Its answer is sent over the sender's newest link.
    Running,
    /// The request was run: send the stored answer again.
    Answered,
    /// The request was run, but its answer is no longer stored.
    Discarded,
    /// The request is not run, because the host is stopping or already runs the maximum number of requests of the sender.
    Refused,
};

struct ReceivedLimits {
    std::size_t maximumRunning = 1024;
    std::size_t maximumAnswers = 4096;
    std::size_t maximumAnswerBytes = std::size_t { 64 } << 20U;
};

/// @brief Ensures that each request id runs at most once. Ids are first delivered in ascending order, because a link keeps the order
/// and a new link starts with the lowest outstanding id. So an id that is not stored and not higher than all previous ones was discarded.
class ReceivedRequests {
public:
    explicit ReceivedRequests(ReceivedLimits limits = {})
        : m_limits(limits)
    {
    }

    /// @brief Registers a request and discards the answers to ids below @p acknowledgedBelow. A host that is stopping refuses new ids.
    ReceiveOutcome receive(std::uint64_t id, std::uint64_t acknowledgedBelow, bool isStopping = false);
    /// @brief Stores the answer to a running request. @return false if the request is not running
    bool storeAnswer(std::uint64_t id, PeerAnswer);
    /// @brief The stored answer to a request, or null.
    const PeerAnswer* storedAnswer(std::uint64_t id) const;

    std::size_t runningCount() const { return m_runningCount; }
    std::size_t answerCount() const { return m_answeredIds.size(); }

private:
    void discardAcknowledged(std::uint64_t acknowledgedBelow);
    void evictExcessAnswers();
    void discard(std::uint64_t id);

    ReceivedLimits m_limits;
    /// Running and answered requests by id; the answer is empty while the request runs.
    std::map<std::uint64_t, std::optional<PeerAnswer>> m_requests;
    /// Ids of the stored answers, oldest answer first.
    std::deque<std::uint64_t> m_answeredIds;
    std::size_t m_runningCount = 0;
    std::size_t m_answerBytes = 0;
    std::uint64_t m_highestId = 0;
    std::uint64_t m_acknowledgedBelow = 0;
};

} // namespace cicadalb::detail
