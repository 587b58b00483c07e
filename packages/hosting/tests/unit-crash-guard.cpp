#include "CrashGuard.h"
#include "FaultyStore.h"
#include "ForwardingFixture.h"
#include "RecordMirror.h"
#include "RecordWatch.h"

#include "cicadalb/services/RunTask.h"

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const RequestFingerprint poison { "poison" };

/// Two hosts and a candidate that watches the store. The hosts' pauses take real time.
struct CrashGuardFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService shared { context.get_executor(), clock };
    bool isStoreRefusing = false;
    FaultyStore store { context.get_executor(), shared, clock, [this](CallKind) { return isStoreRefusing ? CallDisruption::Refused : CallDisruption::None; } };
    std::shared_ptr<CrashGuard> first = std::make_shared<CrashGuard>(context.get_executor(), store, HostId("first"));
    std::shared_ptr<CrashGuard> second = std::make_shared<CrashGuard>(context.get_executor(), store, HostId("second"));
    std::shared_ptr<CrashGuard> candidate = std::make_shared<CrashGuard>(context.get_executor(), shared, HostId("candidate"));
    Incarnation starts = 0;

    ~CrashGuardFixture()
    {
        isStoreRefusing = false;
        runFor(CrashGuard::ownReportRetention + 500ms);
    }

    void runFor(std::chrono::milliseconds time)
    {
        const auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            clock.advance(10ms);
            context.restart();
            context.run_for(2ms);
        }
    }

    void crash(CrashGuard& guard, const RequestFingerprint& request)
    {
        RegisteredTarget target;
        target.id = TargetId("ledger-1");
        target.startedAt = ++starts;
        guard.recordCrash(target, request);
    }

    /// The candidate reads all records, and the hosts receive its list.
    void passOn()
    {
        WatchResult records;
        for (const auto& [key, entry] : shared.entries()) {
            if (key.starts_with(CrashGuard::keyPrefix()))
                records.entries.push_back({ key, entry.value, entry.revision, false });
            records.revision = std::max(records.revision, entry.revision);
        }
        candidate->applyRecords(records, true);
        first->applySuspects(candidate->suspects());
        second->applySuspects(candidate->suspects());
    }
};

} // namespace

TEST_CASE_METHOD(CrashGuardFixture, "crash guard, targets crash at two hosts, both block the request")
{
    crash(*first, poison);
    crash(*second, poison);
    crash(*first, poison);
    CHECK_FALSE(first->suspicion(poison).isBlocked);
    runFor(100ms);
    passOn();
    CHECK(first->suspicion(poison).isBlocked);
    CHECK(second->suspicion(poison).isBlocked);
    CHECK(second->knownSuspects().size() == 1);
}

TEST_CASE_METHOD(CrashGuardFixture, "crash guard, store refuses the report, writes it when the store is back")
{
    isStoreRefusing = true;
    crash(*first, poison);
    crash(*first, poison);
    runFor(400ms);
    CHECK(first->suspicion(poison).crashes == 2);
    passOn();
    CHECK(second->suspicion(poison).crashes == 0);
    isStoreRefusing = false;
    runFor(400ms);
    passOn();
    CHECK(second->suspicion(poison).crashes == 2);
}

TEST_CASE_METHOD(CrashGuardFixture, "crash guard, target answers a suspect, withdraws the suspicion on all hosts")
{
    for (int i = 0; i < 2; ++i)
        crash(*first, poison);
    runFor(100ms);
    passOn();
    REQUIRE(second->suspicion(poison).crashes == 2);
    second->recordAnswer(poison);
    runFor(100ms);
    passOn();
    CHECK(candidate->suspects().suspects.empty());
    CHECK(second->suspicion(poison).crashes == 0);
    crash(*second, poison);
    runFor(100ms);
    passOn();
    CHECK_FALSE(second->suspicion(poison).isBlocked);
}

TEST_CASE_METHOD(CrashGuardFixture, "crash guard, host's mirror fails while targets crash at other hosts, learns of them by its first crash")
{
    for (int i = 0; i < 3; ++i)
        crash(*first, poison);
    runFor(100ms);
    second->setRefreshCondition([] { return true; });
    CHECK_FALSE(second->hasSuspects());
    crash(*second, poison);
    boost::asio::co_spawn(context, second->refresh(), boost::asio::detached);
    runFor(20ms);
    CHECK(second->suspicion(poison).isBlocked);
    // Its mirror is back, and the suspicion was withdrawn meanwhile.
    second->applySuspects({ 100, {} });
    runFor(CrashGuard::ownReportRetention + 200ms);
    CHECK_FALSE(second->hasSuspects());
}

TEST_CASE_METHOD(CrashGuardFixture, "crash guard, mirror passes on an older list, keeps the newer one")
{
    first->applySuspects({ 8, { { poison, 3, true } } });
    first->applySuspects({ 7, {} });
    CHECK(first->suspicion(poison).isBlocked);
    first->applySuspects({ 9, {} });
    CHECK_FALSE(first->hasSuspects());
}

TEST_CASE_METHOD(CrashGuardFixture, "crash guard, more records than are kept, the coordinator deletes the oldest")
{
    WatchResult records;
    for (std::size_t i = 0; i < CrashGuard::maximumRecords + 5; ++i)
        records.entries.push_back({ "crashes/harmless/" + std::to_string(i), std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() + static_cast<long>(i)), i + 1, false });
    for (const auto& entry : records.entries)
        shared.put(entry.key, entry.value);
    candidate->applyRecords(records, true);
    boost::asio::co_spawn(context, candidate->deleteExpiredRecords(), boost::asio::detached);
    runFor(100ms);
    CHECK(shared.entries().size() == CrashGuard::maximumRecords);
    CHECK_FALSE(shared.entries().contains("crashes/harmless/0"));
    CHECK(shared.entries().contains("crashes/harmless/5"));
}

TEST_CASE_METHOD(CrashGuardFixture, "record mirror, suspects change while a host waits, replies at once")
{
    const auto mirror = std::make_shared<RecordMirror>(context.get_executor(), clock);
    mirror->setCompleteAsOfSource([this](const std::string&) { return clock.now(); });
    mirror->setSuspectsSource([this]() -> const SuspectList& { return candidate->suspects(); });
    candidate->setChangeHandler([mirror] { mirror->onSuspectsChanged(); });
    mirror->apply({ "targets/", {}, true, {} });
    MirrorQuery query { "targets/", Revision { 0 }, 5s, Revision { 0 } };
    const auto reply = startTask(context.get_executor(), mirror->waitForChanges(query));
    runFor(20ms);
    REQUIRE_FALSE(reply->has_value());
    crash(*first, poison);
    crash(*first, poison);
    runFor(100ms);
    passOn();
    runFor(20ms);
    REQUIRE(reply->has_value());
    const auto decoded = decodeMirrorReply(encodeMirrorReply(reply->value().value()));
    REQUIRE(decoded);
    REQUIRE(decoded.value().suspects);
    CHECK(decoded.value().suspects->suspects.size() == 1);
    CHECK(decoded.value().suspects->suspects.front().request == poison);
}

TEST_CASE_METHOD(ForwardingFixture, "request forwarder, request is blocked, refuses it and sends calls of submissions all the same")
{
    onWorker([this] { crashGuard->applySuspects({ 1, { { poison, 3, true } } }); });
    fingerprint = poison;
    const auto outcome = forwardOnce();
    CHECK(outcome.state == ForwardState::NotRun);
    CHECK(outcome.retryAfter > 0s);
    CHECK(first.requests + second.requests == 0);
    fingerprint.reset();
    CHECK(forward() == ForwardState::Answered);
}

TEST_CASE_METHOD(ForwardingFixture, "request forwarder, another request is blocked, forwards this one")
{
    onWorker([this] { crashGuard->applySuspects({ 1, { { poison, 3, true } } }); });
    fingerprint = RequestFingerprint("harmless");
    CHECK(forward() == ForwardState::Answered);
}
