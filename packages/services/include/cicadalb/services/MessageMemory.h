#pragma once

#include "cicadalb/base/Clock.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>

/// @file
/// Limits the memory that a process holds for others: requests, answers and connections.

namespace cicadalb {

/// @brief Memory for all messages that a process is receiving, or has not passed on yet, and for the connections that carry them. Neither a client nor a
/// server that sends without end may take the process's memory, nor may several of them together. Once three quarters are in use, a message that is larger
/// than its equal share may not grow; the last eighth is for small messages alone. Thread-safe.
class MessageMemory {
    struct Holder;

public:
    static constexpr std::size_t defaultCapacity = std::size_t { 128 } << 20U;
    /// Messages up to this size may use all of the memory.
    static constexpr std::size_t smallMessageBytes = std::size_t { 64 } << 10U;
    /// A sender that has sent nothing for this time has stalled.
    static constexpr std::chrono::milliseconds stallTime { 500 };

    explicit MessageMemory(std::size_t capacity = defaultCapacity)
        : m_capacity(capacity)
    {
    }

    /// @brief The memory that all listeners and clients of the process share unless they are given another one.
    static const std::shared_ptr<MessageMemory>& ofProcess();

    /// @brief Sets the limit in bytes. Messages that exceed a lower limit keep what they have.
    void setCapacity(std::size_t);
    /// @brief Bytes in use.
    std::size_t used() const;
    /// @brief Number of messages that were refused for lack of memory.
    std::uint64_t refusals() const noexcept { return m_refusals; }
    void countRefusal() noexcept { ++m_refusals; }

    /// @brief Asks senders that have stalled to give back at least @p bytes, the one that stalled first before the others. @return whether any was asked
    bool reclaim(std::size_t bytes, TimePoint now);

    /// @brief The part of one message, which is released when it is destroyed.
    class Share {
    public:
        explicit Share(std::shared_ptr<MessageMemory>);
        ~Share();
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /// @brief Changes the number of bytes. @return false if the message may not grow to this size; its share is unchanged then
        bool resize(std::size_t bytes);
        std::size_t size() const noexcept { return m_bytes; }

        /// @brief Makes the share one that reclaim() may take back until keep() is called. @p release is called at most once, on any thread, while the memory is
        /// locked, so that it must not use the memory itself.
        void offer(std::function<void()> release, TimePoint now);
        /// @brief Notes that the sender has sent something. @param releasedBytes what it gives back if asked, in this share and in others
        void noteProgress(TimePoint now, std::size_t releasedBytes);
        void keep();

    private:
        friend class MessageMemory;
        std::shared_ptr<MessageMemory> m_memory;
        std::atomic<std::size_t> m_bytes { 0 };
        std::optional<std::list<Holder>::iterator> m_holder;
    };

private:
    struct Holder {
        Share* share = nullptr;
        TimePoint lastProgressAt;
        std::size_t releasedBytes = 0;
        std::function<void()> release;
    };

    bool change(std::size_t from, std::size_t to);

    mutable std::mutex m_mutex;
    std::size_t m_capacity;
    std::size_t m_used = 0;
    /// Number of messages that take memory.
    std::size_t m_messages = 0;
    /// Shares that may be taken back, by the time of their last progress.
    std::list<Holder> m_offered;
    std::atomic<std::uint64_t> m_refusals { 0 };
};

} // namespace cicadalb
