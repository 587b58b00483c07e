#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/site/Duties.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

/// @file
/// Messages from hosts to the coordinator about the usage that they have counted, and the stored record of the reports: CBOR (docs/PROTOCOLS.md).

namespace cicadalb {

/// Path of the endpoint, which takes POST requests.
inline constexpr std::string_view usagePath = "/usage-counts";

/// @brief Number of a window of true time.
using UsageWindow = std::uint64_t;
using UsageCounts = std::map<OrganisationName, std::uint64_t>;

/// @brief Counts of one host. Each window in it replaces what the same process has stated for that window with a lower sequence number.
struct UsageMessage {
    HostId host;
    /// Distinguishes the processes that bear the host's name one after the other.
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    std::map<UsageWindow, UsageCounts> windows;
};

struct UsageReply {
    /// Whether the site reports usage at all, so that the coordinator collects counts.
    bool isReporting = false;
    /// Whether the receiver collects counts; if not, the members below are not set.
    bool isCollecting = false;
    /// Number of the collection, which begins without counts.
    Incarnation collection = 0;
    /// Windows up to this one are reported or will be reported as they are; their counts are no longer needed. 0: none.
    UsageWindow closedUpTo = 0;
    /// Shortest time between two messages of a host.
    std::chrono::milliseconds interval { 0 };
};

/// @brief The reports that are fixed. Nothing is reported that is not in this record first.
struct UsageRecord {
    /// The newest window whose report is fixed.
    UsageWindow newest = 0;
    /// Fixed reports that the platform is not known to have accepted.
    std::vector<UsageReport> unsent;
};

std::string encodeUsageMessage(const UsageMessage&);
/// @brief Errors: RecordInvalid.
Result<UsageMessage> decodeUsageMessage(std::string_view body);
std::string encodeUsageReply(const UsageReply&);
/// @brief Errors: RecordInvalid.
Result<UsageReply> decodeUsageReply(std::string_view body);
std::string encodeUsageRecord(const UsageRecord&);
/// @brief Errors: RecordInvalid.
Result<UsageRecord> decodeUsageRecord(std::string_view record);

} // namespace cicadalb
