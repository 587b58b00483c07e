#pragma once

#include "MirrorMessages.h"

#include "cicadalb/services/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <vector>

/// @file
/// Follows records at a mirror for as long as its word can be relied on.

namespace cicadalb {

/// @brief One exchange with one mirror.
using MirrorExchange = std::function<Task<Result<MirrorReply>>(std::size_t mirror, MirrorQuery)>;

/// @brief Which mirror a host asks, and when it has to ask the store instead. Bound to one event loop.
class MirrorClient {
public:
    /// Time that the mirror may wait for a change.
    static constexpr std::chrono::milliseconds patience { 350 };
    /// Time for an answer beyond that.
    static constexpr std::chrono::milliseconds answerTime { 250 };
    /// A mirror is trusted for so long after it last reached the store. With the two times above a change is missed for 1.3 s at most; it has to be in
    /// force after two.
    static constexpr std::chrono::milliseconds longestAge { 700 };
    /// After a failure the store is asked for so long.
    static constexpr std::chrono::seconds directTime { 5 };
    /// A host that starts waits so long for a mirror before it asks the store: where all hosts start together, a mirror is there a moment later.
    static constexpr std::chrono::milliseconds startTime { 600 };
    /// Pause between two attempts meanwhile.
    static constexpr std::chrono::milliseconds startPause { 50 };

    /// @param mirrors how many there are; 0: the store is always asked
    /// @param first index of the one to begin with, so that hosts spread over the mirrors
    MirrorClient(std::size_t mirrors, std::size_t first, MirrorExchange, const Clock&);

    /// @brief Whether a mirror is to be asked now.
    bool isUsable() const;
    /// @brief Errors: Unavailable. The next mirror is asked next time then, and not before directTime is over.
    Task<Result<MirrorReply>> follow(std::string prefix, std::optional<Revision> after);
    /// @brief Asks one mirror for all records, without a wait and whatever became of earlier questions. Errors: Unavailable (it answers but
    /// has not reached the store lately), others (it does not answer).
    Task<Result<MirrorReply>> ask(std::size_t mirror, std::string prefix);
    std::size_t mirrors() const noexcept { return m_mirrors; }
    /// @brief Whether a failure at the start is to be followed by another attempt instead of a call to the store.
    bool isStarting() const { return m_mirrors > 0 && !m_hasFollowed && m_clock.now() < m_startedAt + startTime; }
    /// @brief The store could not be reached either: a mirror may be asked at once.
    void storeFailed() noexcept { m_directUntil.reset(); }

private:
    std::size_t m_mirrors;
    std::size_t m_next;
    MirrorExchange m_exchange;
    const Clock& m_clock;
    std::optional<TimePoint> m_directUntil;
    TimePoint m_startedAt;
    bool m_isFollowing = false;
    bool m_hasFollowed = false;
};

/// @brief Exchanges over HTTP.
MirrorExchange httpMirrorExchange(const boost::asio::any_io_executor&, const std::vector<Endpoint>&);

} // namespace cicadalb
