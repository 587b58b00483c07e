#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/base/Task.h"

#include <string>

/// @file
/// The platform's weight store, which limits the rate of calls.

namespace cicadalb {

class WeightStore {
public:
    virtual ~WeightStore() = default;

    /// @brief The newest version of @p model. Fails with NameUnknown, NotSent, Unavailable (also when rate-limited) or AnswerInvalid.
    virtual Task<Result<WeightVersion>> latestVersion(std::string model) = 0;
};

} // namespace cicadalb
