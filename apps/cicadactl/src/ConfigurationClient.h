#pragma once

#include "cicadalb/base/Random.h"
#include "cicadalb/config/EditStateMachine.h"
#include "cicadalb/config/RefusedEdits.h"
#include "cicadalb/services/KeyValueService.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>

/// @file
/// Client with which operators read and edit the configuration in the key-value service.

namespace cicadalb {

/// @brief Result of an edit.
struct ApplyResult {
    /// One of Accepted, Refused and Unknown.
    EditState outcome = EditState::Unknown;
    /// The record in force after the edit; valid only if the outcome is Accepted.
    AcceptedConfiguration accepted;
    /// The record last read, if any: the one that the edit replaced or, if nothing had to be written, the one in force.
    std::optional<AcceptedConfiguration> previous;
    Errors errors;
};

/// @brief Makes an edit that is based on the current record.
using EditFactory = std::function<Result<ConfigurationEdit>(const AcceptedConfiguration& current)>;

/// @brief Reads and edits the accepted configuration. Not thread-safe.
class ConfigurationClient {
public:
    ConfigurationClient(boost::asio::any_io_executor, KeyValueService&, Random&, std::chrono::milliseconds maximumBackoff = std::chrono::milliseconds(1000));

    /// @brief The accepted record, or nothing if no configuration has been accepted yet.
    Task<Result<std::optional<AcceptedConfiguration>>> currentRecord();
    /// @brief The replaced records that are still stored, newest first. Records that cannot be parsed are left out.
    Task<Result<std::vector<AcceptedConfiguration>>> history();
    Task<Result<std::vector<RefusedEdit>>> refusedEdits();
    /// @brief Applies one edit. A refusal is also stored in the service, from where the hosts show it in their state dumps.
    Task<ApplyResult> apply(ConfigurationEdit);
    /// @brief Applies the edit that @p makeEdit returns for the current record. If another edit is accepted first, calls @p makeEdit again
    /// with the new record.
    Task<ApplyResult> applyWithRetries(EditFactory makeEdit);

private:
    /// currentRecord(), retried after errors as often as an edit tolerates failed calls.
    Task<Result<std::optional<AcceptedConfiguration>>> currentRecordWithRetries();
    Task<ApplyResult> runToCompletion(ConfigurationEdit);
    Task<void> readRecord(EditStateMachine&);
    Task<void> writeRecord(EditStateMachine&);
    Task<Result<void>> storeInHistory(const AcceptedConfiguration&);
    Task<void> storeRefusal(const ConfigurationEdit&, const ApplyResult&);
    Task<void> waitForBackoff();

    boost::asio::any_io_executor m_executor;
    KeyValueService& m_service;
    Random& m_random;
    /// Upper bound of the random wait after a failed call or a conflict.
    std::chrono::milliseconds m_maximumBackoff;
};

} // namespace cicadalb
