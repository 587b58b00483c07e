#pragma once

#include "PeerMessage.h"

#include "cicadalb/base/Clock.h"

#include <functional>
#include <map>
#include <optional>

/// @file
/// The requests of this host to one other host that are not answered yet. C++17, no sockets.

namespace cicadalb::detail {

struct OutstandingRequest {
    PeerRequest request;
    TimePoint deadline;
    PeerReplyCallback reply;
    /// Incarnation of the other host that the request was last written to; empty if it was never written.
    std::optional<std::uint64_t> sentToIncarnation;
};

/// @brief Reason for which a request ends without an answer.
struct PeerFailure {
    std::uint16_t error = 0;
    std::string message;
};

/// @brief Outstanding requests by ascending id. Calls the reply callback of each request exactly once.
class OutstandingRequests {
public:
    using Writer = std::function<void(std::uint64_t id, const PeerRequest&)>;

    /// @return the request's id
    std::uint64_t add(PeerRequest, TimePoint deadline, PeerReplyCallback);

    /// @brief Writes the request to the link to @p incarnation, unless it was written before.
    void send(std::uint64_t id, std::uint64_t incarnation, const Writer&);
    /// @brief Writes every request to a new link to @p incarnation, by ascending id. Requests that were written to another
    /// incarnation of the host, which may have run them, end as Unknown instead.
    void resendAll(std::uint64_t incarnation, const Writer&);

    /// @brief Completes the request that @p answer belongs to. @return false if there is no such request; the answer is then ignored
    bool complete(const PeerMessage& answer);

    /// @brief Fails the requests whose deadline has passed.
    void expire(TimePoint now, const PeerFailure&);
    /// @brief Fails the requests that were never written.
    void failUnsent(const PeerFailure&);
    void failAll(const PeerFailure&);

    /// @brief Lowest id of an outstanding request, or the next id if there is none.
    std::uint64_t lowestId() const;
    std::size_t size() const { return m_requests.size(); }
    bool empty() const { return m_requests.empty(); }

private:
    using Requests = std::map<std::uint64_t, OutstandingRequest>;
    void failIf(const std::function<bool(const OutstandingRequest&)>& condition, const PeerFailure&);

    Requests m_requests;
    std::uint64_t m_lastId = 0;
};

} // namespace cicadalb::detail
