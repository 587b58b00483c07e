#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/base/Task.h"

#include <string>
#include <vector>

/// @file
/// The platform's list of live and leaving machines. It may be out of date.

namespace cicadalb {

enum class HostState : std::uint8_t { Live,
    Leaving };

/// @brief One entry of the list: an entry host or the machine of a target, identified by its name.
struct ListedHost {
    std::string name;
    std::string address;
    FailureDomain failureDomain;
    HostState state = HostState::Live;
};

class HostList {
public:
    virtual ~HostList() = default;
    virtual Task<Result<std::vector<ListedHost>>> hosts() = 0;
};

} // namespace cicadalb
