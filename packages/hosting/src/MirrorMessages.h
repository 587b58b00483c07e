#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/routing/CrashEvidence.h"
#include "cicadalb/services/TransactionalStore.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Messages between hosts and mirrors of the store's records: CBOR in HTTP bodies (docs/PROTOCOLS.md).

namespace cicadalb {

/// Path of a mirror's only endpoint, which takes POST requests.
inline constexpr std::string_view mirrorPath = "/records";

/// @brief Requests under which targets have crashed, and the revision of the newest record that the list follows from.
struct SuspectList {
    Revision revision = 0;
    std::vector<SuspectRequest> suspects;
};

/// @brief Asks for the changed records under a prefix.
struct MirrorQuery {
    std::string prefix;
    /// Only changes after this revision; empty: all records.
    std::optional<Revision> after;
    /// Longest time that the mirror may wait for a change before it replies.
    std::chrono::milliseconds maximumWait { 0 };
    /// Revision of the suspects that the host has; a newer list is a change too. Empty: none are wanted.
    std::optional<Revision> suspectsAfter {};
    /// Time allowed for the reply beyond maximumWait; not part of the message.
    std::chrono::milliseconds responseTimeout { 250 };
};

struct CoordinationState {
    /// Whether the mirror's process requests the coordinator's lease when it is vacant.
    bool isCandidate = true;
    /// Address, as "IP:PORT", at which hosts reach the process that coordinates; empty if none is known.
    std::string coordinatorAddress {};
};

struct MirrorReply {
    /// Each record once, in its latest state.
    WatchResult records;
    /// Whether these are all records under the prefix; any other record has been deleted.
    bool isSnapshot = false;
    /// Time for which a missing record may still return, since it may have lapsed while the store was unavailable; zero: it is gone.
    std::chrono::milliseconds mayReturnWithin { 0 };
    /// Time since the records were known to be complete, by an answer of the store to the mirror's own watch. Changes made since then may be missing.
    std::chrono::milliseconds age { 0 };
    /// Time for which the mirror waited for a change before it replied.
    std::chrono::milliseconds waited { 0 };
    /// Set if it is newer than the host's.
    std::optional<SuspectList> suspects {};
    CoordinationState coordination {};
};

std::string encodeMirrorQuery(const MirrorQuery&);
/// @brief Errors: RecordInvalid.
Result<MirrorQuery> decodeMirrorQuery(std::string_view body);
std::string encodeMirrorReply(const MirrorReply&);
/// @brief Errors: RecordInvalid.
Result<MirrorReply> decodeMirrorReply(std::string_view body);

} // namespace cicadalb
