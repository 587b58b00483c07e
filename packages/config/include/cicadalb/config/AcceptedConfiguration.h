#pragma once

#include "cicadalb/config/Tables.h"

/// @file
/// The record that is in force: both tables under one number.

namespace cicadalb {

/// @brief A configuration that has been accepted. Hosts run only these, by rising number.
struct AcceptedConfiguration {
    ConfigurationNumber number = 0;
    std::string routesText;
    std::string poolsText;
    /// The operator who applied it.
    std::string author;
    /// Seconds since the epoch.
    std::int64_t acceptedAt = 0;
    /// Names retired with this configuration, as "route NAME" or "pool NAME".
    std::vector<std::string> retired;
    Tables tables;
};

/// Key of the accepted record in the key-value service.
inline constexpr std::string_view acceptedConfigurationKey = "cicadalb/configuration/accepted";

/// @brief JSON text of the record as kept in the key-value service (the parsed tables are left out).
std::string toJson(const AcceptedConfiguration&);

/// @brief Reads a record and parses its tables.
Result<AcceptedConfiguration> acceptedConfigurationFromJson(std::string_view json);

} // namespace cicadalb
