#include "cicadalb/services/LeaseStateMachine.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <ostream>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

enum class AnswerFault : std::uint8_t { None,
    Unavailable,
    /// The call takes effect.
    AnswerLost,
    /// The call has no effect.
    RequestLost };

struct RequestStep {
    std::chrono::milliseconds pause;
    bool isHeldByOther;
    bool callsStore;
    AnswerFault fault;
};

void showValue(const RequestStep& step, std::ostream& stream)
{
    stream << "pause " << step.pause.count() << (step.isHeldByOther ? " held by another host" : "") << (step.callsStore ? " call" : "") << " fault " << static_cast<int>(step.fault);
}

rc::Gen<RequestStep> arbitraryRequestStep()
{
    return rc::gen::construct<RequestStep>(rc::gen::element(0ms, 5ms, 150ms, 700ms, 1600ms, 9000ms), rc::gen::arbitrary<bool>(),
        rc::gen::weightedElement<bool>({ { 3, true }, { 1, false } }),
        rc::gen::weightedElement<AnswerFault>({ { 5, AnswerFault::None }, { 1, AnswerFault::Unavailable }, { 1, AnswerFault::AnswerLost }, { 1, AnswerFault::RequestLost } }));
}

/// A candidate whose calls are answered by a model of the store. Its key may be held by another host.
class LeaseRequestFixture {
public:
    static constexpr std::chrono::milliseconds timeToLive { 1600 };

    bool isHolder() const { return m_machine.fencingNumber().has_value(); }
    bool hasNamedExpiredLease() const { return m_hasNamedExpiredLease; }
    TimePoint nextCallAt() const { return m_machine.nextCallAt(); }
    LeaseCall nextCall() { return m_machine.next(m_now); }
    void skipDelay() { m_machine.skipDelay(m_now); }

    void advance(Duration time)
    {
        m_now += time;
        std::erase_if(m_leases, [this](const auto& lease) { return lease.second <= m_now; });
        if (m_keyLease != 0 && !m_leases.contains(m_keyLease))
            removeKey();
    }

    void setHeldByOther(bool isHeld)
    {
        m_isHeldByOther = isHeld && m_keyLease == 0;
        m_revision += m_isHeldByOther ? 1 : 0;
    }

    LeaseCall step(AnswerFault fault = AnswerFault::None)
    {
        const auto call = m_machine.next(m_now);
        if (call != LeaseCall::None)
            answer(call, fault);
        return call;
    }

    /// Makes calls that are all answered until the candidate holds the lease. @return the number of waits between them
    unsigned waitsUntilHolder()
    {
        unsigned waits = 0;
        for (unsigned calls = 0; calls < 12 && !isHolder(); ++calls) {
            if (nextCallAt() > m_now) {
                ++waits;
                advance(nextCallAt() - m_now);
            }
            step();
        }
        REQUIRE(isHolder());
        return waits;
    }

private:
    void removeKey()
    {
        m_keyLease = 0;
        ++m_revision;
    }

    void answer(LeaseCall call, AnswerFault fault)
    {
        const bool hasEffect = fault == AnswerFault::None || fault == AnswerFault::AnswerLost;
        const auto error = failure(fault == AnswerFault::Unavailable ? ErrorCode::Unavailable : ErrorCode::OutcomeUnknown, "injected fault");
        switch (call) {
        case LeaseCall::None:
            return;
        case LeaseCall::Grant: {
            const LeaseId lease = ++m_lastLease;
            if (hasEffect)
                m_leases[lease] = m_now + timeToLive;
            m_machine.onGrant(fault == AnswerFault::None ? Result<LeaseId>(lease) : Result<LeaseId>(error), m_now);
            return;
        }
        case LeaseCall::WriteKey: {
            const auto write = m_machine.keyWrite();
            const bool isLeaseAlive = m_leases.contains(write.lease);
            m_hasNamedExpiredLease = m_hasNamedExpiredLease || !isLeaseAlive;
            const bool isWritten = hasEffect && isLeaseAlive && !m_isHeldByOther && m_keyLease == 0;
            if (isWritten) {
                m_keyLease = write.lease;
                m_keyValue = write.value;
                ++m_revision;
            }
            if (fault != AnswerFault::None)
                m_machine.onKeyWritten(error, m_now);
            else if (isWritten)
                m_machine.onKeyWritten(m_revision, m_now);
            else
                m_machine.onKeyWritten(failure(isLeaseAlive ? ErrorCode::Conflict : ErrorCode::LeaseLost, "refused"), m_now);
            return;
        }
        case LeaseCall::ReadKey: {
            std::optional<KeyValueEntry> entry;
            if (m_keyLease != 0)
                entry = KeyValueEntry { "lease", m_keyValue, m_revision };
            else if (m_isHeldByOther)
                entry = KeyValueEntry { "lease", "other 1-1", m_revision };
            m_machine.onKeyRead(fault == AnswerFault::None ? Result<std::optional<KeyValueEntry>>(entry) : Result<std::optional<KeyValueEntry>>(error), m_now);
            return;
        }
        case LeaseCall::Renew: {
            const auto found = m_leases.find(m_machine.lease());
            const bool isAlive = found != m_leases.end();
            if (hasEffect && isAlive)
                found->second = m_now + timeToLive;
            if (fault != AnswerFault::None)
                m_machine.onRenew(error, m_now);
            else
                m_machine.onRenew(isAlive ? Result<void>(success()) : Result<void>(failure(ErrorCode::LeaseLost, "expired")), m_now);
            return;
        }
        case LeaseCall::Release:
            m_leases.erase(m_machine.lease());
            if (m_keyLease != 0 && !m_leases.contains(m_keyLease))
                removeKey();
            m_machine.onRelease(m_now);
            return;
        }
    }

    LeaseStateMachine m_machine { { "lease", "host", timeToLive, 0.02, 0.2, { 30ms, 300ms } }, 1 };
    TimePoint m_now { 1h };
    std::map<LeaseId, TimePoint> m_leases;
    LeaseId m_lastLease = 0;
    LeaseId m_keyLease = 0;
    std::string m_keyValue;
    Revision m_revision = 1;
    bool m_isHeldByOther = false;
    bool m_hasNamedExpiredLease = false;
};

} // namespace

// Guards against a vacancy that lasts one refusal and one delay longer, since the candidate continues its request of an earlier vacancy.
TEST_CASE_METHOD(LeaseRequestFixture, "lease request, begun at an earlier vacancy and its lease has expired, begins with a grant")
{
    REQUIRE(step() == LeaseCall::Grant);
    REQUIRE(nextCall() == LeaseCall::WriteKey);
    setHeldByOther(true);
    advance(9s);
    setHeldByOther(false);
    CHECK(nextCall() == LeaseCall::Grant);
    CHECK(waitsUntilHolder() == 0);
}

TEST_CASE_METHOD(LeaseRequestFixture, "lease request, refused before its lease has expired, costs the next vacancy no wait")
{
    REQUIRE(step() == LeaseCall::Grant);
    setHeldByOther(true);
    REQUIRE(step() == LeaseCall::WriteKey);
    REQUIRE(nextCall() == LeaseCall::Release);
    advance(9s);
    setHeldByOther(false);
    CHECK(waitsUntilHolder() == 0);
}

TEST_CASE_METHOD(LeaseRequestFixture, "lease request, outcome of its write unknown and its lease has expired, costs the next vacancy no wait")
{
    REQUIRE(step() == LeaseCall::Grant);
    REQUIRE(step(AnswerFault::RequestLost) == LeaseCall::WriteKey);
    REQUIRE(nextCall() == LeaseCall::ReadKey);
    setHeldByOther(true);
    advance(9s);
    setHeldByOther(false);
    CHECK(waitsUntilHolder() == 0);
}

TEST_CASE("lease request, any series of calls, answers, pauses and holders, never names an expired lease and costs a vacancy at most one wait")
{
    CHECK(rc::check("requests of a candidate", [] {
        const auto steps = *rc::gen::scale(2.0, rc::gen::container<std::vector<RequestStep>>(arbitraryRequestStep()));
        LeaseRequestFixture candidate;
        for (const auto& step : steps) {
            candidate.setHeldByOther(step.isHeldByOther);
            if (step.callsStore)
                candidate.step(step.fault);
            RC_ASSERT_FALSE(candidate.hasNamedExpiredLease());
            candidate.advance(step.pause);
        }
        candidate.setHeldByOther(false);
        // A holder whose lease has expired notices it by its next call.
        if (candidate.isHolder())
            return;
        candidate.skipDelay();
        RC_ASSERT(candidate.waitsUntilHolder() <= 1);
    }));
}
