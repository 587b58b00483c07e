#pragma once

#include "PeerMessage.h"

#include "cicadalb/base/Clock.h"

#include <functional>
#include <map>
#include <optional>

/// @file
/// The requests of this host that wait for the answer of one other host. C++17, no sockets.

namespace cicadalb::detail {

struct OutstandingRequest {
    PeerRequest request;
    TimePoint deadline;
    PeerReply reply;
    /// Incarnation of the host that it was written to, if any.
    std::optional<std::uint64_t> sentTo;
};

/// @brief Why requests end without an answer.
struct PeerFailure {
    std::uint16_t error = 0;
    std::string message;
};

/// @brief Requests by their rising number. Each reply is called once, whatever comes.
class OutstandingRequests {
public:
    using Write = std::function<void(std::uint64_t id, const PeerRequest&)>;

    /// @return the request's number
    std::uint64_t add(PeerRequest, TimePoint deadline, PeerReply);

    /// @brief Writes the request, unless it is already with the host's present incarnation.
    void send(std::uint64_t id, std::uint64_t incarnation, const Write&);
    /// @brief A new link is ready: writes every request again, by rising number. Requests that another incarnation of the host may
    /// have run end as Unknown.
    void resume(std::uint64_t incarnation, const Write&);

    /// @brief Ends the request that @p answer is for. @return false if no request fits; the answer is to be dropped
    bool accept(const PeerMessage& answer);

    /// @brief Ends the requests whose deadline has passed.
    void expire(TimePoint now, const PeerFailure&);
    /// @brief Ends the requests that were never written.
    void endUnsent(const PeerFailure&);
    void endAll(const PeerFailure&);

    /// @brief No request with a smaller number is outstanding.
    std::uint64_t lowestId() const;
    std::size_t size() const { return m_requests.size(); }
    bool empty() const { return m_requests.empty(); }

private:
    using Requests = std::map<std::uint64_t, OutstandingRequest>;
    void endIf(const std::function<bool(const OutstandingRequest&)>& condition, const PeerFailure&);

    Requests m_requests;
    std::uint64_t m_lastId = 0;
};

} // namespace cicadalb::detail
