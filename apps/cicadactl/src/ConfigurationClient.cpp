#include "ConfigurationClient.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace cicadalb {

namespace {

    /// Failed calls to the key-value service that one edit tolerates.
    constexpr unsigned maximumFailedCalls = 12;
    /// Attempts to apply an edit that conflicts with the edits of other operators.
    constexpr unsigned maximumEditAttempts = 8;
    /// Attempts to store a refusal; storing it is best effort.
    constexpr unsigned maximumRefusalWriteAttempts = 4;

    bool isServiceError(ErrorCode code)
    {
        return code >= ErrorCode::NotSent && code <= ErrorCode::LeaseLost;
    }

    /// True if a slot of the history holds the record already, or a newer one that another operator stored in the meantime.
    bool holdsRecordOrNewer(const std::optional<KeyValueEntry>& slot, const AcceptedConfiguration& record)
    {
        if (!slot)
            return false;
        const auto stored = acceptedConfigurationFromJson(slot->value);
        return stored && stored.value().number >= record.number;
    }

} // namespace

ConfigurationClient::ConfigurationClient(boost::asio::any_io_executor executor, KeyValueService& service, Random& random, std::chrono::milliseconds maximumBackoff)
    : m_executor(std::move(executor))
    , m_service(service)
    , m_random(random)
    , m_maximumBackoff(maximumBackoff)
{
}

Task<Result<std::optional<AcceptedConfiguration>>> ConfigurationClient::currentRecord()
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

Task<Result<std::optional<AcceptedConfiguration>>> ConfigurationClient::currentRecordWithRetries()
{
    auto current = co_await currentRecord();
    for (unsigned failures = 0; !current && failures < maximumFailedCalls; ++failures) {
        co_await waitForBackoff();
        current = co_await currentRecord();
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

Task<ApplyResult> ConfigurationClient::apply(ConfigurationEdit edit)
{
    auto result = co_await runToCompletion(edit);
    co_await storeRefusal(edit, result);
    co_return result;
}

Task<ApplyResult> ConfigurationClient::applyWithRetries(EditFactory makeEdit)
{
    for (unsigned attempt = 1;; ++attempt) {
        auto current = co_await currentRecordWithRetries();
        if (!current)
            co_return ApplyResult { EditState::Refused, {}, {}, { current.error() } };
        if (!current.value())
            co_return ApplyResult { EditState::Refused, {}, {}, { Error { ErrorCode::ValueMissing, "no configuration has been accepted yet", {} } } };
        auto edit = makeEdit(*current.value());
        if (!edit)
            co_return ApplyResult { EditState::Refused, {}, {}, { edit.error() } };
        auto result = co_await runToCompletion(edit.value());
        const bool isConflict = result.outcome == EditState::Refused && result.errors.front().code == ErrorCode::BaseOutdated;
        if (!isConflict || attempt == maximumEditAttempts) {
            co_await storeRefusal(edit.value(), result);
            co_return result;
        }
        co_await waitForBackoff();
    }
}

Task<ApplyResult> ConfigurationClient::runToCompletion(ConfigurationEdit edit)
{
    EditStateMachine machine(std::move(edit), maximumFailedCalls);
    while (machine.state() == EditState::Read || machine.state() == EditState::Write) {
        if (machine.state() == EditState::Read)
            co_await readRecord(machine);
        else
            co_await writeRecord(machine);
    }
    co_return ApplyResult { machine.state(), machine.next(), machine.current(), machine.errors() };
}

Task<void> ConfigurationClient::readRecord(EditStateMachine& machine)
{
    auto entry = co_await m_service.read(std::string(acceptedConfigurationKey));
    if (!entry) {
        machine.onReadFailed(entry.error());
        co_return co_await waitForBackoff();
    }
    const auto& found = entry.value();
    machine.onRecordRead(found ? std::optional(StoredRecord { found->value, found->revision }) : std::nullopt);
}

Task<void> ConfigurationClient::writeRecord(EditStateMachine& machine)
{
    if (machine.current()) {
        auto stored = co_await storeInHistory(*machine.current());
        if (!stored) {
            machine.onHistoryFailed(stored.error());
            co_return co_await waitForBackoff();
        }
    }
    CompareAndSwap swap;
    swap.key = std::string(acceptedConfigurationKey);
    swap.value = toJson(machine.next());
    swap.expected = machine.expectedRevision();
    auto written = co_await m_service.compareAndSwap(std::move(swap));
    if (written)
        co_return machine.onWritten();
    machine.onWriteFailed(written.error());
    if (machine.state() == EditState::Read)
        co_await waitForBackoff();
}

Task<Result<void>> ConfigurationClient::storeInHistory(const AcceptedConfiguration& record)
{
    const auto key = configurationHistoryKey(record.number);
    auto slot = co_await m_service.read(key);
    if (!slot)
        co_return slot.as_failure();
    const auto& found = slot.value();
    if (holdsRecordOrNewer(found, record))
        co_return success();
    CompareAndSwap swap;
    swap.key = key;
    swap.value = toJson(record);
    swap.expected = found ? found->revision : 0;
    auto written = co_await m_service.compareAndSwap(std::move(swap));
    // On a conflict another operator has stored the same record.
    if (written || written.error().code == ErrorCode::Conflict)
        co_return success();
    co_return written.as_failure();
}

Task<void> ConfigurationClient::storeRefusal(const ConfigurationEdit& edit, const ApplyResult& result)
{
    if (result.outcome != EditState::Refused || isServiceError(result.errors.front().code))
        co_return;
    const auto refusal = makeRefusedEdit(edit.submittedAt, edit.author, edit.baseNumber, result.errors);
    for (unsigned attempt = 0; attempt < maximumRefusalWriteAttempts; ++attempt) {
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
        co_await waitForBackoff();
    }
}

Task<void> ConfigurationClient::waitForBackoff()
{
    const auto waitMs = static_cast<std::int64_t>(randomUnit(m_random) * static_cast<double>(m_maximumBackoff.count()));
    boost::asio::steady_timer timer(m_executor, std::chrono::milliseconds(waitMs));
    boost::system::error_code error;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
}

} // namespace cicadalb
