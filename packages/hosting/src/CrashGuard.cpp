#include "CrashGuard.h"

#include "Pause.h"

#include "cicadalb/base/CborRecord.h"
#include "cicadalb/base/Event.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace cicadalb {

namespace {

    using Json = nlohmann::json;
    using std::chrono::milliseconds;

    constexpr std::string_view reportPrefix = "crashes/reports/";
    constexpr std::string_view harmlessPrefix = "crashes/harmless/";
    constexpr milliseconds writeRetryDelay { 200 };
    /// Fewer crashes make a request a suspect too, but decide nothing.
    constexpr unsigned minimumCrashesPassedOn = 2;
    constexpr std::size_t maximumAnswered = 1024;
    constexpr std::size_t maximumPending = 256;
    constexpr std::size_t maximumRequestsInReport = 64;
    constexpr std::size_t maximumTransactionKeys = 32;

    milliseconds unixNow()
    {
        return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    }

    std::string keyOf(const CrashReport& report)
    {
        return std::string(reportPrefix) + report.target.id.value() + "/" + std::to_string(report.target.startedAt) + "/" + report.host.value();
    }

    std::string encode(const CrashReport& report)
    {
        Json requests = Json::array();
        for (const auto& request : report.requests)
            requests.push_back(request.value());
        return toCbor({ { "target", report.target.id.value() }, { "started-at", report.target.startedAt }, { "host", report.host.value() }, { "at", report.crashedAt.count() }, { "requests", std::move(requests) } });
    }

    Result<CrashReport> decode(std::string_view record)
    {
        return readCbor<CrashReport>(record, "crash report", [](const Json& json) {
            CrashReport report;
            report.target = { TargetId(json.at("target").get<std::string>()), json.at("started-at").get<Incarnation>() };
            report.host = HostId(json.at("host").get<std::string>());
            report.crashedAt = milliseconds(json.at("at").get<std::int64_t>());
            for (const auto& request : json.at("requests"))
                report.requests.emplace(request.get<std::string>());
            return report;
        });
    }

} // namespace

CrashGuard::CrashGuard(boost::asio::any_io_executor executor, TransactionalStore& store, HostId host)
    : m_executor(std::move(executor))
    , m_store(store)
    , m_host(std::move(host))
{
}

std::string CrashGuard::keyPrefix() { return "crashes/"; }

SuspectRequest CrashGuard::suspicion(const RequestFingerprint& request) const
{
    auto result = m_own.suspicion(request);
    const auto merge = [&result](const SuspectRequest& other) {
        result.crashes = std::max(result.crashes, other.crashes);
        result.isBlocked = result.isBlocked || other.isBlocked;
    };
    merge(m_stored.suspicion(request));
    if (const auto found = m_remote.find(request); found != m_remote.end())
        merge(found->second);
    return result;
}

std::vector<SuspectRequest> CrashGuard::knownSuspects() const
{
    auto known = m_list.suspects;
    for (const auto& [request, suspect] : m_remote)
        known.push_back(suspect);
    return known;
}

void CrashGuard::recordCrash(const RegisteredTarget& target, const RequestFingerprint& request)
{
    CrashReport report { { target.id, target.startedAt }, m_host, unixNow(), { request } };
    const auto key = keyOf(report);
    if (!m_pending.contains(key) && m_pending.size() >= maximumPending)
        return;
    m_own.add(report);
    auto& pending = m_pending[key];
    if (pending.report.requests.size() >= maximumRequestsInReport)
        return;
    report.requests.insert(pending.report.requests.begin(), pending.report.requests.end());
    pending.report = std::move(report);
    pending.isChanged = true;
    logEvent(Event::TargetCrashed, { { "target", target.id.value() }, { "started-at", std::to_string(target.startedAt) }, { "request", request.value() }, { "crashes", std::to_string(suspicion(request).crashes) } });
    if (!std::exchange(pending.isWriting, true))
        boost::asio::co_spawn(m_executor, write(key), boost::asio::detached);
}

Task<void> CrashGuard::write(std::string key)
{
    const auto self = shared_from_this();
    while (m_pending.at(key).isChanged) {
        co_await pause(m_executor, reportDelay);
        co_await writeOnce(key);
        if (!m_pending.at(key).isChanged)
            co_await pause(m_executor, ownReportRetention);
    }
    const auto& report = m_pending.at(key).report;
    m_own.remove(report.target, report.host);
    m_pending.erase(key);
}

Task<void> CrashGuard::writeOnce(const std::string& key)
{
    auto& pending = m_pending.at(key);
    pending.isChanged = false;
    Transaction transaction;
    transaction.writes.push_back({ key, encode(pending.report) });
    // Written again after a lost answer, which is harmless: the record holds the whole report.
    const auto written = co_await m_store.commit(std::move(transaction));
    if (written)
        co_return;
    m_pending.at(key).isChanged = true;
    co_await pause(m_executor, writeRetryDelay);
}

Task<void> CrashGuard::refresh()
{
    const auto self = shared_from_this();
    if (!m_needsRefresh || !m_needsRefresh())
        co_return;
    const auto records = co_await m_store.snapshot(keyPrefix(), {});
    // Without the store this host keeps to its own reports.
    if (records)
        applyRecords(records.value(), true);
}

void CrashGuard::recordAnswer(const RequestFingerprint& request)
{
    if (suspicion(request).crashes < minimumCrashesPassedOn || m_answered.contains(request))
        return;
    if (m_answered.size() >= maximumAnswered)
        m_answered.clear();
    m_answered.insert(request);
    m_own.removeRequest(request);
    m_remote.erase(request);
    logEvent(Event::SuspicionWithdrawn, { { "request", request.value() }, { "reason", "a target answered it" } });
    boost::asio::co_spawn(m_executor, writeHarmless(request), boost::asio::detached);
}

Task<void> CrashGuard::writeHarmless(RequestFingerprint request)
{
    const auto self = shared_from_this();
    (void)co_await withdraw(std::move(request));
}

Task<Result<void>> CrashGuard::withdraw(RequestFingerprint request)
{
    Transaction transaction;
    transaction.writes.push_back({ std::string(harmlessPrefix) + request.value(), std::to_string(unixNow().count()) });
    const auto written = co_await m_store.commit(std::move(transaction));
    if (!written)
        co_return written.as_failure();
    co_return success();
}

void CrashGuard::removeStored(const std::string& key)
{
    m_recordTimes.erase(key);
    // The key holds target, start and host, as keyOf() joins them.
    const auto parts = key.substr(std::min(key.size(), reportPrefix.size()));
    const auto hostAt = parts.rfind('/');
    const auto startAt = hostAt == std::string::npos || hostAt == 0 ? std::string::npos : parts.rfind('/', hostAt - 1);
    if (startAt != std::string::npos)
        m_stored.remove({ TargetId(parts.substr(0, startAt)), std::strtoull(parts.c_str() + startAt + 1, nullptr, 10) }, HostId(parts.substr(hostAt + 1)));
}

void CrashGuard::applyRecords(const WatchResult& records, bool isSnapshot)
{
    if (isSnapshot) {
        m_stored.clear();
        m_recordTimes.clear();
    }
    for (const auto& entry : records.entries) {
        if (entry.key.starts_with(harmlessPrefix)) {
            m_stored.setHarmless(RequestFingerprint(entry.key.substr(harmlessPrefix.size())), !entry.isDeleted);
            if (entry.isDeleted)
                m_recordTimes.erase(entry.key);
            else
                m_recordTimes[entry.key] = milliseconds(std::strtoll(entry.value.c_str(), nullptr, 10));
            continue;
        }
        if (entry.isDeleted) {
            removeStored(entry.key);
            continue;
        }
        const auto report = decode(entry.value);
        if (!report) {
            logEvent(Event::RecordIgnored, { { "key", entry.key }, { "revision", std::to_string(entry.revision) }, { "cause", report.error().message } });
            continue;
        }
        m_stored.add(report.value());
        m_recordTimes[entry.key] = report.value().crashedAt;
    }
    if (records.entries.empty() && !isSnapshot)
        return;
    m_list.revision = std::max(m_list.revision, records.revision);
    m_list.suspects = m_stored.suspects(minimumCrashesPassedOn, maximumSuspects);
    for (const auto& suspect : m_list.suspects)
        logBlocked(suspect);
    if (m_changeHandler)
        m_changeHandler();
}

void CrashGuard::applySuspects(const SuspectList& list)
{
    if (list.revision <= m_remoteRevision)
        return;
    m_remoteRevision = list.revision;
    m_remote.clear();
    // Records that refresh() has read are older.
    m_stored.clear();
    for (const auto& suspect : list.suspects) {
        m_remote.emplace(suspect.request, suspect);
        logBlocked(suspect);
    }
}

void CrashGuard::logBlocked(const SuspectRequest& suspect)
{
    if (!suspect.isBlocked) {
        m_loggedAsBlocked.erase(suspect.request);
        return;
    }
    if (m_loggedAsBlocked.insert(suspect.request).second)
        logEvent(Event::RequestBlocked, { { "request", suspect.request.value() }, { "crashes", std::to_string(suspect.crashes) } });
}

Task<void> CrashGuard::deleteExpiredRecords()
{
    const auto self = shared_from_this();
    std::vector<std::pair<milliseconds, std::string>> oldestFirst;
    for (const auto& [key, at] : m_recordTimes)
        oldestFirst.emplace_back(at, key);
    std::sort(oldestFirst.begin(), oldestFirst.end());
    const auto surplus = oldestFirst.size() - std::min(oldestFirst.size(), maximumRecords);
    const auto expired = unixNow() - reportRetention;
    Transaction removal;
    for (std::size_t i = 0; i < oldestFirst.size() && removal.removals.size() < maximumTransactionKeys; ++i) {
        if (i < surplus || oldestFirst[i].first < expired)
            removal.removals.push_back(oldestFirst[i].second);
    }
    // What is not removed now is removed at the next call.
    if (!removal.removals.empty())
        (void)co_await m_store.commit(std::move(removal));
}

} // namespace cicadalb
