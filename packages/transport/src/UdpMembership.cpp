#include "cicadalb/transport/UdpMembership.h"

#include "cicadalb/base/Event.h"
#include "cicadalb/base/Hash.h"

#include <boost/algorithm/hex.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <mutex>

namespace cicadalb {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

    constexpr std::size_t authenticationCodeBytes = 16;
    constexpr std::size_t largestDatagramBytes = 4096;
    constexpr int receiveBufferBytes = 1 << 20;
    /// How long a leaving host keeps announcing that it leaves.
    constexpr std::chrono::milliseconds leaveAnnouncementTime { 600 };

    using AuthenticationCode = std::array<std::uint8_t, authenticationCodeBytes>;

    std::string_view asStringView(std::span<const std::uint8_t> bytes)
    {
        return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
    }

    AuthenticationCode computeAuthenticationCode(const std::string& secret, std::span<const std::uint8_t> payload)
    {
        const auto hex = hmacHex(secret, asStringView(payload));
        AuthenticationCode authenticationCode {};
        boost::algorithm::unhex(hex.begin(), hex.begin() + 2 * authenticationCodeBytes, authenticationCode.begin());
        return authenticationCode;
    }

    Event eventFor(MemberState state)
    {
        switch (state) {
        case MemberState::Alive:
            return Event::HostJoined;
        case MemberState::Suspect:
            return Event::HostSuspected;
        case MemberState::Lost:
        case MemberState::Left:
            return Event::HostLeft;
        }
        return Event::HostLeft;
    }

} // namespace

const Member* MembershipView::find(const HostId& id) const
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.id == id; });
    return found == members.end() ? nullptr : &*found;
}

class UdpMembership::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(asio::any_io_executor executor, UdpMembershipSettings settings)
        : m_settings(std::move(settings))
        , m_strand(asio::make_strand(executor))
        , m_socket(m_strand)
        , m_timer(m_strand)
    {
    }

    MemberChangeHandler changeHandler;

    Result<void> start()
    {
        auto& details = m_settings.self.details;
        boost::system::error_code error;
        const auto address = asio::ip::make_address(details.address, error);
        if (error)
            return failure(ErrorCode::ValueInvalid, "not an IP address", details.address);
        const udp::endpoint endpoint(address, details.membershipPort);
        m_socket.open(endpoint.protocol(), error);
        if (!error)
            m_socket.bind(endpoint, error);
        if (error)
            return failure(ErrorCode::ValueInvalid, "cannot bind the UDP socket: " + error.message(), details.address + ":" + std::to_string(details.membershipPort));
        m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), error);
        details.membershipPort = m_socket.local_endpoint().port();
        m_membership.emplace(m_settings.self, m_settings.membership, m_settings.randomSeed);
        m_membership->setSeeds(m_settings.seeds);
        publishView();
        asio::co_spawn(m_strand, receive(shared_from_this()), asio::detached);
        asio::co_spawn(m_strand, tick(shared_from_this()), asio::detached);
        return success();
    }

    std::uint16_t port() const { return m_settings.self.details.membershipPort; }

    std::shared_ptr<const MembershipView> view() const
    {
        const std::lock_guard lock(m_viewMutex);
        return m_view;
    }

    template <typename Change>
    void postChange(Change apply)
    {
        asio::post(m_strand, [self = shared_from_this(), apply = std::move(apply)] {
            if (self->m_membership)
                apply(*self->m_membership);
        });
    }

    static Task<void> leave(std::shared_ptr<Implementation> self)
    {
        self->m_membership->leave(std::chrono::steady_clock::now());
        self->flush();
        asio::steady_timer timer(self->m_strand, leaveAnnouncementTime);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }

    asio::any_io_executor executor() const { return m_strand; }
    bool isStarted() const { return m_membership.has_value(); }

    void stop()
    {
        asio::post(m_strand, [self = shared_from_this()] {
            self->m_isStopped = true;
            boost::system::error_code error;
            self->m_socket.close(error);
            self->m_timer.cancel();
        });
    }

private:
    static Task<void> receive(std::shared_ptr<Implementation> self)
    {
        std::vector<std::uint8_t> buffer(largestDatagramBytes);
        udp::endpoint from;
        while (!self->m_isStopped) {
            boost::system::error_code error;
            const auto size = co_await self->m_socket.async_receive_from(asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, error));
            if (error)
                continue;
            self->handleDatagram(std::span<const std::uint8_t>(buffer.data(), size), from);
        }
    }

    static Task<void> tick(std::shared_ptr<Implementation> self)
    {
        while (!self->m_isStopped) {
            self->m_membership->tick(std::chrono::steady_clock::now());
            self->flush();
            boost::system::error_code error;
            self->m_timer.expires_after(self->m_settings.tickInterval);
            co_await self->m_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }

    void handleDatagram(std::span<const std::uint8_t> datagram, const udp::endpoint& from)
    {
        if (datagram.size() <= authenticationCodeBytes)
            return;
        const auto payload = datagram.subspan(authenticationCodeBytes);
        const auto expected = computeAuthenticationCode(m_settings.secret, payload);
        if (!equalConstantTime(asStringView(expected), asStringView(datagram.first(authenticationCodeBytes))))
            return;
        m_membership->receive(MemberEndpoint { from.address().to_string(), from.port() }, payload, std::chrono::steady_clock::now());
        flush();
    }

    /// Sends the protocol's pending datagrams, reports its changes and publishes a new view.
    void flush()
    {
        for (const auto& datagram : m_membership->takeDatagrams())
            send(datagram);
        for (const auto& change : m_membership->takeChanges())
            reportChange(change);
        publishView();
    }

    void send(const OutgoingDatagram& datagram)
    {
        boost::system::error_code error;
        const auto address = asio::ip::make_address(datagram.to.address, error);
        if (error)
            return;
        const auto authenticationCode = computeAuthenticationCode(m_settings.secret, datagram.payload);
        const std::array<asio::const_buffer, 2> parts { asio::buffer(authenticationCode), asio::buffer(datagram.payload) };
        // If the send buffer is full, the datagram is dropped. The protocol tolerates lost datagrams.
        m_socket.non_blocking(true, error);
        m_socket.send_to(parts, udp::endpoint(address, datagram.to.port), 0, error);
    }

    void reportChange(const MembershipChange& change)
    {
        const auto* member = m_membership->find(change.id);
        if (!member)
            return;
        logEvent(eventFor(change.state), { { "host", change.id.value() }, { "state", std::string(name(change.state)) }, { "incarnation", std::to_string(member->incarnation) } });
        if (changeHandler)
            changeHandler(*member);
    }

    void publishView()
    {
        const auto& highest = m_membership->highestConfiguration();
        const auto now = std::chrono::steady_clock::now();
        const bool hasChanged = !m_view || m_view->version != m_membership->version() || m_view->highestConfiguration.number != highest.number;
        if (!hasChanged && now - m_publishedAt < publishInterval)
            return;
        auto view = std::make_shared<MembershipView>();
        view->version = m_membership->version();
        view->members = m_membership->members();
        view->highestConfiguration = highest;
        view->counters = m_membership->counters();
        view->presentCount = m_membership->presentCount();
        if (m_view && m_view->version == view->version)
            view->assignment = m_view->assignment;
        else
            view->assignment = std::make_shared<const Assignment>(m_membership->assignableHosts());
        m_publishedAt = now;
        const std::lock_guard lock(m_viewMutex);
        m_view = std::move(view);
    }

    /// Interval at which a new view is published if neither the assignment nor the highest configuration has changed.
    static constexpr std::chrono::milliseconds publishInterval { 250 };

    UdpMembershipSettings m_settings;
    asio::strand<asio::any_io_executor> m_strand;
    udp::socket m_socket;
    asio::steady_timer m_timer;
    std::optional<Membership> m_membership;
    bool m_isStopped = false;
    TimePoint m_publishedAt;
    mutable std::mutex m_viewMutex;
    std::shared_ptr<const MembershipView> m_view = std::make_shared<MembershipView>(MembershipView { 0, {}, std::make_shared<const Assignment>(std::vector<AssignableHost>()), {}, {}, 0 });
};

UdpMembership::UdpMembership(asio::any_io_executor executor, UdpMembershipSettings settings)
    : m_implementation(std::make_shared<Implementation>(std::move(executor), std::move(settings)))
{
}

UdpMembership::~UdpMembership() { stop(); }

void UdpMembership::setChangeHandler(MemberChangeHandler handler) { m_implementation->changeHandler = std::move(handler); }

Result<void> UdpMembership::start() { return m_implementation->start(); }

std::uint16_t UdpMembership::port() const { return m_implementation->port(); }

std::shared_ptr<const MembershipView> UdpMembership::view() const { return m_implementation->view(); }

void UdpMembership::setConfiguration(ConfigurationNumber number)
{
    m_implementation->postChange([number](Membership& membership) { membership.setConfiguration(number); });
}

void UdpMembership::setSeeds(std::vector<MemberEndpoint> seeds)
{
    m_implementation->postChange([seeds = std::move(seeds)](Membership& membership) { membership.setSeeds(seeds); });
}

Task<void> UdpMembership::leave()
{
    if (!m_implementation->isStarted())
        co_return;
    co_await asio::co_spawn(m_implementation->executor(), Implementation::leave(m_implementation), asio::use_awaitable);
}

void UdpMembership::stop() { m_implementation->stop(); }

} // namespace cicadalb
