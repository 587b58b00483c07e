#pragma once

#include "cicadalb/base/Random.h"
#include "cicadalb/config/ConfigurationApply.h"
#include "cicadalb/config/RefusedEdits.h"
#include "cicadalb/platform/KeyValueService.h"

#include <boost/asio/any_io_executor.hpp>

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

/// @brief Reads and edits the accepted configuration. For one thread.
class ConfigurationClient {
public:
    ConfigurationClient(boost::asio::any_io_executor, KeyValueService&, Random&);

    /// @brief The accepted record, or nothing before the first.
    Task<Result<std::optional<AcceptedConfiguration>>> present();
    /// @brief The replaced records that are still kept, newest first. A record that cannot be read is left out.
    Task<Result<std::vector<AcceptedConfiguration>>> history();
    Task<Result<std::vector<RefusedEdit>>> refusedEdits();
    /// @brief Follows one edit to its outcome. A refusal is also recorded for the hosts' state dumps.
    Task<ApplyReport> apply(ConfigurationEdit);

private:
    Task<void> read(ConfigurationApply&);
    Task<void> write(ConfigurationApply&);
    Task<Result<void>> keepHistory(const AcceptedConfiguration&);
    Task<void> recordRefusal(RefusedEdit);
    Task<void> pause();

    boost::asio::any_io_executor m_executor;
    KeyValueService& m_service;
    Random& m_random;
};

} // namespace cicadalb
