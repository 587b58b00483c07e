#pragma once

#include "UsageCounter.h"

#include "cicadalb/base/Clock.h"

#include <optional>

/// @file
/// When a host sends its usage counts, and to which candidate for coordination.

namespace cicadalb {

struct UsageDeliverySettings {
    HostId host;
    Incarnation incarnation = 0;
    /// Number of processes that may coordinate.
    std::size_t candidateCount = 0;
    /// Index of the candidate that is asked first, so that hosts spread over the candidates.
    std::size_t firstCandidate = 0;
    /// Time after the end of a window at which its report is fixed.
    std::chrono::milliseconds settleTime { 3000 };
};

/// @brief A message to one candidate.
struct UsageCall {
    std::size_t candidate = 0;
    UsageMessage message;
};

/// @brief Sends counts to the coordinator only, since each message costs bytes between failure domains. The coordinator is found by asking the
/// candidates one after the other. A change is sent at once if the last message is as old as the coordinator's interval, which grows with the
/// number of hosts, so that few counts die with a host and the coordinator's load stays bounded. A host keeps the counts of a window until a reply says
/// that the window is closed, and asks for that, so that a new coordinator receives what its predecessor had. Has no clock and no sockets.
class UsageDelivery {
public:
    /// Time after the end of a window by which its host has found out whether the coordinator still has its counts, and has sent the last ones. The
    /// hosts do so at different times of the second half of it.
    static constexpr std::chrono::milliseconds confirmationDelay { 1500 };
    /// Interval between questions whether an overdue window is closed, and between two searches for the coordinator.
    static constexpr std::chrono::milliseconds questionInterval { 1000 };
    /// Interval between two questions whether the site reports usage, after a candidate has denied it.
    static constexpr std::chrono::seconds disabledInterval { 30 };
    /// Delay after a call without a reply.
    static constexpr std::chrono::milliseconds failureDelay { 100 };

    /// @param counter must outlive this object
    UsageDelivery(UsageCounter& counter, UsageDeliverySettings);

    /// @brief The call to be made now, if any. One call is made at a time. @param isLast whether the host is about to stop, so that nothing waits
    std::optional<UsageCall> nextCall(TimePoint now, bool isLast = false);
    void onReply(const UsageCall&, const UsageReply&, TimePoint now);
    /// @brief The candidate did not reply, or not in a known form.
    void onFailure(const UsageCall&, TimePoint now);
    /// @brief Whether the coordinator has all counts.
    bool isDelivered() const { return m_acknowledged == m_counter.sequence(); }
    bool isCalling() const noexcept { return m_isCalling; }

private:
    /// Whether the host has to find out what became of the counts of its oldest window.
    bool hasQuestion() const;
    UsageCall makeCall(std::size_t candidate, bool hasCounts, TimePoint now);
    bool mayHaveLostCounts(const UsageCall& call) const { return call.message.sequence > m_acknowledged; }
    void searchNext(TimePoint now);

    UsageCounter& m_counter;
    UsageDeliverySettings m_settings;
    std::optional<std::size_t> m_coordinator;
    std::optional<Incarnation> m_collection;
    /// Changes up to this one have reached the present collection.
    std::uint64_t m_acknowledged = 0;
    std::chrono::milliseconds m_interval { 0 };
    TimePoint m_sentAt;
    /// When counts may be sent again.
    TimePoint m_nextCountsAt;
    std::chrono::milliseconds m_ownConfirmationDelay;
    WallTime m_repliedAt;
    std::size_t m_nextCandidate;
    std::size_t m_askedInSearch = 0;
    TimePoint m_nextSearchAt;
    /// Whether a candidate has not replied in the present search.
    bool m_hasLostReply = false;
    bool m_isCalling = false;
};

} // namespace cicadalb
