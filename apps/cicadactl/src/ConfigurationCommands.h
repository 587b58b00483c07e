#pragma once

#include "CommandOutcome.h"
#include "ConfigurationClient.h"

#include "cicadalb/config/TableEdit.h"

#include <functional>

/// @file
/// The commands that read or edit the configuration.

namespace cicadalb {

/// @brief Files of both tables.
struct TableFiles {
    std::string routes;
    std::string pools;
};

struct ApplyOptions {
    TableFiles files;
    std::string author;
    std::optional<ConfigurationNumber> base;
    /// As "KIND NAME".
    std::vector<std::string> retired;
    bool allowCapacityLoss = false;
};

struct ShowOptions {
    /// Where to write the tables; printed if empty.
    TableFiles files;
    bool withRefused = false;
};

struct DiffOptions {
    TableFiles files;
    /// Numbers of two records, instead of files.
    std::optional<ConfigurationNumber> from;
    std::optional<ConfigurationNumber> to;
};

struct RetireOptions {
    std::string author;
    /// Kinds and names in turn.
    std::vector<std::string> words;
};

struct DrainOptions {
    std::string author;
    std::string target;
    bool undo = false;
    bool allowCapacityLoss = false;
};

/// @brief Reads both files. Errors: FileUnreadable.
Result<TableTexts> readTables(const TableFiles&);

/// @brief Checks two files without the platform.
CommandOutcome checkCommand(const TableFiles&);

Task<CommandOutcome> applyCommand(ConfigurationClient&, ApplyOptions);
Task<CommandOutcome> showCommand(ConfigurationClient&, ShowOptions);
Task<CommandOutcome> diffCommand(ConfigurationClient&, DiffOptions);
Task<CommandOutcome> historyCommand(ConfigurationClient&);
Task<CommandOutcome> retireCommand(ConfigurationClient&, RetireOptions);
Task<CommandOutcome> drainCommand(ConfigurationClient&, DrainOptions);
/// @brief Runs @p explain on the tables in force.
Task<CommandOutcome> explainCommand(ConfigurationClient&, std::function<CommandOutcome(const Tables&)> explain);

} // namespace cicadalb
