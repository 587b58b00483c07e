#pragma once

#include "cicadalb/base/Random.h"
#include "cicadalb/config/ConfigurationApply.h"
#include "cicadalb/config/RefusedEdits.h"
#include "cicadalb/services/KeyValueService.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>

/// @file
/// The operators' side of the configuration in the key-value service.

namespace cicadalb {

/// @brief How an edit ended.
struct ApplyReport {
    /// Accepted, Refused or Unknown.
    ApplyStep outcome = ApplyStep::Unknown;
    /// The accepted record.
    AcceptedConfiguration accepted;
    /// The record before, if any.
    std::optional<AcceptedConfiguration> before;
    Errors errors;
};

/// @brief Makes an edit from the present record.
using ConfigurationChange = std::function<Result<ConfigurationEdit>(const AcceptedConfiguration& present)>;

/// @brief Reads and edits the accepted configuration. For one thread.
class ConfigurationClient {
public:
    ConfigurationClient(boost::asio::any_io_executor, KeyValueService&, Random&, std::chrono::milliseconds longestPause = std::chrono::milliseconds(1000));

    /// @brief The accepted record, or nothing before the first.
    Task<Result<std::optional<AcceptedConfiguration>>> present();
    /// @brief The replaced records that are still kept, newest first. A record that cannot be read is left out.
    Task<Result<std::vector<AcceptedConfiguration>>> history();
    Task<Result<std::vector<RefusedEdit>>> refusedEdits();
    /// @brief Follows one edit to its outcome. A refusal is also recorded for the hosts' state dumps.
    Task<ApplyReport> apply(ConfigurationEdit);
    /// @brief Follows an edit that @p change makes from the present record; made anew when another edit wins the race.
    Task<ApplyReport> applyChange(ConfigurationChange change);

private:
    /// present(), tried again while the service is down, as often as the calls of an edit.
    Task<Result<std::optional<AcceptedConfiguration>>> presentAfterOutage();
    Task<ApplyReport> follow(ConfigurationEdit);
    Task<void> read(ConfigurationApply&);
    Task<void> write(ConfigurationApply&);
    Task<Result<void>> keepHistory(const AcceptedConfiguration&);
    Task<void> recordRefusal(const ConfigurationEdit&, const ApplyReport&);
    Task<void> pause();

    boost::asio::any_io_executor m_executor;
    KeyValueService& m_service;
    Random& m_random;
    /// Longest pause between two calls after a failure.
    std::chrono::milliseconds m_longestPause;
};

} // namespace cicadalb
