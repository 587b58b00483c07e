#include "websocket/OutstandingRequests.h"
#include "websocket/PeerProof.h"
#include "websocket/ReceivedRequests.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace cicadalb;
using namespace cicadalb::detail;

namespace {

struct OutstandingFixture {
    std::uint64_t add(std::chrono::seconds timeout = std::chrono::seconds(10))
    {
        const auto slot = answers.size();
        answers.emplace_back();
        return outstanding.add({}, TimePoint() + timeout, [this, slot](PeerAnswer answer) { answers[slot].push_back(answer); });
    }

    static PeerMessage answerTo(std::uint64_t id, std::uint64_t incarnation)
    {
        PeerMessage message;
        message.type = PeerMessageType::Answer;
        message.incarnation = incarnation;
        message.requestId = id;
        message.answer.outcome = PeerOutcome::Answered;
        message.answer.message = std::to_string(id);
        return message;
    }

    OutstandingRequests::Write write = [this](std::uint64_t id, const PeerRequest&) { written.push_back(id); };
    OutstandingRequests outstanding;
    std::vector<std::uint64_t> written;
    std::vector<std::vector<PeerAnswer>> answers;
};

} // namespace

TEST_CASE_METHOD(OutstandingFixture, "Outstanding request, answer of another request or incarnation, is dropped")
{
    const auto id = add();
    outstanding.send(id, 7, write);
    CHECK_FALSE(outstanding.accept(answerTo(id + 1, 7)));
    CHECK_FALSE(outstanding.accept(answerTo(id, 6)));
    CHECK(answers[0].empty());
    CHECK(outstanding.accept(answerTo(id, 7)));
    CHECK_FALSE(outstanding.accept(answerTo(id, 7)));
    CHECK(answers[0].size() == 1);
}

TEST_CASE_METHOD(OutstandingFixture, "Outstanding requests, link to a restarted host, sent ones are unknown and unsent ones are written")
{
    outstanding.send(add(), 1, write);
    const auto unsent = add();
    written.clear();
    outstanding.resume(2, write);
    CHECK(written == std::vector<std::uint64_t> { unsent });
    REQUIRE(answers[0].size() == 1);
    CHECK(answers[0][0].outcome == PeerOutcome::Unknown);
    CHECK(answers[1].empty());
}

TEST_CASE_METHOD(OutstandingFixture, "Outstanding requests, deadline passes, unsent ones are known not to be sent")
{
    outstanding.send(add(std::chrono::seconds(1)), 1, write);
    add(std::chrono::seconds(1));
    add(std::chrono::seconds(5));
    outstanding.expire(TimePoint() + std::chrono::seconds(2), {});
    CHECK(answers[0].at(0).outcome == PeerOutcome::Unknown);
    CHECK(answers[1].at(0).outcome == PeerOutcome::NotSent);
    CHECK(answers[2].empty());
}

TEST_CASE("Outstanding and received requests, links lost and repeated at any point, each runs once and is answered once")
{
    CHECK(rc::check("each request runs at most once and gets its own answer once", [] {
        OutstandingFixture asker;
        ReceivedBounds bounds;
        bounds.answers = 2;
        ReceivedRequests receiver(bounds);
        std::map<std::uint64_t, unsigned> runs;
        std::vector<std::uint64_t> oldLink;
        const auto deliver = [&](std::uint64_t id) {
            if (receiver.receive(id, 0) == ReceivedKind::New)
                ++runs[id];
        };
        const auto steps = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 5U));
        for (const auto step : steps) {
            if (step == 0) {
                asker.outstanding.send(asker.add(), 1, asker.write);
            } else if (step == 1) {
                // The link delivers the next request.
                if (!asker.written.empty()) {
                    deliver(asker.written.front());
                    oldLink.push_back(asker.written.front());
                    asker.written.erase(asker.written.begin());
                }
            } else if (step == 2) {
                // The link is replaced; what it still held may arrive at any time.
                oldLink.insert(oldLink.end(), asker.written.begin(), asker.written.end());
                asker.written.clear();
                asker.outstanding.resume(1, asker.write);
            } else if (step == 3) {
                if (!runs.empty())
                    receiver.answer(runs.rbegin()->first, {});
                for (const auto& [id, count] : runs) {
                    if (receiver.answerTo(id))
                        asker.outstanding.accept(OutstandingFixture::answerTo(id, 1));
                }
            } else if (!oldLink.empty()) {
                const auto late = *rc::gen::elementOf(oldLink);
                deliver(late);
            }
        }
        asker.outstanding.endAll({});
        for (const auto& [id, count] : runs)
            RC_ASSERT(count == 1U);
        for (std::size_t slot = 0; slot < asker.answers.size(); ++slot) {
            RC_ASSERT(asker.answers[slot].size() == 1U);
            const auto& answer = asker.answers[slot][0];
            RC_ASSERT(answer.outcome != PeerOutcome::Answered || answer.message == std::to_string(slot + 1));
        }
    }));
}

TEST_CASE("Received request, its answer was forgotten, does not run again")
{
    ReceivedBounds bounds;
    bounds.answers = 1;
    ReceivedRequests received(bounds);
    for (std::uint64_t id = 1; id <= 2; ++id) {
        CHECK(received.receive(id, 0) == ReceivedKind::New);
        CHECK(received.answer(id, {}));
    }
    CHECK(received.receive(1, 0) == ReceivedKind::Forgotten);
    CHECK(received.receive(2, 0) == ReceivedKind::Answered);
    CHECK(received.receive(3, 3) == ReceivedKind::New);
    CHECK(received.answerCount() == 0);
}

TEST_CASE("Received request, too many run, is refused")
{
    ReceivedBounds bounds;
    bounds.running = 1;
    ReceivedRequests received(bounds);
    CHECK(received.receive(1, 0) == ReceivedKind::New);
    CHECK(received.receive(2, 0) == ReceivedKind::Refused);
    CHECK(received.receive(1, 0) == ReceivedKind::Running);
}

TEST_CASE("Peer proof, another secret, role, nonce or incarnation, differs")
{
    const PeerOpening opening { { "a", 1 }, { "b", 2 }, "n", "m" };
    const auto proof = connectorProof("secret", opening);
    const PeerOpening otherNonce { { "a", 1 }, { "b", 2 }, "x", "m" };
    const PeerOpening otherIncarnation { { "a", 1 }, { "b", 3 }, "n", "m" };
    const std::set<std::string> proofs { proof, listenerProof("secret", opening), connectorProof("other", opening),
        connectorProof("secret", otherNonce), connectorProof("secret", otherIncarnation) };
    CHECK(proofs.size() == 5);
    CHECK(randomNonce() != randomNonce());
}

TEST_CASE("Peer message, bytes that are no message, nothing is decoded")
{
    PeerMessage message;
    message.type = PeerMessageType::Request;
    message.request.body = { 1, 2, 3 };
    const auto bytes = encode(message);
    const std::string text(bytes.begin(), bytes.end());
    REQUIRE(decode(text));
    CHECK(decode(text)->request.body == message.request.body);
    CHECK_FALSE(decode(text.substr(0, text.size() - 1)));
    CHECK_FALSE(decode(text + "x"));
    CHECK(rc::check("any bytes decode to a message or to nothing", [](const std::string& any) { decode(any); }));
}
