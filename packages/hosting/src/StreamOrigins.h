#pragma once

#include "cicadalb/base/SoftwareRelease.h"

#include <deque>
#include <map>
#include <optional>

/// @file
/// The software that began the streams that this host has passed on to callers.

namespace cicadalb {

/// @brief Remembers the most recent streams, each by the id of the caller's attempt that received its first event. Not thread-safe.
class StreamOrigins {
public:
    static constexpr std::size_t maximumStreams = 20000;

    void record(const RequestId& firstAttempt, const SoftwareRelease&);
    /// @return the software that began the stream, or nothing if this host does not know it
    std::optional<SoftwareRelease> find(const RequestId& firstAttempt) const;

private:
    std::map<RequestId, SoftwareRelease> m_releases;
    /// Keys of m_releases in the order in which they were recorded.
    std::deque<RequestId> m_recorded;
};

} // namespace cicadalb
