#pragma once

#include "CommandOutcome.h"
#include "ConfigurationClient.h"

#include "cicadalb/config/TableEdit.h"

#include <functional>

/// @file
/// The commands that read or edit the configuration.

namespace cicadalb {

/// @brief Paths of the routes file and the pools file.
struct TableFiles {
    std::string routes;
    std::string pools;
};

struct ApplyOptions {
    TableFiles files;
    std::string author;
    /// Number of the configuration that the edit is based on; if empty, based-on in the routes file.
    std::optional<ConfigurationNumber> baseNumber;
    /// Entries to remove, each as "KIND NAME".
    std::vector<std::string> retired;
    bool allowCapacityLoss = false;
};

struct ShowOptions {
    /// Files to write the tables to; if empty, the tables are printed.
    TableFiles files;
    /// True if the refused edits are shown instead of the tables.
    bool showsRefusedEdits = false;
};

struct DiffOptions {
    TableFiles files;
    /// Numbers of two records to compare; used if no files are given.
    std::optional<ConfigurationNumber> fromNumber;
    std::optional<ConfigurationNumber> toNumber;
};

struct RetireOptions {
    std::string author;
    /// Alternating kinds and names, as in "route", "old-lookup".
    std::vector<std::string> kindsAndNames;
};

struct DrainOptions {
    std::string author;
    std::string target;
    bool isUndo = false;
    bool allowCapacityLoss = false;
};

/// @brief Reads both files. Errors: FileUnreadable.
Result<TableTexts> readTables(const TableFiles&);

/// @brief Checks the files without a connection to the key-value service.
CommandOutcome checkCommand(const TableFiles&);

Task<CommandOutcome> applyCommand(ConfigurationClient&, ApplyOptions);
Task<CommandOutcome> showCommand(ConfigurationClient&, ShowOptions);
Task<CommandOutcome> diffCommand(ConfigurationClient&, DiffOptions);
Task<CommandOutcome> historyCommand(ConfigurationClient&);
Task<CommandOutcome> retireCommand(ConfigurationClient&, RetireOptions);
Task<CommandOutcome> drainCommand(ConfigurationClient&, DrainOptions);
/// @brief Calls @p explain with the tables in force and returns its outcome.
Task<CommandOutcome> explainCommand(ConfigurationClient&, std::function<CommandOutcome(const Tables&)> explain);

} // namespace cicadalb
