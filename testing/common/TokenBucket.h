#pragma once

#include <algorithm>
#include <chrono>

namespace cicadalb::standin {

/// @brief Limits calls to a rate, with one second's worth of burst.
class TokenBucket {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit TokenBucket(double perSecond, TimePoint now = std::chrono::steady_clock::now())
        : m_perSecond(perSecond)
        , m_tokens(perSecond)
        , m_filledAt(now)
    {
    }

    void setRate(double perSecond) noexcept { m_perSecond = perSecond; }

    /// @brief Takes one token. @return false if there is none
    bool take(TimePoint now) noexcept
    {
        const double elapsed = std::chrono::duration<double>(now - m_filledAt).count();
        m_tokens = std::min(m_perSecond, m_tokens + elapsed * m_perSecond);
        m_filledAt = now;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond;
    double m_tokens;
    TimePoint m_filledAt;
};

} // namespace cicadalb::standin
