#include "ConfigurationClient.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cicadalb {

namespace {

    /// Calls of one edit that may fail before its outcome is given up.
    constexpr unsigned maximumFailures = 12;
    /// Times that a change is made anew after another edit won the race.
    constexpr unsigned maximumRaces = 8;
    /// Tries to record a refusal.
    constexpr unsigned maximumRefusalTries = 4;

    bool isPlatformFailure(ErrorCode code)
    {
        return code >= ErrorCode::NotSent && code <= ErrorCode::LeaseLost;
    }

    /// True if a slot of the history holds the record already, or a later one that came while this operator was paused.
    bool isSlotDone(const std::optional<KeyValueEntry>& slot, const AcceptedConfiguration& record)
    {
        if (!slot)
            return false;
        const auto kept = acceptedConfigurationFromJson(slot->value);
        return kept && kept.value().number >= record.number;
    }

} // namespace

ConfigurationClient::ConfigurationClient(boost::asio::any_io_executor executor, KeyValueService& service, Random& random, std::chrono::milliseconds longestPause)
    : m_executor(std::move(executor))
    , m_service(service)
    , m_random(random)
    , m_longestPause(longestPause)
{
}

Task<Result<std::optional<AcceptedConfiguration>>> ConfigurationClient::present()
{
    auto entry = co_await m_service.read(std::string(acceptedConfigurationKey));
    if (!entry)
        co_return entry.as_failure();
    if (!entry.value())
        co_return std::optional<AcceptedConfiguration>();
    auto record = acceptedConfigurationFromJson(entry.value()->value);
    if (!record)
        co_return record.as_failure();
    co_return std::optional(std::move(record.value()));
}

Task<Result<std::optional<AcceptedConfiguration>>> ConfigurationClient::presentAfterOutage()
{
    auto current = co_await present();
    for (unsigned failures = 0; !current && failures < maximumFailures; ++failures) {
        co_await pause();
        current = co_await present();
    }
    co_return current;
}

Task<Result<std::vector<AcceptedConfiguration>>> ConfigurationClient::history()
{
    auto entries = co_await m_service.list(std::string(configurationHistoryPrefix));
    if (!entries)
        co_return entries.as_failure();
    std::vector<AcceptedConfiguration> records;
    for (const auto& entry : entries.value()) {
        auto record = acceptedConfigurationFromJson(entry.value);
        if (record)
            records.push_back(std::move(record.value()));
    }
    std::sort(records.begin(), records.end(), [](const auto& left, const auto& right) { return left.number > right.number; });
    co_return records;
}

Task<Result<std::vector<RefusedEdit>>> ConfigurationClient::refusedEdits()
{
    auto entry = co_await m_service.read(std::string(refusedEditsKey));
    if (!entry)
        co_return entry.as_failure();
    if (!entry.value())
        co_return std::vector<RefusedEdit>();
    co_return RefusedEdits::fromJson(entry.value()->value).edits();
}

Task<ApplyReport> ConfigurationClient::apply(ConfigurationEdit edit)
{
    auto report = co_await follow(edit);
    co_await recordRefusal(edit, report);
    co_return report;
}

Task<ApplyReport> ConfigurationClient::applyChange(ConfigurationChange change)
{
    for (unsigned race = 1;; ++race) {
        auto current = co_await presentAfterOutage();
        if (!current)
            co_return ApplyReport { ApplyStep::Refused, {}, {}, { current.error() } };
        if (!current.value())
            co_return ApplyReport { ApplyStep::Refused, {}, {}, { Error { ErrorCode::ValueMissing, "no configuration has been accepted yet", {} } } };
        auto edit = change(*current.value());
        if (!edit)
            co_return ApplyReport { ApplyStep::Refused, {}, {}, { edit.error() } };
        auto report = co_await follow(edit.value());
        const bool isRaceLost = report.outcome == ApplyStep::Refused && report.errors.front().code == ErrorCode::BaseOutdated;
        if (!isRaceLost || race == maximumRaces) {
            co_await recordRefusal(edit.value(), report);
            co_return report;
        }
        co_await pause();
    }
}

Task<ApplyReport> ConfigurationClient::follow(ConfigurationEdit edit)
{
    ConfigurationApply course(std::move(edit), maximumFailures);
    while (course.step() == ApplyStep::Read || course.step() == ApplyStep::Write) {
        if (course.step() == ApplyStep::Read)
            co_await read(course);
        else
            co_await write(course);
    }
    co_return ApplyReport { course.step(), course.next(), course.present(), course.errors() };
}

Task<void> ConfigurationClient::read(ConfigurationApply& course)
{
    auto entry = co_await m_service.read(std::string(acceptedConfigurationKey));
    if (!entry) {
        course.readFailed(entry.error());
        co_return co_await pause();
    }
    const auto& found = entry.value();
    course.recordRead(found ? std::optional(StoredRecord { found->value, found->revision }) : std::nullopt);
}

Task<void> ConfigurationClient::write(ConfigurationApply& course)
{
    if (course.present()) {
        auto kept = co_await keepHistory(*course.present());
        if (!kept) {
            course.historyFailed(kept.error());
            co_return co_await pause();
        }
    }
    CompareAndSwap swap;
    swap.key = std::string(acceptedConfigurationKey);
    swap.value = toJson(course.next());
    swap.expected = course.expectedRevision();
    auto written = co_await m_service.compareAndSwap(std::move(swap));
    if (written)
        co_return course.written();
    course.writeFailed(written.error());
    if (course.step() == ApplyStep::Read)
        co_await pause();
}

Task<Result<void>> ConfigurationClient::keepHistory(const AcceptedConfiguration& record)
{
    const auto key = configurationHistoryKey(record.number);
    auto slot = co_await m_service.read(key);
    if (!slot)
        co_return slot.as_failure();
    const auto& found = slot.value();
    if (isSlotDone(found, record))
        co_return success();
    CompareAndSwap swap;
    swap.key = key;
    swap.value = toJson(record);
    swap.expected = found ? found->revision : 0;
    auto written = co_await m_service.compareAndSwap(std::move(swap));
    // A conflict: another operator's edit keeps the same record.
    if (written || written.error().code == ErrorCode::Conflict)
        co_return success();
    co_return written.as_failure();
}

Task<void> ConfigurationClient::recordRefusal(const ConfigurationEdit& edit, const ApplyReport& report)
{
    if (report.outcome != ApplyStep::Refused || isPlatformFailure(report.errors.front().code))
        co_return;
    const auto refusal = refusedEdit(edit.at, edit.author, edit.base, report.errors);
    for (unsigned attempt = 0; attempt < maximumRefusalTries; ++attempt) {
        auto entry = co_await m_service.read(std::string(refusedEditsKey));
        if (entry) {
            const auto& found = entry.value();
            auto list = found ? RefusedEdits::fromJson(found->value) : RefusedEdits();
            const auto& edits = list.edits();
            if (std::find(edits.begin(), edits.end(), refusal) != edits.end())
                co_return;
            list.add(refusal);
            CompareAndSwap swap { std::string(refusedEditsKey), list.toJson(), found ? found->revision : 0, 0 };
            auto written = co_await m_service.compareAndSwap(std::move(swap));
            if (written)
                co_return;
        }
        co_await pause();
    }
}

Task<void> ConfigurationClient::pause()
{
    const auto milliseconds = static_cast<std::int64_t>(randomUnit(m_random) * static_cast<double>(m_longestPause.count()));
    boost::asio::steady_timer timer(m_executor, std::chrono::milliseconds(milliseconds));
    boost::system::error_code error;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
}

} // namespace cicadalb
