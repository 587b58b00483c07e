#include "cicadalb/transport/ConfigurationWatcher.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

using namespace cicadalb;

namespace {

const std::string routesText = R"([callers.clerks]
token-sha256 = "1111111111111111111111111111111111111111111111111111111111111111"
[routes.invoices]
path = "/ledger"
pool = "ledger-app"
)";

const std::string poolsText = R"([pools.ledger-app]
kind = "plain-service"
[[pools.ledger-app.targets]]
id = "ledger-1"
address = "10.0.0.1"
port = 1
failure-domain = "salt-lake"
)";

std::string record(ConfigurationNumber number, const std::string& mark = "mark")
{
    return toJson(AcceptedConfiguration { number, routesText, poolsText, "asha", 0, {}, mark, {}, {} });
}

/// A watcher whose loop runs against a service in memory; pauses after failures are real but zero.
struct WatcherFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService service { context.get_executor(), clock };
    std::vector<ConfigurationNumber> adopted;
    ConfigurationWatcher watcher { context.get_executor(), service, 1,
        [this](const auto& configuration) { adopted.push_back(configuration->number); }, times() };
    bool isWatching = true;

    static ConfigurationWatchTimes times()
    {
        using std::chrono::milliseconds;
        return { milliseconds(1000), milliseconds(0), milliseconds(0), milliseconds(0), milliseconds(0) };
    }

    WatcherFixture()
    {
        boost::asio::co_spawn(context, watcher.run([this] { return isWatching; }), boost::asio::detached);
    }

    /// Ends the loop, so that no coroutine outlives the fixture.
    ~WatcherFixture()
    {
        watcher.stop();
        service.advance(std::chrono::seconds(2));
        context.run();
    }

    /// Runs what is ready; a failing service keeps the loop busy, so that the number of turns is bounded.
    void settle()
    {
        constexpr int turns = 200;
        for (int turn = 0; turn < turns; ++turn)
            context.poll_one();
    }

    void accept(ConfigurationNumber number) { service.put(std::string(acceptedConfigurationKey), record(number)); }
};

} // namespace

TEST_CASE_METHOD(WatcherFixture, "record, accepted before or during the watch, is adopted at once")
{
    accept(1);
    settle();
    accept(2);
    settle();
    CHECK(adopted == std::vector<ConfigurationNumber> { 1, 2 });
    CHECK(watcher.counters().adoptedFromService == 2);
}

TEST_CASE_METHOD(WatcherFixture, "older record, from the service or a host, is never adopted")
{
    accept(5);
    settle();
    accept(4);
    settle();
    CHECK(watcher.offer(record(3)).value() == OfferOutcome::Older);
    CHECK(watcher.number() == 5);
    CHECK(adopted == std::vector<ConfigurationNumber> { 5 });
}

TEST_CASE_METHOD(WatcherFixture, "outage, at the start, is bridged by a host and ends without a missed record")
{
    service.faultOf = [](CallKind) { return CallFault::Unavailable; };
    settle();
    CHECK(watcher.offer(record(7)).value() == OfferOutcome::Adopted);
    accept(8);
    settle();
    CHECK(watcher.number() == 7);
    service.faultOf = [](CallKind) { return CallFault::None; };
    settle();
    CHECK(adopted == std::vector<ConfigurationNumber> { 7, 8 });
    CHECK(watcher.counters().failedCalls > 0);
}

TEST_CASE_METHOD(WatcherFixture, "other content under the number in force, offered, is refused and counted")
{
    accept(1);
    settle();
    CHECK(watcher.offer(record(1)).value() == OfferOutcome::AlreadyHeld);
    CHECK(watcher.offer(record(1, "another")).value() == OfferOutcome::Contradicted);
    CHECK(watcher.counters().contradictions == 1);
    CHECK(watcher.current()->mark == "mark");
}

TEST_CASE_METHOD(WatcherFixture, "record that cannot be read, from anywhere, leaves the present one in force")
{
    accept(1);
    service.put(std::string(acceptedConfigurationKey), "{\"number\":2");
    settle();
    accept(2);
    settle();
    CHECK_FALSE(watcher.offer("[]"));
    CHECK(watcher.number() == 2);
    CHECK(watcher.counters().unreadable == 2);
}

TEST_CASE_METHOD(WatcherFixture, "record, handed on to a host with a lower number, is what that host adopts")
{
    accept(3);
    settle();
    CHECK(watcher.recordText(3).empty());
    ConfigurationWatcher other(context.get_executor(), service, 2, [](const auto&) {});
    CHECK(other.shouldFetch(watcher.number()));
    CHECK(other.offer(watcher.recordText(other.number())).value() == OfferOutcome::Adopted);
    CHECK(other.number() == 3);
}

TEST_CASE_METHOD(WatcherFixture, "host that does not watch, after a while, knows the refused edits but reads no records")
{
    isWatching = false;
    RefusedEdits refused;
    refused.add(refusedEdit(1, "bela", 1, { { ErrorCode::NameRemoved, "gone", {} } }));
    service.put(std::string(refusedEditsKey), refused.toJson());
    accept(1);
    settle();
    CHECK(watcher.refusedEdits() == refused.edits());
    CHECK(watcher.number() == 0);
    CHECK(service.counts().watches <= 1);
}

TEST_CASE("watchers, of a large failure domain, are few and the same in every host's view")
{
    std::vector<AssignableHost> hosts;
    hosts.reserve(300);
    for (int index = 0; index < 300; ++index)
        hosts.push_back({ HostId("host-" + std::to_string(index)), 1.0, FailureDomain(index % 10 == 0 ? "howrah" : "salt-lake") });
    const auto watchersIn = [&](const FailureDomain& failureDomain) {
        return std::count_if(hosts.begin(), hosts.end(), [&](const auto& host) {
            return host.failureDomain == failureDomain && isConfigurationWatcher(host.id, host.failureDomain, hosts);
        });
    };
    CHECK(watchersIn(FailureDomain("howrah")) == configurationWatchersPerFailureDomain);
    CHECK(watchersIn(FailureDomain("salt-lake")) == configurationWatchersPerFailureDomain);
    CHECK(isConfigurationWatcher(HostId("alone"), FailureDomain("new-town"), {}));
}
