#include <CLI/CLI.hpp>

#include "cicadalb/client/TrainerClient.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/lexical_cast.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <set>

/// @file
/// Stand-in for a trainer: runs steps to their end through the client library and prints a JSON line for each.

namespace {

using namespace cicadalb;

struct TrainerArguments {
    std::vector<std::string> hosts;
    std::string trainer = "trainer";
    std::string token;
    StepNumber firstStep = 1;
    unsigned steps = 1;
    unsigned groups = 4;
    unsigned samples = 4;
    unsigned maximumTokens = 64;
    WeightVersion weightVersion = 1;
    unsigned timeoutSeconds = 60;
};

/// What the trainer received of a step.
struct StepReport {
    std::size_t received = 0;
    std::set<SampleIndex> distinct;
    std::set<WeightVersion> versions;
    std::size_t unlabelled = 0;
    std::string error;
};

Endpoint endpointFrom(const std::string& text)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, boost::algorithm::is_any_of(":"));
    return Endpoint { parts.at(0), boost::lexical_cast<std::uint16_t>(parts.at(1)) };
}

StepSpec stepSpec(const TrainerArguments& arguments, StepNumber number)
{
    StepSpec spec;
    spec.key = StepKey { TrainerName(arguments.trainer), number };
    spec.maximumTokens = arguments.maximumTokens;
    for (unsigned i = 0; i < arguments.groups; ++i)
        spec.groups.push_back(SampleGroup { "summarise invoice " + std::to_string(i), "invoice-" + std::to_string(i), arguments.samples });
    return spec;
}

void addSamples(StepReport& report, const std::vector<Sample>& samples)
{
    for (const auto& sample : samples) {
        ++report.received;
        report.distinct.insert(sample.position);
        report.versions.insert(sample.versions.begin(), sample.versions.end());
        report.unlabelled += sample.versions.empty() ? 1 : 0;
    }
}

void printReport(const StepSpec& spec, const StepReport& report)
{
    const nlohmann::json line {
        { "step", spec.key.step },
        { "expected", spec.sampleCount() },
        { "received", report.received },
        { "distinct", report.distinct.size() },
        { "unlabelled", report.unlabelled },
        { "versions", report.versions },
        { "error", report.error },
    };
    std::cout << line.dump() << std::endl;
}

Task<void> runSteps(TrainerClient& client, const TrainerArguments& arguments, bool& hasSucceeded)
{
    for (unsigned i = 0; i < arguments.steps; ++i) {
        const auto spec = stepSpec(arguments, arguments.firstStep + i);
        StepReport report;
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(arguments.timeoutSeconds);
        auto handler = [&report, &arguments](std::vector<Sample> samples) {
            addSamples(report, samples);
            return arguments.weightVersion;
        };
        const auto finished = co_await client.receiveStep(spec, arguments.weightVersion, handler, deadline);
        if (!finished)
            report.error = describe(finished.error());
        hasSucceeded = hasSucceeded && finished.has_value();
        printReport(spec, report);
    }
}

} // namespace

int main(int argc, char** argv)
{
    TrainerArguments arguments;
    CLI::App app { "Stand-in for a trainer" };
    app.add_option("--host", arguments.hosts, "Host to call, as IP:PORT; may be repeated")->required();
    app.add_option("--trainer", arguments.trainer, "Name in the routes table");
    app.add_option("--token", arguments.token, "Bearer token")->required();
    app.add_option("--first-step", arguments.firstStep, "Number of the first step");
    app.add_option("--steps", arguments.steps, "Number of steps");
    app.add_option("--groups", arguments.groups, "Groups per step");
    app.add_option("--samples", arguments.samples, "Samples per group");
    app.add_option("--maximum-tokens", arguments.maximumTokens, "Maximum tokens of a sample");
    app.add_option("--weight-version", arguments.weightVersion, "The trainer's current weight version");
    app.add_option("--timeout-s", arguments.timeoutSeconds, "Time limit of each step");
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context context;
    TrainerClientOptions options;
    for (const auto& host : arguments.hosts)
        options.hosts.push_back(endpointFrom(host));
    options.bearerToken = arguments.token;
    const SteadyClock clock;
    TrainerClient client(context.get_executor(), options, clock, static_cast<std::uint64_t>(std::chrono::steady_clock::now().time_since_epoch().count()));
    bool hasSucceeded = true;
    boost::asio::co_spawn(context, runSteps(client, arguments, hasSucceeded), boost::asio::detached);
    context.run();
    return hasSucceeded ? 0 : 1;
}
