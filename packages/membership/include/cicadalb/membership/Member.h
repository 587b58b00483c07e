#pragma once

#include "cicadalb/base/Identifier.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// What a host knows about another host.

namespace cicadalb {

/// @brief Lost: the host did not refute a suspicion in time. Left: the host announced that it leaves.
enum class MemberState : std::uint8_t { Alive,
    Suspect,
    Lost,
    Left };

std::string_view name(MemberState) noexcept;

/// @brief What a host announces about itself when it starts.
struct MemberDetails {
    FailureDomain failureDomain;
    /// Relative size; keys are assigned to hosts in proportion to it.
    double weight = 1.0;
    /// IP address of all its ports.
    std::string address;
    std::uint16_t membershipPort = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t adminPort = 0;
    bool operator==(const MemberDetails&) const = default;
};

struct Member {
    HostId id;
    /// Increases with each start of the process and each refuted suspicion.
    Incarnation incarnation = 0;
    MemberState state = MemberState::Alive;
    MemberDetails details;
    /// Highest accepted configuration that the host has announced.
    ConfigurationNumber configuration = 0;

    /// @brief Whether the host takes assignments: alive, or suspect and not yet lost.
    bool isPresent() const noexcept { return state == MemberState::Alive || state == MemberState::Suspect; }
};

/// @brief One host's claim about a member, as carried by datagrams.
struct MemberUpdate {
    HostId id;
    Incarnation incarnation = 0;
    /// Alive, Suspect or Left; a lost member is sent as Suspect with an age beyond the suspicion timeout.
    MemberState state = MemberState::Alive;
    /// Age of a suspicion.
    std::chrono::milliseconds age { 0 };
    /// Set if the host has restarted or the receiver may not know it.
    std::optional<MemberDetails> details;
};

} // namespace cicadalb
