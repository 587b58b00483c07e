#include "cicadalb/transport/UdpMembership.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// Hosts that form one membership over loopback, all on one thread.
struct LoopbackFixture {
    boost::asio::io_context context;
    std::vector<std::unique_ptr<UdpMembership>> hosts;

    UdpMembership& addHost(const std::string& name, const std::string& secret)
    {
        UdpMembershipSettings settings;
        settings.self.id = HostId(name);
        settings.self.incarnation = 1;
        settings.self.details.address = "127.0.0.1";
        settings.secret = secret;
        settings.randomSeed = hosts.size();
        for (const auto& host : hosts)
            settings.seeds.push_back(MemberEndpoint { "127.0.0.1", host->port() });
        hosts.push_back(std::make_unique<UdpMembership>(context.get_executor(), settings));
        REQUIRE(hosts.back()->start());
        return *hosts.back();
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        constexpr std::size_t maximumHandlers = 20000;
        for (std::size_t i = 0; i < maximumHandlers && !condition(); ++i)
            context.run_one_for(1s);
        return condition();
    }

    bool allHaveAssignedHosts(std::size_t count) const
    {
        return std::all_of(hosts.begin(), hosts.end(), [&](const auto& host) { return host->view()->assignment->hosts().size() == count; });
    }
};

} // namespace

TEST_CASE_METHOD(LoopbackFixture, "UDP membership, three hosts that know each other only through seeds, all become members and learn the configuration number")
{
    addHost("a", "secret");
    addHost("b", "secret");
    addHost("c", "secret");
    hosts.front()->setConfiguration(7);
    CHECK(runUntil([&] { return allHaveAssignedHosts(3); }));
    CHECK(runUntil([&] { return hosts.back()->view()->highestConfiguration.number == 7; }));
}

TEST_CASE_METHOD(LoopbackFixture, "UDP membership, a host leaves, the other host sees it as left")
{
    addHost("a", "secret");
    auto& leaving = addHost("b", "secret");
    CHECK(runUntil([&] { return allHaveAssignedHosts(2); }));
    boost::asio::co_spawn(context, leaving.leave(), boost::asio::detached);
    CHECK(runUntil([&] { return hosts.front()->view()->presentCount == 1; }));
    CHECK(hosts.front()->view()->find(HostId("b"))->state == MemberState::Left);
}

TEST_CASE_METHOD(LoopbackFixture, "UDP membership, a host with a different secret, is not admitted")
{
    addHost("a", "secret");
    addHost("b", "other");
    addHost("c", "secret");
    CHECK(runUntil([&] { return hosts[0]->view()->presentCount == 2 && hosts[2]->view()->presentCount == 2; }));
    CHECK(hosts[1]->view()->presentCount == 1);
}
