#pragma once

#include "cicadalb/config/RefusedEdits.h"
#include "cicadalb/membership/Member.h"
#include "cicadalb/rollout/StepCoordinator.h"
#include "cicadalb/services/ClaimLog.h"
#include "cicadalb/services/RateLimitedKeyValueService.h"
#include "cicadalb/transport/SharedPoolBalancer.h"

#include <nlohmann/json.hpp>

#include <vector>

/// @file
/// Parts of a host's state as JSON, for the /state page of the admin port.

namespace cicadalb {

nlohmann::json toReport(const SharedPoolBalancer&);
nlohmann::json toReport(const std::vector<Member>&);
nlohmann::json toReport(const std::vector<RefusedEdit>&);
nlohmann::json toReport(const std::vector<StepProgress>&);
nlohmann::json toReport(const ClaimLogCounters&);
nlohmann::json toReport(const CallLimiterState&);

} // namespace cicadalb
