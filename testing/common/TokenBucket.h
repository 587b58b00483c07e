#pragma once

#include <algorithm>
#include <chrono>

namespace cicadalb::standin {

/// @brief Limits calls to a rate. The largest burst is the number of calls of one second.
class TokenBucket {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit TokenBucket(double tokensPerSecond, TimePoint now = std::chrono::steady_clock::now())
        : m_tokensPerSecond(tokensPerSecond)
        , m_tokens(tokensPerSecond)
        , m_refilledAt(now)
    {
    }

    void setRate(double tokensPerSecond) noexcept { m_tokensPerSecond = tokensPerSecond; }

    /// @brief Takes one token. @return false if none is left, and the call is over the rate
    bool take(TimePoint now) noexcept
    {
        const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
        m_tokens = std::min(m_tokensPerSecond, m_tokens + elapsed * m_tokensPerSecond);
        m_refilledAt = now;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_tokensPerSecond;
    double m_tokens;
    TimePoint m_refilledAt;
};

} // namespace cicadalb::standin
