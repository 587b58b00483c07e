#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/site/OrganisationKeys.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// @file
/// Which refusals of keys are logged.

namespace cicadalb {

/// @brief What a line about a refused key states.
struct KeyRefusal {
    /// Beginning of the key's digest; empty: the request came without a key that can be looked up.
    std::string digest;
    KeyDecision decision = KeyDecision::Unknown;
    /// Version of the configuration that decided.
    std::uint64_t configuration = 0;
    auto operator<=>(const KeyRefusal&) const = default;
};

/// @brief Limits the log lines of refused keys, so that a caller with a wrong key cannot fill the log: the first refusal of a key is logged at once,
/// later ones with the same cause are counted in at most one line an interval. Counts that no later refusal follows stay out of the log; the metric has
/// them. Load: a lookup among at most maximumKeys entries. Bound to one event loop.
class KeyRefusalLog {
public:
    static constexpr std::chrono::seconds interval { 10 };
    /// Keys that have lines of their own in an interval; callers may send any number of different ones.
    static constexpr std::size_t maximumKeys = 32;

    struct Line {
        /// Refusals since the line before, with this one.
        std::uint64_t requests = 0;
        /// Whether the line also counts refusals of other keys, which have no lines of their own.
        bool isOfSeveralKeys = false;
    };

    /// @return the line to log for this refusal, if any
    std::optional<Line> note(const KeyRefusal&, TimePoint now);

private:
    struct Entry {
        std::optional<TimePoint> loggedAt;
        std::uint64_t unlogged = 0;
    };

    static bool isOld(const Entry& entry, TimePoint now) { return entry.loggedAt && now >= *entry.loggedAt + interval; }
    static std::optional<Line> count(Entry&, bool isOfSeveralKeys, TimePoint now);

    std::map<KeyRefusal, Entry> m_entries;
    Entry m_others;
};

} // namespace cicadalb
