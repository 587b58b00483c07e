#pragma once

#include "Coordination.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <vector>

/// @file
/// What a host of a site knows of the site, for operators.

namespace cicadalb {

struct OrganisationState {
    OrganisationName name;
    /// Nothing: the priority of the route.
    std::optional<unsigned> priority;
    std::size_t keys = 0;
};

struct CoordinatorState {
    LeaseHolder holder;
    /// Time since it began; known to the coordinator itself only.
    std::optional<Duration> coordinatingFor;
};

/// @brief Work of the coordinator.
struct WorkState {
    std::size_t submissions = 0;
    std::size_t running = 0;
    std::size_t waiting = 0;
    bool isPlacementPaused = false;
};

struct PermitState {
    bool isGranting = false;
    bool hasCoordinator = false;
    std::size_t askingHosts = 0;
    std::size_t limitedTargets = 0;
};

/// @brief Usage reports of the coordinator.
struct UsageState {
    std::optional<SentUsageReport> last;
    std::size_t waitingReports = 0;
};

/// @brief One view of the site; every host has its own. Members that a host cannot know are empty.
struct SiteState {
    /// 0: none yet.
    std::uint64_t configuration = 0;
    std::optional<Duration> configurationAge;
    std::vector<OrganisationState> organisations;
    std::optional<CoordinatorState> coordinator;
    std::optional<WorkState> work;
    PermitState permits;
    std::optional<UsageState> usage;
    bool isUsageDelivered = true;
    /// Nothing if this process orders no engines.
    std::optional<std::vector<EngineOrder>> orders;
};

/// @param coordination null: this process is no candidate for coordination
SiteState observeSite(const SiteDirectory&, const RequestPermits&, const Coordination* coordination, bool isUsageDelivered);

/// @brief The state as JSON (docs/PROTOCOLS.md). Organisations' keys are counted only.
nlohmann::json toJson(const SiteState&);

} // namespace cicadalb
