#pragma once

#include "cicadalb/base/Clock.h"

#include <cstddef>
#include <optional>

/// @file
/// Detects answers that go on without end.

namespace cicadalb {

/// @brief Decides whether a streamed answer still makes progress, so that a server that sends other bytes than events, without end, occupies neither
/// memory nor a slot until the deadline.
class StreamProgress {
public:
    /// Bytes within which a complete event has to arrive.
    static constexpr std::size_t maximumBytesPerEvent = std::size_t { 1 } << 20U;

    /// @param maximumPause longest time between two events, from the first part on
    explicit StreamProgress(Duration maximumPause)
        : m_maximumPause(maximumPause)
    {
    }

    /// @brief Records a part of the answer. @param hasEvent whether the part completed an event
    /// @return whether the stream makes progress
    bool onPart(std::size_t bytes, bool hasEvent, TimePoint now)
    {
        if (hasEvent || !m_lastEventAt) {
            m_lastEventAt = now;
            m_bytesSinceEvent = 0;
        }
        m_bytesSinceEvent += hasEvent ? 0 : bytes;
        return m_bytesSinceEvent <= maximumBytesPerEvent && now <= *m_lastEventAt + m_maximumPause;
    }

private:
    Duration m_maximumPause;
    std::optional<TimePoint> m_lastEventAt;
    std::size_t m_bytesSinceEvent = 0;
};

} // namespace cicadalb
