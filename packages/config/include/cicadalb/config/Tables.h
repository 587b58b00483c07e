#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/config/Outcome.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// The operators' two tables: routes (which pool serves which callers and trainers) and pools (the targets).

namespace cicadalb {

enum class Priority : std::uint8_t { Interactive,
    Normal,
    Training };

enum class TargetKind : std::uint8_t { PlainService,
    ModelEngine };

/// @brief Whether a target checks the fencing number of an order.
enum class FenceCheck : std::uint8_t { Checked,
    Ignored };

std::string_view name(Priority) noexcept;
std::string_view name(TargetKind) noexcept;
std::string_view name(FenceCheck) noexcept;

/// @brief A caller, identified by the SHA-256 (hex) of its bearer token.
struct Caller {
    CallerName name;
    std::string tokenSha256;
    bool operator==(const Caller&) const = default;
};

/// @brief A trainer, identified by the SHA-256 (hex) of its token, with its share of the engines and its handling of stale samples.
struct Trainer {
    TrainerName name;
    std::string tokenSha256;
    /// Relative share of the engines.
    double share = 1.0;
    /// Largest allowed difference between the trainer's weight version and a sample's oldest version.
    WeightVersion stalenessBound = 1;
    /// Weight of staleness against idle time: 0 counts idle time only, 1 staleness only.
    double stalenessWeight = 0.5;
    bool operator==(const Trainer&) const = default;
};

/// @brief Sends requests with a path prefix to a pool. The route with the longest matching prefix is used.
struct Route {
    RouteName name;
    std::string path;
    /// Empty: every method.
    std::vector<std::string> methods;
    PoolName pool;
    /// Callers that may use the route; empty: every known caller.
    std::vector<CallerName> callers;
    /// Trainers whose steps run on the pool.
    std::vector<TrainerName> trainers;
    /// True if requests are idempotent, so that they may run more than once.
    bool isIdempotent = false;
    Priority priority = Priority::Normal;
    std::chrono::milliseconds timeout { 10000 };
    /// Largest number of retries, in percent of the route's requests.
    unsigned retryPercent = 10;
    bool operator==(const Route&) const = default;
};

/// @brief A model engine or plain service instance.
struct Target {
    TargetId id;
    std::string address;
    std::uint16_t port = 0;
    FailureDomain failureDomain;
    /// True if the target is to receive no new work.
    bool isDraining = false;
    bool operator==(const Target&) const = default;
};

/// @brief Targets of one kind that serve the same routes.
struct Pool {
    PoolName name;
    TargetKind kind = TargetKind::PlainService;
    std::vector<Target> targets;
    /// Name of the model in the weight store; model engines only.
    std::string model;
    FenceCheck fenceCheck = FenceCheck::Ignored;
    /// Smallest share of the targets that must keep serving while weights are swapped, 0 to 1.
    double servingShare = 0.5;
    /// Upper bound of each target's adaptive limit on requests in flight.
    unsigned maximumInFlight = 64;
    bool operator==(const Pool&) const = default;
};

/// @brief Both tables, checked as a whole.
struct Tables {
    std::vector<Caller> callers;
    std::vector<Trainer> trainers;
    std::vector<Route> routes;
    std::vector<Pool> pools;
    bool operator==(const Tables&) const = default;
};

/// Names of the two files in the messages of parseTables.
inline constexpr std::string_view routesFileName = "routes.toml";
inline constexpr std::string_view poolsFileName = "pools.toml";

/// @brief Reads and checks both tables.
/// @param routesText TOML of the routes table; @param poolsText TOML of the pools table
/// @return the tables, or every problem found, each with file, line and column and the nearest known name
/// Complexity: linear in the size of the text, plus a name lookup for each reference; a wrong name is compared to all known ones.
CheckedResult<Tables> parseTables(std::string_view routesText, std::string_view poolsText);

} // namespace cicadalb
