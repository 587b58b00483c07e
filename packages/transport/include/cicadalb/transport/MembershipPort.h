#pragma once

#include "cicadalb/base/Task.h"
#include "cicadalb/membership/Membership.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

/// @file
/// Membership over UDP: one socket, an authentication code on each datagram.

namespace cicadalb {

struct MembershipPortSettings {
    /// This host. A port of 0 in its details takes any free one.
    Member self;
    /// Shared secret of all hosts.
    std::string secret;
    std::vector<MemberEndpoint> seeds;
    std::uint64_t randomSeed = 0;
    std::chrono::milliseconds tickInterval { 50 };
    MembershipSettings membership;
};

/// @brief What one host knows of the others at one moment.
struct MembershipView {
    /// Rises whenever the assignment changes.
    std::uint64_t version = 0;
    /// All known hosts, this one first.
    std::vector<Member> members;
    /// The hosts that take assignments.
    std::shared_ptr<const Assignment> assignment;
    ConfigurationSource highestConfiguration;
    MembershipCounters counters;
    std::size_t presentCount = 0;

    /// @brief The member called @p id, or null. Complexity: linear.
    const Member* find(const HostId& id) const;
};

/// @brief Called on the port's strand with the state of a member that changed.
using MemberChangeHandler = std::function<void(const Member&)>;

/// @brief Runs Membership on a socket. Thread-safe; works on its own strand.
class MembershipPort {
public:
    MembershipPort(boost::asio::any_io_executor, MembershipPortSettings);
    ~MembershipPort();
    MembershipPort(const MembershipPort&) = delete;
    MembershipPort& operator=(const MembershipPort&) = delete;

    /// @brief Called for each change; set it before start().
    void onChange(MemberChangeHandler);
    /// @brief Binds the socket and starts. Fails with ValueInvalid if the address or port cannot be had.
    Result<void> start();
    /// @brief Port in use, also if 0 was asked for.
    std::uint16_t port() const;
    /// @brief The newest view; never null.
    std::shared_ptr<const MembershipView> view() const;
    /// @brief Tells the others the highest accepted configuration that this host holds.
    void setConfiguration(ConfigurationNumber);
    /// @brief Replaces the addresses that are tried while no other host is known.
    void setSeeds(std::vector<MemberEndpoint>);
    /// @brief Tells the others that this host leaves; returns when they have been told.
    Task<void> leave();
    /// @brief Closes the socket.
    void stop();

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace cicadalb
