#include "cicadalb/routing/RetryBudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace cicadalb;

TEST_CASE("retry budget, over any requests and retries, stays within its percentage and its initial retries")
{
    CHECK(rc::check("retry budget property", [] {
        const auto percent = *rc::gen::inRange(0U, 101U);
        RetryBudget budget(percent);
        double requests = 0;
        double retries = 0;
        for (const bool isRequest : *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>())) {
            if (isRequest) {
                budget.recordRequest();
                ++requests;
            } else if (budget.tryTakeRetry()) {
                ++retries;
            }
            RC_ASSERT(retries <= percent / 100.0 * requests + RetryBudget::initialRetries);
            RC_ASSERT(percent > 0 || retries == 0);
        }
    }));
}

TEST_CASE("retry budget, of ten percent with every attempt failing, keeps attempts under 1.1 times the requests after 300 requests")
{
    RetryBudget budget(10);
    unsigned attempts = 0;
    for (unsigned requests = 1; requests <= 100000; ++requests) {
        budget.recordRequest();
        ++attempts;
        while (budget.tryTakeRetry())
            ++attempts;
        CHECK((requests < 300 || attempts < 1.1 * requests));
    }
}

TEST_CASE("retry budget, after many requests without retries, allows the maximum of available retries at once")
{
    RetryBudget budget(50);
    for (int i = 0; i < 1000; ++i)
        budget.recordRequest();
    unsigned retries = 0;
    while (budget.tryTakeRetry())
        ++retries;
    CHECK(retries == static_cast<unsigned>(RetryBudget::maximumAvailableRetries));
}
