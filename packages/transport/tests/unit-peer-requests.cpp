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
        const auto index = answers.size();
        answers.emplace_back();
        return outstanding.add({}, TimePoint() + timeout, [this, index](PeerAnswer answer) { answers[index].push_back(answer); });
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

    OutstandingRequests::Writer write = [this](std::uint64_t id, const PeerRequest&) { written.push_back(id); };
    OutstandingRequests outstanding;
    std::vector<std::uint64_t> written;
    std::vector<std::vector<PeerAnswer>> answers;
};

} // namespace

TEST_CASE_METHOD(OutstandingFixture, "Outstanding request, answer with another request id or incarnation, is ignored")
{
    const auto id = add();
    outstanding.send(id, 7, write);
    CHECK_FALSE(outstanding.complete(answerTo(id + 1, 7)));
    CHECK_FALSE(outstanding.complete(answerTo(id, 6)));
    CHECK(answers[0].empty());
    CHECK(outstanding.complete(answerTo(id, 7)));
    CHECK_FALSE(outstanding.complete(answerTo(id, 7)));
    CHECK(answers[0].size() == 1);
}

TEST_CASE_METHOD(OutstandingFixture, "Outstanding requests, new link reaches a restarted host, sent ones end as unknown and unsent ones are written")
{
    outstanding.send(add(), 1, write);
    const auto unsent = add();
    written.clear();
    outstanding.resendAll(2, write);
    CHECK(written == std::vector<std::uint64_t> { unsent });
    REQUIRE(answers[0].size() == 1);
    CHECK(answers[0][0].outcome == PeerOutcome::Unknown);
    CHECK(answers[1].empty());
}

TEST_CASE_METHOD(OutstandingFixture, "Outstanding requests, deadline passes, sent ones end as unknown and unsent ones as not sent")
{
    outstanding.send(add(std::chrono::seconds(1)), 1, write);
    add(std::chrono::seconds(1));
    add(std::chrono::seconds(5));
    outstanding.expire(TimePoint() + std::chrono::seconds(2), {});
    CHECK(answers[0].at(0).outcome == PeerOutcome::Unknown);
    CHECK(answers[1].at(0).outcome == PeerOutcome::NotSent);
    CHECK(answers[2].empty());
}

TEST_CASE("Outstanding and received requests, links lost and deliveries repeated at any point, each request runs at most once and ends once")
{
    CHECK(rc::check("each request runs at most once and gets its own answer once", [] {
        OutstandingFixture requester;
        ReceivedLimits limits;
        limits.maximumAnswers = 2;
        ReceivedRequests receiver(limits);
        std::map<std::uint64_t, unsigned> runs;
        std::vector<std::uint64_t> lateDeliveries;
        const auto deliver = [&](std::uint64_t id) {
            if (receiver.receive(id, 0) == ReceiveOutcome::New)
                ++runs[id];
        };
        const auto steps = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 5U));
        for (const auto step : steps) {
            if (step == 0) {
                requester.outstanding.send(requester.add(), 1, requester.write);
            } else if (step == 1) {
                // The link delivers the next request.
                if (!requester.written.empty()) {
                    deliver(requester.written.front());
                    lateDeliveries.push_back(requester.written.front());
                    requester.written.erase(requester.written.begin());
                }
            } else if (step == 2) {
                // The link is replaced; the requests that it had not delivered may still arrive at any time.
                lateDeliveries.insert(lateDeliveries.end(), requester.written.begin(), requester.written.end());
                requester.written.clear();
                requester.outstanding.resendAll(1, requester.write);
            } else if (step == 3) {
                if (!runs.empty())
                    receiver.storeAnswer(runs.rbegin()->first, {});
                for (const auto& [id, count] : runs) {
                    if (receiver.storedAnswer(id))
                        requester.outstanding.complete(OutstandingFixture::answerTo(id, 1));
                }
            } else if (!lateDeliveries.empty()) {
                const auto late = *rc::gen::elementOf(lateDeliveries);
                deliver(late);
            }
        }
        requester.outstanding.failAll({});
        for (const auto& [id, count] : runs)
            RC_ASSERT(count == 1U);
        for (std::size_t index = 0; index < requester.answers.size(); ++index) {
            RC_ASSERT(requester.answers[index].size() == 1U);
            const auto& answer = requester.answers[index][0];
            RC_ASSERT(answer.outcome != PeerOutcome::Answered || answer.message == std::to_string(index + 1));
        }
    }));
}

TEST_CASE("Received request, its answer was discarded, does not run again")
{
    ReceivedLimits limits;
    limits.maximumAnswers = 1;
    ReceivedRequests received(limits);
    for (std::uint64_t id = 1; id <= 2; ++id) {
        CHECK(received.receive(id, 0) == ReceiveOutcome::New);
        CHECK(received.storeAnswer(id, {}));
    }
    CHECK(received.receive(1, 0) == ReceiveOutcome::Discarded);
    CHECK(received.receive(2, 0) == ReceiveOutcome::Answered);
    CHECK(received.receive(3, 3) == ReceiveOutcome::New);
    CHECK(received.answerCount() == 0);
}

TEST_CASE("Received request, maximum number of requests running, is refused")
{
    ReceivedLimits limits;
    limits.maximumRunning = 1;
    ReceivedRequests received(limits);
    CHECK(received.receive(1, 0) == ReceiveOutcome::New);
    CHECK(received.receive(2, 0) == ReceiveOutcome::Refused);
    CHECK(received.receive(1, 0) == ReceiveOutcome::Running);
}

TEST_CASE("Peer proof, different secret, role, nonce or incarnation, differs")
{
    const PeerHandshake handshake { { "a", 1 }, { "b", 2 }, "n", "m" };
    const auto proof = connectorProof("secret", handshake);
    const PeerHandshake otherNonce { { "a", 1 }, { "b", 2 }, "x", "m" };
    const PeerHandshake otherIncarnation { { "a", 1 }, { "b", 3 }, "n", "m" };
    const std::set<std::string> proofs { proof, listenerProof("secret", handshake), connectorProof("other", handshake),
        connectorProof("secret", otherNonce), connectorProof("secret", otherIncarnation) };
    CHECK(proofs.size() == 5);
    CHECK(randomNonce() != randomNonce());
}

TEST_CASE("Peer message, decoding bytes that are not a message, returns nothing")
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
    CHECK(rc::check("any bytes decode to a message or to nothing", [](const std::string& input) { decode(input); }));
}
