#include "cicadalb/services/HttpClient.h"
#include "cicadalb/transport/WorkerPool.h"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <algorithm>
#include <future>
#include <iomanip>
#include <iostream>

/// @file
/// Sends the same small request to targets directly and through a host, one after the other in one run, and compares rates and latencies.

namespace {

using namespace cicadalb;

struct PathArguments {
    std::vector<std::uint16_t> directPorts;
    std::vector<std::uint16_t> hostPorts;
    std::string path = "/ledger/lookups/M-1";
    std::string token;
    unsigned seconds = 2;
    unsigned connections = 32;
    std::size_t threads = 2;
};

struct Measurement {
    double requestsPerSecond = 0;
    double p50Microseconds = 0;
    double p99Microseconds = 0;
    std::size_t failures = 0;
};

/// Latencies and failures of one connection.
struct ConnectionResult {
    std::vector<double> latenciesMicroseconds;
    std::size_t failures = 0;
};

Task<void> sendRequests(boost::asio::any_io_executor executor, std::uint16_t port, const PathArguments& arguments, TimePoint end, ConnectionResult& result)
{
    HttpClient client(executor, Endpoint { "127.0.0.1", port });
    while (std::chrono::steady_clock::now() < end) {
        HttpRequest request;
        request.target = arguments.path;
        request.fields.emplace_back("Authorization", "Bearer " + arguments.token);
        const auto begin = std::chrono::steady_clock::now();
        const auto response = co_await client.send(std::move(request), begin + std::chrono::seconds(5));
        const auto latency = std::chrono::steady_clock::now() - begin;
        result.latenciesMicroseconds.push_back(std::chrono::duration<double, std::micro>(latency).count());
        if (!response || response.value().status != 200)
            ++result.failures;
    }
}

/// Sends requests over @p connections concurrent connections, spread evenly over @p ports.
Measurement measure(const std::vector<std::uint16_t>& ports, unsigned connections, const PathArguments& arguments)
{
    WorkerPool workers(arguments.threads);
    std::vector<ConnectionResult> results(connections);
    std::vector<std::future<void>> futures;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(arguments.seconds);
    for (unsigned i = 0; i < connections; ++i) {
        const auto executor = workers.context(i % workers.size()).get_executor();
        futures.push_back(boost::asio::co_spawn(executor, sendRequests(executor, ports[i % ports.size()], arguments, end, results[i]), boost::asio::use_future));
    }
    std::vector<double> allLatencies;
    Measurement measurement;
    for (unsigned i = 0; i < connections; ++i) {
        futures[i].get();
        allLatencies.insert(allLatencies.end(), results[i].latenciesMicroseconds.begin(), results[i].latenciesMicroseconds.end());
        measurement.failures += results[i].failures;
    }
    std::sort(allLatencies.begin(), allLatencies.end());
    measurement.requestsPerSecond = static_cast<double>(allLatencies.size()) / arguments.seconds;
    measurement.p50Microseconds = allLatencies[allLatencies.size() / 2];
    measurement.p99Microseconds = allLatencies[allLatencies.size() * 99 / 100];
    return measurement;
}

void print(const std::string& name, const Measurement& measurement)
{
    std::cout << std::fixed << std::setprecision(0)
              << name << "_rate " << measurement.requestsPerSecond << " requests/s\n"
              << name << "_p50 " << measurement.p50Microseconds << " us\n"
              << name << "_p99 " << measurement.p99Microseconds << " us\n"
              << name << "_failures " << measurement.failures << " requests\n";
}

} // namespace

int main(int argc, char** argv)
{
    PathArguments arguments;
    CLI::App app { "Measures the cost of sending a small request through one entry host. scripts/bench-path starts the processes that this needs." };
    app.add_option("--direct", arguments.directPorts, "Port of a target; may be repeated")->required();
    app.add_option("--host", arguments.hostPorts, "Port of an entry host in front of the targets; may be repeated")->required();
    app.add_option("--token", arguments.token, "Token of the caller")->required();
    app.add_option("--path", arguments.path, "Path of the request");
    app.add_option("--seconds", arguments.seconds, "Duration of each measurement in seconds");
    app.add_option("--connections", arguments.connections, "Number of connections of the measurement at full load");
    CLI11_PARSE(app, argc, argv);

    const auto directLight = measure(arguments.directPorts, 1, arguments);
    const auto hostLight = measure(arguments.hostPorts, 1, arguments);
    print("path_light_direct", directLight);
    print("path_light_host", hostLight);
    std::cout << "path_light_added_p50 " << hostLight.p50Microseconds - directLight.p50Microseconds << " us\n";
    const auto directFull = measure(arguments.directPorts, arguments.connections, arguments);
    const auto hostFull = measure(arguments.hostPorts, arguments.connections, arguments);
    print("path_full_direct", directFull);
    print("path_full_host", hostFull);
    std::cout << std::setprecision(2) << "path_full_ratio " << hostFull.requestsPerSecond / directFull.requestsPerSecond << " host/direct\n";
    return 0;
}
