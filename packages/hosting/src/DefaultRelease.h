#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/base/SoftwareRelease.h"
#include "cicadalb/site/SiteConfiguration.h"
#include "cicadalb/site/TargetRegistry.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Records of the software that began the streams of callers, so that any host can continue a stream, also after all hosts have restarted.
///
///     streams/defaults/<route>     DefaultRelease of a route, written by the coordinator
///     streams/begun/<id>           release of one stream, by the caller's attempt that received its first event; expires
///     streams/others/<route>/<n>   streams of the route have records of their own; written with the first one under lease n, expires with it
///
/// Records are CBOR.

namespace cicadalb {

inline constexpr std::string_view defaultReleasePrefix = "streams/defaults/";

/// Longest time after its beginning in which a stream is continued. Records of streams are kept at least so long.
inline constexpr std::chrono::minutes longestStream { 7 };

/// @brief The release that began those streams of a route that have no record of their own. While all targets run it, no stream needs a record.
struct DefaultRelease {
    /// An empty version: unknown, so that streams without a record are not continued.
    SoftwareRelease release;
    /// No target runs it any more. All streams get a record, and after longestStream another release can take its place.
    bool isRetired = false;
};

/// @brief What a coordinator knows when it decides on the default release of a route.
struct DefaultReleaseInput {
    /// Empty if the route has none.
    std::optional<DefaultRelease> stored;
    /// Release of each registered target of the route's pools; targets that are draining included.
    std::vector<SoftwareRelease> registered;
    /// Whether the route may have streams without a record already: those that began under another route or at a host of an earlier build.
    bool mayHaveStreams = false;
    /// Time for which the stored release is known to have been retired.
    std::chrono::milliseconds retiredFor { 0 };
};

/// @return the default release to be stored, or nothing if the stored one stays
std::optional<DefaultRelease> nextDefaultRelease(const DefaultReleaseInput&);

/// @brief Releases of the registered targets of a route's pools.
std::vector<SoftwareRelease> registeredReleases(const TargetRegistry&, const SiteRoute&);

std::string defaultReleaseKey(const RouteName&);
std::string streamKey(const RequestId& firstAttempt);
/// @brief Prefix of the records that say that streams of a route began at another release than its default one.
std::string otherReleasesPrefix(const RouteName&);
std::string encodeDefaultRelease(const DefaultRelease&);
/// @brief Errors: RecordInvalid.
Result<DefaultRelease> decodeDefaultRelease(std::string_view record);
std::string encodeStreamRelease(const SoftwareRelease&);
/// @brief Errors: RecordInvalid.
Result<SoftwareRelease> decodeStreamRelease(std::string_view record);

} // namespace cicadalb
