#pragma once

#include <cstddef>
#include <memory>
#include <mutex>

/// @file
/// Limits the memory that answers of other processes take.

namespace cicadalb {

/// @brief Memory for all answers that a process is reading or has not passed on yet. A server that sends without end must not take the process's memory, nor
/// must several of them together. Once three quarters are in use, an answer that is larger than its equal share may not grow; the last quarter is for the
/// others. Thread-safe.
class MessageMemory {
public:
    static constexpr std::size_t defaultCapacity = std::size_t { 128 } << 20U;

    explicit MessageMemory(std::size_t capacity = defaultCapacity)
        : m_capacity(capacity)
    {
    }

    /// @brief The memory that all clients of the process share unless they are given another one.
    static const std::shared_ptr<MessageMemory>& ofProcess();

    /// @brief Sets the limit in bytes. Answers that exceed a lower limit keep what they have.
    void setCapacity(std::size_t);
    /// @brief Bytes in use.
    std::size_t used() const;

    /// @brief The part of one answer, which is released when it is destroyed.
    class Share {
    public:
        explicit Share(std::shared_ptr<MessageMemory>);
        ~Share();
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /// @brief Changes the number of bytes. @return false if the answer may not grow to this size; its share is unchanged then
        bool resize(std::size_t bytes);

    private:
        std::shared_ptr<MessageMemory> m_memory;
        std::size_t m_bytes = 0;
    };

private:
    bool change(std::size_t from, std::size_t to);

    mutable std::mutex m_mutex;
    std::size_t m_capacity;
    std::size_t m_used = 0;
    /// Number of answers that take memory.
    std::size_t m_answers = 0;
};

} // namespace cicadalb
