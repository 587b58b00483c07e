#include "DefaultReleases.h"
#include "FakeSiteProtocol.h"
#include "StreamOrigins.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

SoftwareRelease release(const std::string& version) { return { PoolName("ledger"), SoftwareVersion(version) }; }

/// Hosts that pass on streams of one route, and a coordinator, on one store.
struct StreamOriginsFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    FakeSiteProtocol protocol;
    bool isFirstStart = true;
    SiteDirectory directory { context.get_executor(), store, protocol, clock, {} };
    std::shared_ptr<StreamOrigins> host = makeHost();
    std::shared_ptr<StreamOrigins> otherHost = makeHost();
    std::shared_ptr<DefaultReleases> coordinator = makeCoordinator();
    SiteRoute route;
    bool isStoreAway = false;

    StreamOriginsFixture()
    {
        route.name = RouteName("chat.example/talk/");
        route.pools.push_back({ PoolName("ledger"), 1 });
        store.selectFault = [this](CallKind) { return isStoreAway ? CallFault::Unavailable : CallFault::None; };
        store.put("site/configuration", "5 ledger stream:chat.example/talk/");
        directory.start();
        runPendingWork();
    }

    ~StreamOriginsFixture()
    {
        isStoreAway = false;
        directory.stop();
        advance(60s);
    }

    std::shared_ptr<StreamOrigins> makeHost() { return std::make_shared<StreamOrigins>(context.get_executor(), store, clock); }
    std::shared_ptr<DefaultReleases> makeCoordinator() { return std::make_shared<DefaultReleases>(context.get_executor(), store, directory, clock, isFirstStart); }

    void runPendingWork()
    {
        context.restart();
        context.poll();
    }

    void advance(Duration by)
    {
        store.advance(by);
        runPendingWork();
    }

    void putTarget(const std::string& id, const std::string& version)
    {
        store.put("targets/" + id, "ledger 127.0.0.1:1 ready draft 1 100 " + version);
        runPendingWork();
    }

    void removeTarget(const std::string& id)
    {
        Transaction transaction;
        transaction.removals.push_back("targets/" + id);
        const auto done = startTask(context.get_executor(), store.commit(std::move(transaction)));
        runPendingWork();
        REQUIRE((*done)->has_value());
    }

    static Task<bool> updated(std::shared_ptr<DefaultReleases> releases)
    {
        co_await releases->update();
        co_return true;
    }

    void coordinate()
    {
        const auto done = startTask(context.get_executor(), updated(coordinator));
        runPendingWork();
        REQUIRE(done->has_value());
    }

    Pending<bool> beginRecord(const std::string& id, const std::string& version)
    {
        auto recorded = startTask(context.get_executor(), host->record(route, RequestId(id), release(version), 1s));
        runPendingWork();
        return recorded;
    }

    /// Records a stream, and waits for the store as long as the caller of record() does.
    bool record(const std::string& id, const std::string& version)
    {
        const auto recorded = beginRecord(id, version);
        if (!recorded->has_value())
            advance(1s);
        REQUIRE(recorded->has_value());
        return **recorded;
    }

    /// What a host finds: the version, "none" if no record says it, or "unavailable".
    std::string find(const std::shared_ptr<StreamOrigins>& finder, const std::string& id)
    {
        const auto found = startTask(context.get_executor(), finder->find(route, RequestId(id)));
        runPendingWork();
        REQUIRE(found->has_value());
        if (!**found)
            return "unavailable";
        return (*found)->value() ? (*found)->value()->version.value() : "none";
    }

    std::string find(const std::string& id) { return find(otherHost, id); }
};

} // namespace

TEST_CASE_METHOD(StreamOriginsFixture, "stream origins, all targets run one software, are found without a write for each stream")
{
    putTarget("first", "r1");
    coordinate();
    CHECK(record("stream-0", "r1"));
    const auto writes = store.counts().writes;
    for (int i = 1; i < 100; ++i)
        CHECK(record("stream-" + std::to_string(i), "r1"));
    CHECK(store.counts().writes == writes);
    CHECK(find("stream-99") == "r1");
}

TEST_CASE_METHOD(StreamOriginsFixture, "stream origins, targets run two versions, are found at another host and after all hosts have restarted")
{
    putTarget("first", "r1");
    coordinate();
    putTarget("second", "r2");
    coordinate();
    CHECK(record("old", "r1"));
    CHECK(record("new", "r2"));
    CHECK(find("old") == "r1");
    CHECK(find("new") == "r2");
    host = makeHost();
    otherHost = makeHost();
    CHECK(find("old") == "r1");
    CHECK(find("new") == "r2");
}

TEST_CASE_METHOD(StreamOriginsFixture, "stream origins, all targets were replaced while all hosts were down, are not those of the new targets")
{
    putTarget("first", "r1");
    coordinate();
    CHECK(record("stream", "r1"));
    putTarget("first", "r2");
    otherHost = makeHost();
    coordinator = makeCoordinator();
    CHECK(find("stream") == "r1");
    coordinate();
    CHECK(find("stream") == "r1");
}

TEST_CASE_METHOD(StreamOriginsFixture, "stream origins, no default release is known yet, are recorded")
{
    CHECK(record("stream", "r1"));
    CHECK(find("stream") == "r1");
    CHECK(find("never-begun") == "none");
}

TEST_CASE_METHOD(StreamOriginsFixture, "stream origins, hosts of an earlier build may run, streams without a record are unknown for as long as the longest one")
{
    isFirstStart = false;
    coordinator = makeCoordinator();
    putTarget("first", "r1");
    coordinate();
    CHECK(record("stream", "r1"));
    CHECK(find("stream") == "r1");
    CHECK(find("of-an-earlier-build") == "none");
    advance(longestStream);
    coordinate();
    CHECK(find("begun-since") == "r1");
}

TEST_CASE_METHOD(StreamOriginsFixture, "stream origins, many streams begin at once, share writes")
{
    putTarget("first", "r1");
    coordinate();
    CHECK(record("stream-0", "r1"));
    const auto writes = store.counts().writes;
    store.answerDelay = 4ms;
    constexpr int streams = 200;
    std::vector<Pending<bool>> pending;
    pending.reserve(streams);
    for (int i = 0; i < streams; ++i)
        pending.push_back(startTask(context.get_executor(), host->record(route, RequestId("new-" + std::to_string(i)), release("r2"), 1s)));
    for (int i = 0; i <= streams / static_cast<int>(StreamOrigins::maximumEntriesInWrite) + 2; ++i)
        advance(4ms);
    store.answerDelay = 0ms;
    for (const auto& recorded : pending)
        CHECK((recorded->has_value() && **recorded));
    CHECK(store.counts().writes - writes <= streams / StreamOrigins::maximumEntriesInWrite + 2);
    CHECK(find("new-199") == "r2");
}

TEST_CASE_METHOD(StreamOriginsFixture, "stream origins, store away, waits as long as asked and records later")
{
    putTarget("first", "r1");
    coordinate();
    isStoreAway = true;
    const auto recorded = beginRecord("stream", "r2");
    CHECK_FALSE(recorded->has_value());
    advance(999ms);
    CHECK_FALSE(recorded->has_value());
    advance(1ms);
    REQUIRE(recorded->has_value());
    CHECK_FALSE(**recorded);
    CHECK(host->waitingRecords() == 1);
    CHECK(find("stream") == "unavailable");
    CHECK(find(host, "stream") == "r2");
    isStoreAway = false;
    advance(StreamOrigins::writeRetryDelay);
    CHECK(host->waitingRecords() == 0);
    CHECK(find("stream") == "r2");
}

TEST_CASE_METHOD(StreamOriginsFixture, "stream origins, answer to the write lost, are recorded once more")
{
    bool isFirst = true;
    store.selectFault = [&isFirst](CallKind kind) { return kind == CallKind::Write && std::exchange(isFirst, false) ? CallFault::AnswerLost : CallFault::None; };
    CHECK(beginRecord("stream", "r2")->has_value() == false);
    advance(StreamOrigins::writeRetryDelay);
    CHECK(host->waitingRecords() == 0);
    CHECK(find("stream") == "r2");
}

TEST_CASE_METHOD(StreamOriginsFixture, "stream origins, default release read too long ago, are recorded")
{
    putTarget("first", "r1");
    coordinate();
    CHECK(record("stream-0", "r1"));
    isStoreAway = true;
    advance(StreamOrigins::maximumDefaultAge + 1ms);
    CHECK_FALSE(record("stream-1", "r1"));
    CHECK(host->waitingRecords() == 1);
}

TEST_CASE_METHOD(StreamOriginsFixture, "stream origins, stream as old as the longest one, is still found")
{
    putTarget("first", "r1");
    coordinate();
    CHECK(record("earlier", "r2"));
    advance(StreamOrigins::recordTimeToLive - longestStream - 1ms);
    CHECK(record("later", "r2"));
    advance(longestStream - 1ms);
    CHECK(find("later") == "r2");
}

TEST_CASE_METHOD(StreamOriginsFixture, "stream origins, record that cannot be read, is unknown")
{
    store.put(streamKey(RequestId("stream")), "no record");
    CHECK(find("stream") == "none");
    store.put(defaultReleaseKey(route.name), "no record");
    CHECK(find("other") == "none");
}

TEST_CASE_METHOD(StreamOriginsFixture, "default releases, another coordinator has changed the record, reads it again")
{
    putTarget("first", "r1");
    coordinate();
    store.put(defaultReleaseKey(route.name), encodeDefaultRelease({ release("r0"), false }));
    coordinate();
    coordinate();
    CHECK(find("stream") == "r0");
}

TEST_CASE_METHOD(StreamOriginsFixture, "default releases, site without routes for streams, cause no calls to the store")
{
    store.put("site/configuration", "6 ledger idempotent:chat.example/talk/");
    putTarget("first", "r1");
    const auto reads = store.counts().reads;
    const auto writes = store.counts().writes;
    coordinate();
    CHECK(store.counts().reads == reads);
    CHECK(store.counts().writes == writes);
}

namespace {

/// Streams begin and are continued in any order with releases, restarts of hosts and coordinators, and outages of the store.
class StreamHistory {
public:
    void begin(bool isAtOtherHost)
    {
        const auto targets = m_site.directory.registry().usableTargets(PoolName("ledger"));
        if (targets.empty())
            return;
        const auto& version = targets[*rc::gen::inRange<std::size_t>(0, targets.size())]->softwareVersion;
        if (isAtOtherHost)
            std::swap(m_site.host, m_site.otherHost);
        Stream stream { "stream-" + std::to_string(m_streams.size()), version.value(), m_site.clock.now(), false };
        stream.isRecorded = m_site.record(stream.id, stream.version);
        m_streams.push_back(std::move(stream));
    }

    void continueStream()
    {
        if (m_streams.empty())
            return;
        const auto& stream = m_streams[*rc::gen::inRange<std::size_t>(0, m_streams.size())];
        // The host that passed on a stream while the store was away may have ended before it could store the record.
        if (!stream.isRecorded || m_site.clock.now() - stream.begunAt >= longestStream)
            return;
        const auto found = m_site.find(*rc::gen::arbitrary<bool>() ? m_site.host : m_site.otherHost, stream.id);
        if (found != "unavailable")
            RC_ASSERT(found == stream.version);
        else
            RC_ASSERT(m_site.isStoreAway);
    }

    void replaceTarget()
    {
        const auto id = "target-" + std::to_string(*rc::gen::inRange(0, 3));
        const auto version = *rc::gen::inRange(0, 4);
        // The registry tells of changes only while the store can be read.
        if (m_site.isStoreAway)
            return;
        if (version == 0 && m_site.directory.registry().find(TargetId(id)))
            m_site.removeTarget(id);
        else if (version > 0)
            m_site.putTarget(id, "r" + std::to_string(version));
    }

    void restartHosts()
    {
        m_site.host = m_site.makeHost();
        if (*rc::gen::arbitrary<bool>())
            m_site.otherHost = m_site.makeHost();
    }

    void coordinate()
    {
        if (*rc::gen::inRange(0, 4) == 0)
            m_site.coordinator = m_site.makeCoordinator();
        m_site.coordinate();
    }

    void switchStore()
    {
        m_site.isStoreAway = !m_site.isStoreAway;
        m_site.advance(2s);
    }

    void wait() { m_site.advance(std::chrono::seconds(*rc::gen::element(1, 5, 30, 100, 250))); }

private:
    struct Stream {
        std::string id;
        std::string version;
        TimePoint begunAt;
        bool isRecorded = false;
    };

    StreamOriginsFixture m_site;
    std::vector<Stream> m_streams;
};

} // namespace

TEST_CASE("stream origins, streams begun and continued through releases, restarts and outages, are always those of the software that began them")
{
    const bool holds = rc::check([] {
        StreamHistory history;
        const auto steps = *rc::gen::inRange(10, 80);
        for (int i = 0; i < steps; ++i) {
            switch (*rc::gen::inRange(0, 10)) {
            case 0:
            case 1:
            case 2:
                history.begin(*rc::gen::arbitrary<bool>());
                break;
            case 3:
            case 4:
                history.continueStream();
                break;
            case 5:
                history.replaceTarget();
                break;
            case 6:
                history.restartHosts();
                break;
            case 7:
                history.coordinate();
                break;
            case 8:
                history.switchStore();
                break;
            default:
                history.wait();
            }
        }
    });
    CHECK(holds);
}
