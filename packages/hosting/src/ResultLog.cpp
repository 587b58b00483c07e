#include "ResultLog.h"

#include "cicadalb/submissions/SubmissionRecords.h"

#include <algorithm>

namespace cicadalb {

ResultLog::ResultLog(TransactionalStore& store, SubmissionId id)
    : m_store(store)
    , m_id(std::move(id))
{
}

Task<Result<void>> ResultLog::load()
{
    auto records = co_await m_store.snapshot(resultKeyPrefix(m_id), lastResultSegmentKey(m_id, m_segments));
    if (!records)
        co_return records.as_failure();
    for (const auto& record : records.value().entries) {
        if (record.key != resultSegmentKey(m_id, m_segments))
            continue;
        const auto results = decodeResults(record.value);
        if (!results)
            co_return results.as_failure();
        recordStored(results.value());
        ++m_segments;
    }
    co_return success();
}

void ResultLog::add(SampleResult result)
{
    const bool isPending = std::any_of(m_pending.begin(), m_pending.end(), [&](const auto& pending) { return pending.item == result.item; });
    if (!isPending && !m_stored.contains(result.item))
        m_pending.push_back(std::move(result));
}

std::vector<SampleResult> ResultLog::nextSegment() const
{
    std::vector<SampleResult> segment;
    std::size_t bytes = 0;
    for (const auto& result : m_pending) {
        bytes += result.text.size();
        if (!segment.empty() && bytes > maximumSegmentBytes)
            break;
        segment.push_back(result);
    }
    return segment;
}

void ResultLog::recordStored(const std::vector<SampleResult>& results)
{
    for (const auto& result : results)
        m_stored.insert(result.item);
    std::erase_if(m_pending, [this](const auto& pending) { return m_stored.contains(pending.item); });
}

Task<Result<std::size_t>> ResultLog::append()
{
    const auto storedBefore = m_stored.size();
    while (!m_pending.empty()) {
        const auto segment = nextSegment();
        CompareAndSwap write { resultSegmentKey(m_id, m_segments), encodeResults(segment), 0 };
        const auto written = co_await m_store.compareAndSwap(std::move(write));
        if (written) {
            ++m_segments;
            recordStored(segment);
            continue;
        }
        const auto code = written.error().code;
        if (code != ErrorCode::Conflict && code != ErrorCode::OutcomeUnknown)
            co_return written.as_failure();
        // The segment was written by another coordinator, or by an earlier write of this one whose answer was lost.
        const auto segments = m_segments;
        const auto loaded = co_await load();
        if (!loaded)
            co_return loaded.as_failure();
        if (code == ErrorCode::OutcomeUnknown && m_segments == segments)
            co_return failure(ErrorCode::OutcomeUnknown, written.error().message, m_id.value());
    }
    co_return m_stored.size() - storedBefore;
}

} // namespace cicadalb
