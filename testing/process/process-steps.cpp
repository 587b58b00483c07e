#include "Deployment.h"

#include "cicadalb/client/TrainerClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <set>

using namespace cicadalb;
using namespace cicadalb::testing;

namespace {

constexpr std::chrono::seconds stepPatience { 60 };
constexpr std::size_t samplesPerGroup = 8;

/// What a trainer received of one step.
struct Received {
    std::size_t samples = 0;
    std::set<SampleIndex> distinct;
    bool allLabelled = true;
};

StepSpec stepSpec(StepNumber number)
{
    StepSpec spec;
    spec.key = StepKey { TrainerName("invoice-draft"), number };
    spec.maximumTokens = 32;
    for (const auto* prompt : { "first", "second", "third" })
        spec.groups.push_back(SampleGroup { prompt, prompt, samplesPerGroup });
    return spec;
}

/// A trainer that runs steps and does something to the hosts when the first samples of each arrive.
struct StepsFixture {
    using Disturbance = std::function<void(StepNumber)>;

    StepsFixture()
    {
        TrainerClientOptions options;
        for (const auto& host : deployment.hosts)
            options.hosts.push_back(Endpoint { "127.0.0.1", host->callerPort });
        options.bearerToken = "trainer-token";
        options.samplesPerPull = 4;
        client = std::make_unique<TrainerClient>(trainer.context.get_executor(), options, clock, 1);
    }

    Received run(StepNumber number, const Disturbance& disturb)
    {
        Received received;
        const auto handler = [&](std::vector<Sample> samples) {
            if (received.samples == 0)
                disturb(number);
            for (const auto& sample : samples) {
                ++received.samples;
                received.distinct.insert(sample.position);
                received.allLabelled = received.allLabelled && !sample.versions.empty();
            }
            return WeightVersion { 1 };
        };
        auto finished = boost::asio::co_spawn(trainer.context, receive(number, handler), boost::asio::use_future);
        CHECK(finished.get());
        return received;
    }

    Task<bool> receive(StepNumber number, SampleHandler handler)
    {
        const auto result = co_await client->receiveStep(stepSpec(number), 1, std::move(handler), clock.now() + stepPatience);
        co_return result.has_value();
    }

    static void checkExactlyOnce(const Received& received)
    {
        const auto expected = stepSpec(0).sampleCount();
        CHECK(received.samples == expected);
        CHECK(received.distinct.size() == expected);
        CHECK(received.allLabelled);
    }

    SteadyClock clock;
    Deployment deployment { { 4, 1 } };
    ClientThread trainer;
    std::unique_ptr<TrainerClient> client;
};

} // namespace

TEST_CASE_METHOD(StepsFixture, "Steps, a host killed in each with the key-value service down, bring each sample once")
{
    deployment.control(*deployment.keyValue, { { "down", true } });
    for (StepNumber number = 1; number <= 3; ++number)
        checkExactlyOnce(run(number, [this](StepNumber step) { deployment.hosts[step]->process->signal(SIGKILL); }));
}

TEST_CASE_METHOD(StepsFixture, "Steps, a host frozen in one and continued in the next, bring each sample once")
{
    for (StepNumber number = 1; number <= 4; ++number) {
        const bool isFreezing = number % 2 == 1;
        checkExactlyOnce(run(number, [this, isFreezing](StepNumber step) {
            deployment.hosts[(step + 1) / 2]->process->signal(isFreezing ? SIGSTOP : SIGCONT);
        }));
    }
}

TEST_CASE_METHOD(StepsFixture, "Steps, a host stopped gracefully in each, bring each sample once")
{
    for (StepNumber number = 1; number <= 3; ++number)
        checkExactlyOnce(run(number, [this](StepNumber step) { deployment.hosts[step]->process->signal(SIGTERM); }));
    for (std::size_t index = 1; index <= 3; ++index)
        CHECK(deployment.hosts[index]->process->wait() == 0);
}
