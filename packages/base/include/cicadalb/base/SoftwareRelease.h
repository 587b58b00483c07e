#pragma once

#include "cicadalb/base/Identifier.h"

/// @file
/// The software of a target, as far as the continuation of its output elsewhere is concerned.

namespace cicadalb {

/// @brief A version of the software that the targets of a pool run. Versions of different pools are unrelated.
struct SoftwareRelease {
    PoolName pool;
    SoftwareVersion version;

    /// @brief Whether a target with the other release may continue the output of a target with this one. An unknown version is not even
    /// compatible with itself, since two targets that state none may run different software.
    bool isCompatibleWith(const SoftwareRelease& other) const { return !version.isEmpty() && version == other.version && pool == other.pool; }

    bool operator==(const SoftwareRelease&) const = default;
};

} // namespace cicadalb
