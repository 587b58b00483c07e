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

std::string record(ConfigurationNumber number, const std::string& editId = "mark")
{
    return toJson(AcceptedConfiguration { number, routesText, poolsText, "asha", 0, {}, editId, {}, {} });
}

/// A watcher whose loop runs against a key-value service in memory, with a backoff and intervals of zero.
struct WatcherFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService service { context.get_executor(), clock };
    std::vector<ConfigurationNumber> adopted;
    ConfigurationWatcher watcher { context.get_executor(), service, 1,
        [this](const auto& configuration) { adopted.push_back(configuration->number); }, timing() };
    bool isWatching = true;

    static ConfigurationWatchTiming timing()
    {
        using std::chrono::milliseconds;
        return { milliseconds(1000), milliseconds(0), milliseconds(0), milliseconds(0), milliseconds(0) };
    }

    WatcherFixture()
    {
        boost::asio::co_spawn(context, watcher.run([this] { return isWatching; }), boost::asio::detached);
    }

    /// Ends the watch loop, so that no coroutine outlives the fixture.
    ~WatcherFixture()
    {
        watcher.stop();
        service.advance(std::chrono::seconds(2));
        context.run();
    }

    /// Runs the handlers that are ready. Their number is bounded, because the loop retries without end while the service fails.
    void runReadyHandlers()
    {
        constexpr int maximumHandlers = 200;
        for (int index = 0; index < maximumHandlers; ++index)
            context.poll_one();
    }

    void storeAccepted(ConfigurationNumber number) { service.put(std::string(acceptedConfigurationKey), record(number)); }
};

} // namespace

TEST_CASE_METHOD(WatcherFixture, "Configuration watcher, record accepted before or during the watch, is adopted")
{
    storeAccepted(1);
    runReadyHandlers();
    storeAccepted(2);
    runReadyHandlers();
    CHECK(adopted == std::vector<ConfigurationNumber> { 1, 2 });
    CHECK(watcher.counters().adoptedFromService == 2);
}

TEST_CASE_METHOD(WatcherFixture, "Configuration watcher, older record from the service or a host, is not adopted")
{
    storeAccepted(5);
    runReadyHandlers();
    storeAccepted(4);
    runReadyHandlers();
    CHECK(watcher.offer(record(3)).value() == OfferOutcome::Older);
    CHECK(watcher.number() == 5);
    CHECK(adopted == std::vector<ConfigurationNumber> { 5 });
}

TEST_CASE_METHOD(WatcherFixture, "Configuration watcher, service is unavailable at the start, a record from a host is adopted and no later record is missed")
{
    service.selectFault = [](CallKind) { return CallFault::Unavailable; };
    runReadyHandlers();
    CHECK(watcher.offer(record(7)).value() == OfferOutcome::Adopted);
    storeAccepted(8);
    runReadyHandlers();
    CHECK(watcher.number() == 7);
    service.selectFault = [](CallKind) { return CallFault::None; };
    runReadyHandlers();
    CHECK(adopted == std::vector<ConfigurationNumber> { 7, 8 });
    CHECK(watcher.counters().failedCalls > 0);
}

TEST_CASE_METHOD(WatcherFixture, "Configuration watcher, record with the number in force but different content, is refused and counted")
{
    storeAccepted(1);
    runReadyHandlers();
    CHECK(watcher.offer(record(1)).value() == OfferOutcome::AlreadyHeld);
    CHECK(watcher.offer(record(1, "another")).value() == OfferOutcome::Contradicted);
    CHECK(watcher.counters().contradictions == 1);
    CHECK(watcher.current()->editId == "mark");
}

TEST_CASE_METHOD(WatcherFixture, "Configuration watcher, record that cannot be parsed, leaves the current record in force")
{
    storeAccepted(1);
    service.put(std::string(acceptedConfigurationKey), "{\"number\":2");
    runReadyHandlers();
    storeAccepted(2);
    runReadyHandlers();
    CHECK_FALSE(watcher.offer("[]"));
    CHECK(watcher.number() == 2);
    CHECK(watcher.counters().unreadable == 2);
}

TEST_CASE_METHOD(WatcherFixture, "Configuration watcher, record offered to a host with a lower number, is adopted by that host")
{
    storeAccepted(3);
    runReadyHandlers();
    CHECK(watcher.recordNewerThan(3).empty());
    ConfigurationWatcher other(context.get_executor(), service, 2, [](const auto&) {});
    CHECK(other.shouldFetch(watcher.number()));
    CHECK(other.offer(watcher.recordNewerThan(other.number())).value() == OfferOutcome::Adopted);
    CHECK(other.number() == 3);
}

TEST_CASE_METHOD(WatcherFixture, "Configuration watcher, host that does not watch, reads the refused edits but not the accepted record")
{
    isWatching = false;
    RefusedEdits refused;
    refused.add(makeRefusedEdit(1, "bela", 1, { { ErrorCode::NameRemoved, "gone", {} } }));
    service.put(std::string(refusedEditsKey), refused.toJson());
    storeAccepted(1);
    runReadyHandlers();
    CHECK(watcher.refusedEdits() == refused.edits());
    CHECK(watcher.number() == 0);
    CHECK(service.counts().watches <= 1);
}

TEST_CASE("Configuration watchers, large failure domain, exactly the configured number of hosts watch")
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
