#include "SampleRunner.h"

#include "cicadalb/submissions/SubmissionRecords.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <exception>

/// @file
/// What SampleRunner knows of the ends of submissions, and whether it may send on that knowledge.

namespace cicadalb {

namespace asio = boost::asio;

namespace {

    /// Interval at which the ends are read while the watch proves nothing.
    constexpr std::chrono::milliseconds endCheckInterval { 500 };

} // namespace

struct SampleRunner::EndCheck {
    TimePoint requestedAt;
    std::uint64_t openings = 0;
    std::size_t pendingReads = 0;
    bool hasFailed = false;
};

std::optional<TimePoint> SampleRunner::endsKnownAsOf() const
{
    const auto completeAsOf = m_watch ? m_watch->completeAsOf() : std::nullopt;
    return std::max(completeAsOf, m_endsCheckedAsOf);
}

std::optional<Duration> SampleRunner::recordAge() const
{
    const auto knownAsOf = endsKnownAsOf();
    return knownAsOf ? std::optional(m_clock.now() - *knownAsOf) : std::nullopt;
}

PlacementPermission SampleRunner::sendPermission() const
{
    return m_placementGate.permission(endsKnownAsOf(), m_clock.now());
}

std::function<bool()> SampleRunner::sendCondition(TimePoint begunAt, SendRecord& record) const
{
    return [this, begunAt, &record] {
        if (sendPermission() != PlacementPermission::Granted)
            return false;
        record = { m_clock.now() - begunAt, recordAge() };
        return true;
    };
}

bool SampleRunner::shouldCheckEnds(TimePoint now) const
{
    const auto maximumAge = m_placementGate.endCheckAge();
    const auto age = recordAge();
    const bool isOld = !age || *age >= maximumAge;
    return maximumAge > Duration::zero() && isOld && !m_isCheckingEnds && now >= m_nextEndCheckAt && !m_openSubmissions.empty();
}

void SampleRunner::checkEnds()
{
    const auto check = std::make_shared<EndCheck>(EndCheck { m_clock.now(), m_openings, m_openSubmissions.size() });
    m_isCheckingEnds = true;
    m_nextEndCheckAt = check->requestedAt + endCheckInterval;
    // A read that is answered at once closes its submission before the next one begins.
    const auto submissions = m_openSubmissions;
    for (const auto& [id, entry] : submissions)
        asio::co_spawn(m_executor, readEnd(id, check), asio::detached);
}

Task<void> SampleRunner::readEnd(SubmissionId id, std::shared_ptr<EndCheck> check)
{
    const auto self = shared_from_this();
    Result<std::optional<KeyValueEntry>> record = failure(ErrorCode::Unavailable, "not read");
    try {
        record = co_await m_store.read(endKey(id));
    } catch (const std::exception& error) {
        record = failure(ErrorCode::Unavailable, error.what());
    }
    if (m_isStopped)
        co_return;
    check->hasFailed = check->hasFailed || !record;
    if (record && record.value())
        applyEnd(id, record.value()->revision);
    if (--check->pendingReads > 0)
        co_return;
    m_isCheckingEnds = false;
    // A submission that was opened meanwhile was not read.
    if (!check->hasFailed && check->openings == m_openings)
        m_endsCheckedAsOf = check->requestedAt;
    schedulePlacement();
}

void SampleRunner::applyEnd(const SubmissionId& id, Revision revision)
{
    m_storedSubmissions[id].isEnded = true;
    close(id, "ended by its trainer", revision);
}

void SampleRunner::stopRun(const ItemKey& key)
{
    if (const auto call = m_rewardCalls.find(key); call != m_rewardCalls.end())
        call->second->cancel();
    const auto found = m_runs.find(key);
    if (found == m_runs.end())
        return;
    const auto run = found->second;
    m_runs.erase(found);
    run->cancellation->cancel();
}

} // namespace cicadalb
