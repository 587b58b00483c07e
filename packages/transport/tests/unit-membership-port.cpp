#include "cicadalb/transport/MembershipPort.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// Hosts of one fleet on loopback, all on one thread.
struct LoopbackFixture {
    boost::asio::io_context context;
    std::vector<std::unique_ptr<MembershipPort>> ports;

    MembershipPort& addHost(const std::string& name, const std::string& secret)
    {
        MembershipPortSettings settings;
        settings.self.id = HostId(name);
        settings.self.incarnation = 1;
        settings.self.details.address = "127.0.0.1";
        settings.secret = secret;
        settings.randomSeed = ports.size();
        for (const auto& port : ports)
            settings.seeds.push_back(MemberEndpoint { "127.0.0.1", port->port() });
        ports.push_back(std::make_unique<MembershipPort>(context.get_executor(), settings));
        REQUIRE(ports.back()->start());
        return *ports.back();
    }

    template <typename Condition>
    bool reaches(Condition condition)
    {
        constexpr std::size_t handlers = 20000;
        for (std::size_t i = 0; i < handlers && !condition(); ++i)
            context.run_one_for(1s);
        return condition();
    }

    bool allSee(std::size_t count) const
    {
        return std::all_of(ports.begin(), ports.end(), [&](const auto& port) { return port->view()->assignment->hosts().size() == count; });
    }
};

} // namespace

TEST_CASE_METHOD(LoopbackFixture, "membership port, three hosts with one seed, find each other and learn the configuration number")
{
    addHost("a", "secret");
    addHost("b", "secret");
    addHost("c", "secret");
    ports.front()->setConfiguration(7);
    CHECK(reaches([&] { return allSee(3); }));
    CHECK(reaches([&] { return ports.back()->view()->highestConfiguration.number == 7; }));
}

TEST_CASE_METHOD(LoopbackFixture, "membership port, a host that leaves, is gone from the others")
{
    addHost("a", "secret");
    auto& leaving = addHost("b", "secret");
    CHECK(reaches([&] { return allSee(2); }));
    boost::asio::co_spawn(context, leaving.leave(), boost::asio::detached);
    CHECK(reaches([&] { return ports.front()->view()->presentCount == 1; }));
    CHECK(ports.front()->view()->find(HostId("b"))->state == MemberState::Left);
}

TEST_CASE_METHOD(LoopbackFixture, "membership port, a host with another secret, is not taken in")
{
    addHost("a", "secret");
    addHost("b", "other");
    addHost("c", "secret");
    CHECK(reaches([&] { return ports[0]->view()->presentCount == 2 && ports[2]->view()->presentCount == 2; }));
    CHECK(ports[1]->view()->presentCount == 1);
}
