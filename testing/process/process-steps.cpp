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

constexpr std::chrono::seconds stepTimeout { 60 };
constexpr std::size_t samplesPerGroup = 8;

/// The samples that a trainer received of one step.
struct ReceivedSamples {
    std::size_t samples = 0;
    std::set<SampleIndex> distinct;
    bool areAllLabelled = true;
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

/// A trainer that runs steps. When the first samples of a step arrive, a fault is injected into the hosts.
struct StepsFixture {
    using FaultInjection = std::function<void(StepNumber)>;

    StepsFixture()
    {
        TrainerClientOptions options;
        for (const auto& host : deployment.hosts)
            options.hosts.push_back(Endpoint { "127.0.0.1", host->callerPort });
        options.bearerToken = "trainer-token";
        options.samplesPerPull = 4;
        client = std::make_unique<TrainerClient>(trainerThread.context.get_executor(), options, clock, 1);
    }

    ReceivedSamples run(StepNumber number, const FaultInjection& injectFault)
    {
        ReceivedSamples received;
        const auto handler = [&](std::vector<Sample> samples) {
            if (received.samples == 0)
                injectFault(number);
            for (const auto& sample : samples) {
                ++received.samples;
                received.distinct.insert(sample.position);
                received.areAllLabelled = received.areAllLabelled && !sample.versions.empty();
            }
            return WeightVersion { 1 };
        };
        auto finished = boost::asio::co_spawn(trainerThread.context, receive(number, handler), boost::asio::use_future);
        CHECK(finished.get());
        return received;
    }

    Task<bool> receive(StepNumber number, SampleHandler handler)
    {
        const auto result = co_await client->receiveStep(stepSpec(number), 1, std::move(handler), clock.now() + stepTimeout);
        co_return result.has_value();
    }

    static void checkExactlyOnce(const ReceivedSamples& received)
    {
        const auto expected = stepSpec(0).sampleCount();
        CHECK(received.samples == expected);
        CHECK(received.distinct.size() == expected);
        CHECK(received.areAllLabelled);
    }

    SteadyClock clock;
    Deployment deployment { { 4, 1 } };
    ClientThread trainerThread;
    std::unique_ptr<TrainerClient> client;
};

} // namespace

TEST_CASE_METHOD(StepsFixture, "Steps bring each sample once when a host is killed in each step while the key-value service is down")
{
    deployment.control(*deployment.keyValue, { { "down", true } });
    for (StepNumber number = 1; number <= 3; ++number)
        checkExactlyOnce(run(number, [this](StepNumber step) { deployment.hosts[step]->process->signal(SIGKILL); }));
}

TEST_CASE_METHOD(StepsFixture, "Steps bring each sample once when a host is frozen in one step and continued in the next")
{
    for (StepNumber number = 1; number <= 4; ++number) {
        const bool isFreezing = number % 2 == 1;
        checkExactlyOnce(run(number, [this, isFreezing](StepNumber step) {
            deployment.hosts[(step + 1) / 2]->process->signal(isFreezing ? SIGSTOP : SIGCONT);
        }));
    }
}

TEST_CASE_METHOD(StepsFixture, "Steps bring each sample once when a host is stopped gracefully in each step")
{
    for (StepNumber number = 1; number <= 3; ++number)
        checkExactlyOnce(run(number, [this](StepNumber step) { deployment.hosts[step]->process->signal(SIGTERM); }));
    for (std::size_t index = 1; index <= 3; ++index)
        CHECK(deployment.hosts[index]->process->wait() == 0);
}
