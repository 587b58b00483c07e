#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/services/TransactionalStore.h"

#include <chrono>
#include <optional>
#include <string>

/// @file
/// What hosts say to a mirror of the store's records and what it answers: CBOR in HTTP bodies (docs/PROTOCOLS.md).

namespace cicadalb {

/// Path of the mirror's only call, a POST.
inline constexpr std::string_view mirrorPath = "/records";

/// @brief Asks for the records under a prefix that changed.
struct MirrorQuery {
    std::string prefix;
    /// Changes after this revision; nothing: all records.
    std::optional<Revision> after;
    /// How long the mirror may wait for a change.
    std::chrono::milliseconds patience { 0 };
};

struct MirrorReply {
    /// Each record once, as it was last changed.
    WatchResult records;
    /// Whether these are all records under the prefix, so that others are gone.
    bool isSnapshot = false;
    /// Whether a record may be missing only because the store was away a moment ago.
    bool isAfterOutage = false;
    /// Time since the mirror last knew that the store serves it. A change may be missing that is no older.
    std::chrono::milliseconds age { 0 };
};

std::string encodeMirrorQuery(const MirrorQuery&);
/// @brief Errors: RecordInvalid.
Result<MirrorQuery> decodeMirrorQuery(std::string_view body);
std::string encodeMirrorReply(const MirrorReply&);
/// @brief Errors: RecordInvalid.
Result<MirrorReply> decodeMirrorReply(std::string_view body);

} // namespace cicadalb
