#pragma once

#include "cicadalb/base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

/// @file
/// Decides how many bytes a process holds for callers and targets, so that slow readers cannot fill its memory. Has no sockets.

namespace cicadalb {

/// @brief For whom bytes are held.
enum class ByteSide : std::uint8_t {
    /// Bodies of callers' requests, their connections, and answers made by this host.
    Callers,
    /// Bodies on their way to targets, and targets' answers until the caller has them.
    Targets,
};

struct ByteLimits {
    /// Bytes that the process may hold.
    std::size_t total = 0;
    /// New requests are refused from here on, so that running ones have room for their answers.
    std::size_t admission = 0;
    /// Largest single body.
    std::size_t perConnection = 0;
    /// A reader without progress is ended after this time, which frees its bytes at the latest.
    Duration longestStall {};

    /// @brief Limits of a process that may use @p memory bytes in all.
    static ByteLimits ofProcess(std::size_t memory, Duration longestStall);
};

class ByteHold;

/// @brief The process's account. Bound to one event loop.
class ByteBudget {
public:
    ByteBudget(ByteLimits, const Clock&);

    /// @brief Whether a new request with a body of @p bytes is accepted. A request that is not is counted as refused.
    bool admit(std::size_t bytes);
    /// @brief Time until a request that is refused now would be accepted, if bytes go on being freed as in the last seconds.
    Duration timeToReturn() const;

    const ByteLimits& limits() const noexcept { return m_limits; }
    std::size_t held() const noexcept { return m_held[0] + m_held[1]; }
    std::size_t held(ByteSide side) const noexcept { return m_held[static_cast<std::size_t>(side)]; }
    std::uint64_t refusedRequests() const noexcept { return m_refused; }
    /// @brief Number of sources whose reading is paused.
    std::size_t pausedSources() const noexcept { return m_waits.size(); }
    /// @brief Readers that were ended because they took nothing for the longest time.
    std::uint64_t endedReaders() const noexcept { return m_endedReaders; }
    void recordEndedReader() noexcept { ++m_endedReaders; }

private:
    friend class ByteHold;
    friend class RoomWait;
    struct SmallestFirst {
        bool operator()(const class RoomWait*, const class RoomWait*) const noexcept;
    };

    bool fits(std::size_t additional) const noexcept { return held() + additional <= m_limits.total; }
    void add(ByteSide, std::size_t bytes);
    void subtract(ByteSide, std::size_t bytes);
    void grantWaits();
    void rotateWindows() const;

    ByteLimits m_limits;
    const Clock& m_clock;
    std::array<std::size_t, 2> m_held {};
    std::uint64_t m_refused = 0;
    std::uint64_t m_endedReaders = 0;
    bool m_isRefusing = false;
    std::multiset<class RoomWait*, SmallestFirst> m_waits;
    /// Bytes freed in the running window and in the one before.
    mutable TimePoint m_windowBegan;
    mutable std::size_t m_freed = 0;
    mutable std::size_t m_freedBefore = 0;
};

/// @brief Bytes of one holder; gives them back when it is destroyed. Without a budget it counts nothing.
class ByteHold {
public:
    ByteHold(std::shared_ptr<ByteBudget> budget, ByteSide side)
        : m_budget(std::move(budget))
        , m_side(side)
    {
    }
    ~ByteHold() { set(0); }
    ByteHold(const ByteHold&) = delete;
    ByteHold& operator=(const ByteHold&) = delete;

    std::size_t bytes() const noexcept { return m_bytes; }
    /// @brief Counts bytes that exist in any case.
    void set(std::size_t bytes);
    /// @brief Raises the hold to @p bytes if the process has room for them. @return whether it has
    bool tryRaise(std::size_t bytes);

private:
    friend class RoomWait;
    friend class ByteBudget;
    std::shared_ptr<ByteBudget> m_budget;
    ByteSide m_side;
    std::size_t m_bytes = 0;
};

/// @brief Waits for room to raise a hold, until it is granted or this object is destroyed. The source that would hold least comes first, so that
/// the largest ones pause.
class RoomWait {
public:
    /// @param onGranted called at most once, when the hold has been raised
    RoomWait(ByteHold& hold, std::size_t bytes, std::function<void()> onGranted);
    ~RoomWait();
    RoomWait(const RoomWait&) = delete;
    RoomWait& operator=(const RoomWait&) = delete;

    bool isGranted() const noexcept { return m_isGranted; }

private:
    friend class ByteBudget;
    ByteHold& m_hold;
    std::size_t m_bytes;
    std::function<void()> m_onGranted;
    bool m_isGranted = false;
};

} // namespace cicadalb
