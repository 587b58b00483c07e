#include "ForwardingFixture.h"

#include "cicadalb/services/RepeatingServer.h"

using namespace cicadalb;

namespace {

/// A host with one target, which is full at first and sends its refusals twice.
struct RepeatedRefusalFixture : ForwardingFixture {
    RepeatingServer server { workers.context(0) };

    RepeatedRefusalFixture()
    {
        route.maximumAttempts = 2;
        onWorker([this] {
            store.put("targets/first", "ledger 127.0.0.1:" + std::to_string(server.port()) + " ready draft 1 100 r1");
            store.put("targets/second", "garbage");
        });
    }

    /// Forwards a request that may run once. @return the state that its caller is told
    ForwardState forwardOnceOnly(RequestKind kind)
    {
        server.refusals = 1;
        route.kind = kind;
        return forward();
    }
};

} // namespace

// Review case 4: the repeated refusal was taken for the answer to the second send, so that the request was sent a third time.
TEST_CASE_METHOD(RepeatedRefusalFixture, "request forwarder, refusal of a request that may run once comes twice, runs it once")
{
    CHECK(forwardOnceOnly(RequestKind::NonIdempotent) == ForwardState::Answered);
    CHECK(server.runs == 1);
}

TEST_CASE_METHOD(RepeatedRefusalFixture, "request forwarder, refusal of a stream comes twice, runs it once")
{
    CHECK(forwardOnceOnly(RequestKind::Stream) == ForwardState::Answered);
    CHECK(server.runs == 1);
}
