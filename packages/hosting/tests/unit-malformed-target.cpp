#include "ForwardingFixture.h"

#include "cicadalb/services/ScriptedServer.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

/// A host with one target, which sends given bytes as answers.
struct MalformedTargetFixture : ForwardingFixture {
    std::unique_ptr<ScriptedServer> target;

    MalformedTargetFixture()
    {
        route.kind = RequestKind::NonIdempotent;
        route.maximumAttempts = 1;
        onWorker([this] {
            target = std::make_unique<ScriptedServer>(workers.context(0));
            store.put("targets/first", "ledger 127.0.0.1:" + std::to_string(target->port()) + " ready draft 1 200");
            store.put("targets/second", second.record("leaving", 100));
        });
    }

    ForwardOutcome forwardAnswer(const std::string& answer)
    {
        onWorker([&] { target->answers.push_back(answer); });
        return forwardOnce();
    }
};

} // namespace

// Guards against the status 000 of a faulty target, which callers received as the answer to their request.
TEST_CASE_METHOD(MalformedTargetFixture, "request forwarder, target answers with what is no HTTP answer, does not pass it on and reports that the request may have run")
{
    const auto head = GENERATE(as<std::string> {}, "HTTP/1.1 000 None", "HTTP/1.1 600 None", "HTTP/1.1 100 Continue", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 200 OK\r\nX Bad: 1", "HTTP/1.1 200 OK\r\nX\x01: 1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip");
    const auto outcome = forwardAnswer(head + "\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
    CHECK(outcome.state == ForwardState::Unknown);
    CHECK(outcome.answer.body.empty());
}

TEST_CASE_METHOD(MalformedTargetFixture, "request forwarder, target sends an interim answer first, passes the final one on")
{
    const auto outcome = forwardAnswer("HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok");
    CHECK(outcome.state == ForwardState::Answered);
    CHECK(outcome.answer.status == 200);
    CHECK(outcome.answer.body == "ok");
}
