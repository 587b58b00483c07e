#include "cicadalb/rollout/StepJson.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

TEST_CASE("step specification, serialized and parsed, is unchanged")
{
    const StepSpec spec { { TrainerName("drafts"), 4 }, { { "one", "p", 8 }, { "two", "", 8 } }, 99, 2, std::chrono::milliseconds(5000), 3 };
    const auto read = stepSpecFromJson(spec.key, toJson(spec));
    REQUIRE(read);
    CHECK(read.value() == spec);
}

TEST_CASE("pull request, serialized and parsed, keeps its bitmap")
{
    PullRequest pull { { 4, 77, SampleBitmap(19), 6 }, 5, std::chrono::milliseconds(250) };
    pull.cursor.received.set(0);
    pull.cursor.received.set(18);
    const auto read = pullRequestFromJson(4, toJson(pull));
    REQUIRE(read);
    CHECK(read.value() == pull);
}

TEST_CASE("batch, serialized and parsed, is unchanged")
{
    const Batch batch { 4, 77, { { { 1, 2 }, 10, "text", 12, { 5, 6 } } }, true };
    const auto read = batchFromJson(toJson(batch));
    REQUIRE(read);
    CHECK(read.value() == batch);
}

TEST_CASE("weight announcement and submit receipt, serialized and parsed, are unchanged")
{
    const WeightAnnouncement announcement { "draft-model", 9, true };
    CHECK(weightAnnouncementFromJson(toJson(announcement)).value() == announcement);
    const SubmitReceipt receipt { { TrainerName("drafts"), 4 }, 16, false };
    CHECK(submitReceiptFromJson(toJson(receipt)).value() == receipt);
}

TEST_CASE("malformed bodies, parsed, give errors that name the invalid member")
{
    const StepKey key { TrainerName("drafts"), 4 };
    CHECK(stepSpecFromJson(key, "{").error().where == "body");
    CHECK(stepSpecFromJson(key, R"({"groups":[{"prompt":"a","samples":1},{"prompt":7,"samples":1}]})").error().where == "groups[1].prompt");
    CHECK(stepSpecFromJson(key, R"({"groups":[]})").error().where == "groups");
    CHECK(stepSpecFromJson(key, R"({"groups":[{"prompt":"a","samples":4294967295},{"prompt":"a","samples":9}]})").error().where == "groups[0].samples");
    CHECK(stepSpecFromJson(key, R"({"groups":[{"prompt":"a","samples":1}],"priority":-1})").error().where == "priority");
    CHECK(pullRequestFromJson(4, R"({"cursor":1,"received":"ff","samples":4,"weight-version":1})").error().code == ErrorCode::CursorInvalid);
    CHECK(pullRequestFromJson(4, R"({"cursor":1,"received":"zz","samples":4,"weight-version":1})").error().code == ErrorCode::CursorInvalid);
    CHECK(batchFromJson(R"({"step":1,"base":1,"done":false,"samples":[{"group":0,"index":0,"position":0,"text":"","tokens":0,"versions":[]}]})").error().where
        == "samples[0].versions");
}

TEST_CASE("step progress, serialized, holds the number of discards by cause")
{
    StepProgress progress;
    progress.discarded[static_cast<std::size_t>(DiscardCause::Unlabelled)] = 3;
    CHECK(toJson(progress).find(R"("unlabelled":3)") != std::string::npos);
}
