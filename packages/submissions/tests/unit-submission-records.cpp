#include "cicadalb/submissions/SubmissionRecords.h"

#include "cicadalb/base/CborRecord.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

namespace {

Submission exampleSubmission()
{
    Submission submission;
    submission.id = SubmissionId("7c41e0");
    submission.authority = "train.example";
    submission.path = "/drafts/";
    submission.submittedAt = UnixTime(1781007254016);
    submission.acceptedUnder = 31;
    submission.organisation = OrganisationName("north");
    submission.acceptedTerms = SubmissionTerms { std::chrono::milliseconds(7500), std::chrono::milliseconds(20000), std::chrono::milliseconds(400), 3, 2, true };
    submission.step = 7;
    submission.model = ModelName("draft");
    submission.oldestVersion = 6;
    submission.wantedGroupCount = 12;
    SampleItem item;
    item.id = ItemId("e5b2");
    item.group = GroupId("g1");
    item.path = "/drafts/3";
    item.fields = { { "X-One", "1" }, { "X-Two", "2" } };
    item.body = std::string("\x00\xff\x80text", 7);
    item.maximumTokens = 940;
    item.lengthHint = 400;
    item.reward = RewardCall { RequestId("40c8"), "ledger.example", "/check", std::string("\xde\x00", 2) };
    submission.items = { item, SampleItem {} };
    return submission;
}

} // namespace

TEST_CASE("submission record with binary bodies decodes to the encoded submission")
{
    const auto source = exampleSubmission();
    const auto decoded = decodeSubmission(encodeSubmission(source));
    REQUIRE(decoded);
    const auto& copy = decoded.value();
    CHECK(copy.id == source.id);
    CHECK(copy.authority == source.authority);
    CHECK(copy.submittedAt == source.submittedAt);
    CHECK(copy.oldestVersion == 6);
    CHECK(copy.acceptedUnder == 31);
    CHECK(copy.organisation == source.organisation);
    CHECK(copy.acceptedTerms == source.acceptedTerms);
    REQUIRE(copy.items.size() == 2);
    CHECK(copy.items[0].body == source.items[0].body);
    CHECK(copy.items[0].fields == source.items[0].fields);
    REQUIRE(copy.items[0].reward);
    CHECK(copy.items[0].reward->body == source.items[0].reward->body);
    CHECK_FALSE(copy.items[1].reward);
}

TEST_CASE("records that are empty, truncated or in another format are refused with RecordInvalid")
{
    CHECK(decodeSubmission("").error().code == ErrorCode::RecordInvalid);
    CHECK(decodeSubmission("{\"items\":[]}").error().code == ErrorCode::RecordInvalid);
    CHECK(decodeSubmission(encodeSubmission(exampleSubmission()).substr(0, 40)).error().code == ErrorCode::RecordInvalid);
    CHECK(decodeResults("\xff\xff").error().code == ErrorCode::RecordInvalid);
}

TEST_CASE("submission record, only its time is read, states the time without decoding the items")
{
    auto submission = exampleSubmission();
    submission.submittedAt = UnixTime(1796421600123);
    const auto record = encodeSubmission(submission);
    CHECK(decodeSubmissionTime(record).value() == UnixTime(1796421600123));
    CHECK(decodeSubmissionTime(record.substr(0, record.size() - 1)).value() == UnixTime(1796421600123));
    CHECK(decodeSubmissionTime("").error().code == ErrorCode::RecordInvalid);
    CHECK(decodeSubmissionTime("{\"items\":[]}").error().code == ErrorCode::RecordInvalid);
    CHECK(decodeSubmissionTime(toCbor({ "id", "authority", "path" })).error().code == ErrorCode::RecordInvalid);
    CHECK(decodeSubmissionTime(toCbor({ "id", "authority", "path", "late" })).error().code == ErrorCode::RecordInvalid);
    CHECK(decodeSubmissionTime(record.substr(0, 10)).error().code == ErrorCode::RecordInvalid);
}

TEST_CASE("results record decodes to the encoded results, with and without text, in order")
{
    std::vector<SampleResult> results(2);
    results[0] = { ItemId("a"), ResultState::Succeeded, "one\ntwo", { 6, 7 }, "3e1b" };
    results[1] = { ItemId("b"), ResultState::GivenUp, "", {}, "" };
    const auto decoded = decodeResults(encodeResults(results));
    REQUIRE(decoded);
    REQUIRE(decoded.value().size() == 2);
    CHECK(decoded.value()[0].text == "one\ntwo");
    CHECK(decoded.value()[0].versions == std::vector<WeightVersion> { 6, 7 });
    CHECK(decoded.value()[1].state == ResultState::GivenUp);
}

TEST_CASE("texts record decodes to the encoded partial texts")
{
    PartialText text;
    text.append(1, "one", 3);
    text.append(2, "two", 4);
    text.release = { PoolName("engines"), SoftwareVersion("r2") };
    const auto decoded = decodePartialTexts(encodePartialTexts({ { ItemId("a"), text } }));
    REQUIRE(decoded);
    REQUIRE(decoded.value().size() == 1);
    CHECK(decoded.value()[0].text.text == "one\ntwo");
    CHECK(decoded.value()[0].text.lastEventId == 2);
    CHECK(decoded.value()[0].text.versions == std::set<WeightVersion> { 3, 4 });
    CHECK(decoded.value()[0].text.release.isCompatibleWith(text.release));
    CHECK(decodePartialTexts("odd").error().code == ErrorCode::RecordInvalid);
}

TEST_CASE("texts record of an earlier build, without software versions, decodes to texts that no engine may continue")
{
    const nlohmann::json entry { "a", binaryValue("one\ntwo"), 2, 2, std::set<WeightVersion> { 3 } };
    const auto decoded = decodePartialTexts(toCbor(nlohmann::json::array({ entry })));
    REQUIRE(decoded);
    REQUIRE(decoded.value().size() == 1);
    const auto& text = decoded.value()[0].text;
    CHECK(text.eventCount == 2);
    CHECK_FALSE(text.release.isCompatibleWith(text.release));
}

TEST_CASE("submission keys are recognised by kind, and result keys sort in the order of their segments")
{
    const SubmissionId id("7c41e0");
    CHECK(parseSubmissionKey(submissionKey(id)).kind == SubmissionKeyKind::Submission);
    CHECK(parseSubmissionKey(endKey(id)).id == id);
    CHECK(parseSubmissionKey(endKey(id)).kind == SubmissionKeyKind::End);
    CHECK(parseSubmissionKey("elsewhere/7c41e0/text").kind == SubmissionKeyKind::Unknown);
    CHECK(resultSegmentKey(id, 9) < resultSegmentKey(id, 10));
    CHECK(itemCountKey(id) < resultSegmentKey(id, 0));
    CHECK(lastResultSegmentKey(id, 0) == itemCountKey(id));
    CHECK(itemCountKey(id) < organisationKey(id));
    CHECK(organisationKey(id) < resultSegmentKey(id, 0));
    CHECK(decodeItemCount(encodeItemCount(64)).value() == 64);
    CHECK(lastResultSegmentKey(id, 3) == resultSegmentKey(id, 2));
}
