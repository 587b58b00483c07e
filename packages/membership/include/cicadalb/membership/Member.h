#pragma once

#include "cicadalb/base/Identifier.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// What a host knows of another host.

namespace cicadalb {

/// @brief Lost: its suspicion was not refuted in time. Left: it said so itself.
enum class MemberState : std::uint8_t { Alive,
    Suspect,
    Lost,
    Left };

std::string_view name(MemberState) noexcept;

/// @brief What a host tells about itself when it starts.
struct MemberDetails {
    FailureDomain failureDomain;
    /// Relative size.
    double weight = 1.0;
    /// IP number of all its ports.
    std::string address;
    std::uint16_t membershipPort = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t adminPort = 0;
    bool operator==(const MemberDetails&) const = default;
};

struct Member {
    HostId id;
    /// Rises with each life of the process and each refuted suspicion.
    Incarnation incarnation = 0;
    MemberState state = MemberState::Alive;
    MemberDetails details;
    /// Highest accepted configuration that the host was heard to hold.
    ConfigurationNumber configuration = 0;

    /// @brief Whether the host takes assignments: alive, or suspect and not yet lost.
    bool isPresent() const noexcept { return state == MemberState::Alive || state == MemberState::Suspect; }
};

/// @brief One host's claim about a member, as carried by datagrams.
struct MemberUpdate {
    HostId id;
    Incarnation incarnation = 0;
    /// Alive, Suspect or Left; a lost member travels as an old suspicion.
    MemberState state = MemberState::Alive;
    /// Age of a suspicion.
    std::chrono::milliseconds age { 0 };
    /// Present where the host has started anew or the receiver may not know it.
    std::optional<MemberDetails> details;
};

} // namespace cicadalb
