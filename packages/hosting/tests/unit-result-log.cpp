#include "ResultLog.h"
#include "ResultReader.h"

#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

const SubmissionId id("7c41e0");

SampleResult result(int item, const std::string& text)
{
    return { ItemId("item-" + std::to_string(item)), ResultState::Succeeded, text, { 1 }, "signature" };
}

/// Several coordinators that write the log of the same submission, unaware of each other.
struct LogFixture {
    boost::asio::io_context context;
    ManualClock clock;
    FakeKeyValueService store { context.get_executor(), clock };
    std::vector<std::unique_ptr<ResultLog>> logs;

    explicit LogFixture(std::size_t writers = 2)
    {
        for (std::size_t i = 0; i < writers; ++i)
            logs.push_back(std::make_unique<ResultLog>(store, id));
    }

    template <typename T>
    T run(Task<T> task)
    {
        const auto pending = startTask(context.get_executor(), std::move(task));
        context.restart();
        context.poll();
        if (!*pending)
            throw std::runtime_error("the task did not finish");
        return std::move(**pending);
    }

    /// Items and texts by position, as a reader sees them.
    std::vector<std::pair<std::string, std::string>> stored() const
    {
        std::vector<std::pair<std::string, std::string>> rows;
        for (const auto& [key, entry] : store.entries()) {
            if (key == itemCountKey(id))
                continue;
            const auto results = decodeResults(entry.value);
            for (const auto& row : results.value())
                rows.emplace_back(row.item.value(), row.text);
        }
        return rows;
    }
};

} // namespace

TEST_CASE_METHOD(LogFixture, "result log, two coordinators with the same item, keeps only the first result")
{
    logs[0]->add(result(1, "first"));
    logs[1]->add(result(1, "second"));
    logs[1]->add(result(2, "other"));
    CHECK(run(logs[0]->append()));
    CHECK(run(logs[1]->append()));
    CHECK(stored() == std::vector<std::pair<std::string, std::string>> { { "item-1", "first" }, { "item-2", "other" } });
}

TEST_CASE_METHOD(LogFixture, "result log, write that takes effect late, does not store the item again")
{
    store.selectFault = [](CallKind kind) { return kind == CallKind::Write ? CallFault::AppliedLate : CallFault::None; };
    logs[0]->add(result(1, "one"));
    CHECK_FALSE(run(logs[0]->append()));
    store.selectFault = [](CallKind) { return CallFault::None; };
    store.advance(store.lateWriteDelay);
    logs[0]->add(result(2, "two"));
    CHECK(run(logs[0]->append()));
    CHECK(stored() == std::vector<std::pair<std::string, std::string>> { { "item-1", "one" }, { "item-2", "two" } });
    CHECK_FALSE(logs[0]->hasPending());
}

TEST_CASE_METHOD(LogFixture, "result log, results larger than a segment, writes several segments")
{
    for (int i = 0; i < 3; ++i)
        logs[0]->add(result(i, std::string(ResultLog::maximumSegmentBytes / 2 + 1, 'x')));
    CHECK(run(logs[0]->append()));
    CHECK(logs[0]->segments() == 3);
}

TEST_CASE("result log, concurrent coordinators with lost, late and refused writes, never moves a result and never stores an item twice")
{
    CHECK(rc::check([] {
        LogFixture fixture(3);
        std::vector<std::pair<std::string, std::string>> seen;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
        int number = 0;
        for (const auto step : steps) {
            ++number;
            const auto fault = std::array { CallFault::None, CallFault::None, CallFault::AnswerLost, CallFault::AppliedLate, CallFault::Unavailable, CallFault::RequestLost }[static_cast<std::size_t>(step) % 6];
            fixture.store.selectFault = [fault](CallKind kind) { return kind == CallKind::Write ? fault : CallFault::None; };
            auto& log = fixture.logs[static_cast<std::size_t>(step / 6) % fixture.logs.size()];
            if (step % 7 == 0)
                log = std::make_unique<ResultLog>(fixture.store, id);
            log->add(result(step / 18 % 12, "text " + std::to_string(number)));
            (void)fixture.run(log->append());
            if (step % 5 == 0)
                fixture.store.advance(1s);
            const auto now = fixture.stored();
            RC_ASSERT(now.size() >= seen.size());
            RC_ASSERT(std::equal(seen.begin(), seen.end(), now.begin()));
            std::set<std::string> items;
            for (const auto& [item, text] : now)
                RC_ASSERT(items.insert(item).second);
            seen = now;
        }
    }));
}

TEST_CASE_METHOD(LogFixture, "result reader, growing submission, returns all stored results and reports refused submissions as unknown")
{
    ResultReader reader(context.get_executor(), store, clock);
    const auto read = [&](std::size_t position) { return run(reader.readResults(id, position, 0ms)); };
    CHECK(read(0).error().code == ErrorCode::StepUnknown);
    store.put(submissionKey(id), refusalRecord());
    CHECK(read(0).error().code == ErrorCode::StepUnknown);
    CHECK(run(reader.readSubmission(id)).error().code == ErrorCode::StepUnknown);

    Submission submission;
    submission.id = id;
    submission.items.resize(2);
    store.put(submissionKey(id), encodeSubmission(submission));
    store.put(itemCountKey(id), encodeItemCount(submission.items.size()));
    REQUIRE(read(0));
    CHECK(read(0).value()->results.empty());
    logs[0]->add(result(1, "one"));
    CHECK(run(logs[0]->append()));
    CHECK(read(0).value()->results.size() == 1);
    logs[0]->add(result(2, "two"));
    CHECK(run(logs[0]->append()));
    const auto all = read(1);
    REQUIRE(all.value()->results.size() == 2);
    CHECK(all.value()->results[1].text == "two");
    store.selectFault = [](CallKind) { return CallFault::Unavailable; };
    CHECK(read(1));
    CHECK(run(reader.readSubmission(SubmissionId("unknown"))).error().code == ErrorCode::Unavailable);
}

TEST_CASE_METHOD(LogFixture, "result reader, history lost while it waits, reads the results again")
{
    ResultReader reader(context.get_executor(), store, clock);
    Submission submission;
    submission.id = id;
    submission.items.resize(2);
    store.put(submissionKey(id), encodeSubmission(submission));
    store.put(itemCountKey(id), encodeItemCount(submission.items.size()));
    REQUIRE(run(reader.readResults(id, 0, 0ms)));
    const auto waiting = startTask(context.get_executor(), reader.readResults(id, 0, 1000ms));
    context.restart();
    context.poll();
    CHECK_FALSE(*waiting);
    logs[0]->add(result(1, "one"));
    store.selectFault = [](CallKind) { return CallFault::None; };
    const auto append = startTask(context.get_executor(), logs[0]->append());
    context.poll();
    store.forgetHistory();
    context.poll();
    REQUIRE(*waiting);
    CHECK((**waiting).value()->results.size() == 1);
    CHECK(append->has_value());
}

TEST_CASE_METHOD(LogFixture, "result reader, results found by a stale read, makes no further call")
{
    ResultReader reader(context.get_executor(), store, clock);
    store.put(itemCountKey(id), encodeItemCount(2));
    logs[0]->add(result(1, "one"));
    CHECK(run(logs[0]->append()));
    const auto before = store.counts();
    const auto known = run(reader.readResults(id, 0, 0ms));
    REQUIRE(known);
    CHECK(known.value()->results.size() == 1);
    CHECK(store.counts().staleReads == before.staleReads + 1);
    CHECK(store.counts().reads == before.reads);
}

TEST_CASE_METHOD(LogFixture, "result reader, submission missing from a stale read, repeats the read without staleness")
{
    ResultReader reader(context.get_executor(), store, clock);
    store.staleRevision = 0;
    Submission submission;
    submission.id = id;
    submission.items.resize(2);
    store.put(submissionKey(id), encodeSubmission(submission));
    store.put(itemCountKey(id), encodeItemCount(2));
    CHECK(run(reader.readSubmission(id)));
    REQUIRE(run(reader.readResults(id, 0, 0ms)));
    logs[0]->add(result(1, "one"));
    CHECK(run(logs[0]->append()));
    CHECK(run(reader.readResults(id, 0, 0ms)).value()->results.size() == 1);
}

TEST_CASE_METHOD(LogFixture, "result reader, caller that arrives during a stale read, receives all results stored by then")
{
    ResultReader reader(context.get_executor(), store, clock);
    store.put(itemCountKey(id), encodeItemCount(2));
    store.staleRevision = store.put("other", "");
    logs[0]->add(result(1, "one"));
    CHECK(run(logs[0]->append()));
    REQUIRE(run(reader.readResults(id, 0, 0ms)));
    logs[0]->add(result(2, "two"));
    CHECK(run(logs[0]->append()));
    store.answerDelay = 10ms;
    const auto first = startTask(context.get_executor(), reader.readResults(id, 1, 0ms));
    const auto second = startTask(context.get_executor(), reader.readResults(id, 1, 0ms));
    for (int turn = 0; turn < 6; ++turn) {
        context.restart();
        context.poll();
        store.advance(10ms);
    }
    context.restart();
    context.poll();
    REQUIRE(first->has_value());
    REQUIRE(second->has_value());
    CHECK((*first)->value()->results.size() == 2);
    CHECK((*second)->value()->results.size() == 2);
}
