#pragma once

#include "cicadalb/base/Task.h"
#include "cicadalb/membership/Membership.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

/// @file
/// Membership protocol over one UDP socket, with a message authentication code on each datagram.

namespace cicadalb {

struct UdpMembershipSettings {
    /// This host. A membership port of 0 in its details selects any free port.
    Member self;
    /// Shared secret of all hosts.
    std::string secret;
    /// Addresses that are tried while no other host is known.
    std::vector<MemberEndpoint> seeds;
    std::uint64_t randomSeed = 0;
    std::chrono::milliseconds tickInterval { 50 };
    MembershipSettings membership;
};

/// @brief Snapshot of the membership as this host knows it.
struct MembershipView {
    /// Increases whenever the assignment changes.
    std::uint64_t version = 0;
    /// All known hosts, this one first.
    std::vector<Member> members;
    /// Assignment among the hosts that take assignments.
    std::shared_ptr<const Assignment> assignment;
    ConfigurationSource highestConfiguration;
    MembershipCounters counters;
    std::size_t presentCount = 0;

    /// @brief The member called @p id, or null. Complexity: linear.
    const Member* find(const HostId& id) const;
};

/// @brief Called on the strand of UdpMembership with a member whose state changed.
using MemberChangeHandler = std::function<void(const Member&)>;

/// @brief Runs the Membership protocol on a UDP socket. Thread-safe; runs on its own strand.
class UdpMembership {
public:
    UdpMembership(boost::asio::any_io_executor, UdpMembershipSettings);
    ~UdpMembership();
    UdpMembership(const UdpMembership&) = delete;
    UdpMembership& operator=(const UdpMembership&) = delete;

    /// @brief Sets the handler that is called for each change. Call it before start().
    void setChangeHandler(MemberChangeHandler);
    /// @brief Binds the socket and starts the protocol. Errors: ValueInvalid if the address is invalid or the socket cannot be bound.
    Result<void> start();
    /// @brief The UDP port in use; the port that was assigned if the settings say 0.
    std::uint16_t port() const;
    /// @brief The newest snapshot; never null.
    std::shared_ptr<const MembershipView> view() const;
    /// @brief Sets the number of the accepted configuration that this host holds and announces it to the other hosts.
    void setConfiguration(ConfigurationNumber);
    /// @brief Replaces the addresses that are tried while no other host is known.
    void setSeeds(std::vector<MemberEndpoint>);
    /// @brief Announces to the other hosts that this host leaves; returns when the announcements have been sent.
    Task<void> leave();
    /// @brief Closes the socket.
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cicadalb
