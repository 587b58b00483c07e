#include "cicadalb/config/OperatorProof.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

namespace {

struct ProofFixture {
    static constexpr std::int64_t now = 1'700'000'000;
    Secret secret { "0123456789abcdef" };
    OperatorCall call { "GET", "/state" };
    OperatorProofChecker checker { secret };

    bool isAccepted(const std::string& proof, const OperatorCall& received, std::int64_t nowSeconds)
    {
        return checker.check(received, proof, nowSeconds).has_value();
    }
};

} // namespace

TEST_CASE_METHOD(ProofFixture, "proof made with the secret is accepted only once")
{
    const auto proof = makeOperatorProof(secret, call, now, "n1");
    CHECK(isAccepted(proof, call, now + operatorProofWindowSeconds));
    CHECK_FALSE(isAccepted(proof, call, now));
    CHECK(isAccepted(makeOperatorProof(secret, call, now, "n2"), call, now));
}

TEST_CASE_METHOD(ProofFixture, "proof for another call, secret or time is refused")
{
    const auto proof = makeOperatorProof(secret, call, now, "n1");
    CHECK_FALSE(isAccepted(proof, { "POST", "/state" }, now));
    CHECK_FALSE(isAccepted(proof, { "GET", "/metrics" }, now));
    CHECK_FALSE(isAccepted(proof, call, now + operatorProofWindowSeconds + 1));
    CHECK_FALSE(isAccepted(proof, call, now - operatorProofWindowSeconds - 1));
    CHECK_FALSE(isAccepted(makeOperatorProof(Secret("another-secret-16"), call, now, "n1"), call, now));
    CHECK(isAccepted(proof, call, now));
}

TEST_CASE_METHOD(ProofFixture, "malformed proof is refused, and so is any proof if the host has no secret")
{
    for (const auto* header : { "", ":", "::", "1:2", "x:n:00", "1700000000::00", "1700000000:n:" })
        CHECK_FALSE(isAccepted(header, call, now));
    OperatorProofChecker withoutSecret { Secret() };
    CHECK_FALSE(withoutSecret.check(call, makeOperatorProof(Secret(), call, now, "n"), now).has_value());
}
