#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/submissions/Submission.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

/// @file
/// The prompts that engines are reading, and what another one costs the runs beside it.

namespace cicadalb {

/// @brief Prompts under way at one engine. A prompt is under way from its placement to its first event. Answers a load of long and short
/// prompts on the same engines: an engine reads prompts between the tokens of its running texts, so that a long one delays the first event of all
/// prompts behind it and each event of the texts beside it. Not thread-safe.
class PrefillLoad {
public:
    /// Prompts with at least this many unread tokens show the reading speed of an engine; the time to the first event of those below
    /// is mostly something else.
    static constexpr std::uint64_t minimumMeasuredTokens = 2048;
    /// Shared parts that an engine is believed to keep.
    static constexpr std::size_t rememberedParts = 64;

    /// @brief Counts a prompt as under way.
    void begin(std::uint64_t run, const Prompt&, TimePoint now);
    /// @brief Ends the reading of a prompt with the first event of its run.
    void finish(std::uint64_t run, TimePoint now);
    /// @brief Ends the reading of a prompt whose run ended without an event.
    void abandon(std::uint64_t run);
    /// @brief Forgets the shared parts, after a restart of the engine or a change of its weights.
    void forgetParts();

    /// @brief Tokens of a prompt that the engine has to read, as far as is known.
    std::uint64_t unreadTokens(const Prompt&) const;
    bool isSpeedKnown() const noexcept { return m_secondsPerToken.has_value(); }
    /// @brief Time to read this many tokens; zero while the engine's speed is not known.
    Duration readingTime(std::uint64_t tokens) const;
    /// @brief Time until the prompts under way are read.
    Duration timeUntilRead(TimePoint now) const;
    bool isReading() const noexcept { return !m_underWay.empty(); }

private:
    struct UnderWay {
        std::uint64_t tokens = 0;
        TimePoint begunAt;
        /// Parts that the engine keeps once it has read the prompt; not the last one, which is the prompt's own.
        std::vector<std::uint64_t> sharedParts {};
        /// Whether no other prompt was under way at any time, so that the time to the first event shows the reading speed.
        bool isAlone = true;
    };

    void remember(std::uint64_t part);

    std::map<std::uint64_t, UnderWay> m_underWay;
    /// Newest last.
    std::list<std::uint64_t> m_partOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_parts;
    /// Moving averages; empty if not measured.
    std::optional<double> m_secondsToFirstEvent;
    std::optional<double> m_secondsPerToken;
};

/// @brief Limit on the reading that an engine may have before it.
struct PrefillBound {
    /// Reading time at one engine that leaves short prompts their aim; zero: no limit.
    Duration maximum {};

    /// @brief Bound for requests whose first event is wanted within @p aim.
    static PrefillBound forAim(Duration aim);
    /// @brief Whether an engine may take a prompt now. One that reads nothing may always, so that the longest prompt begins somewhere.
    bool admits(const PrefillLoad&, std::uint64_t unreadTokens, TimePoint now) const;
};

} // namespace cicadalb
