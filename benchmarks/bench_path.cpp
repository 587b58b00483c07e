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
/// Sends the same small request to two endpoints (a target and a host before it), in turns in one run, and compares them.

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

struct Sample {
    double requestsPerSecond = 0;
    double p50Microseconds = 0;
    double p99Microseconds = 0;
    std::size_t failures = 0;
};

/// Latencies of one connection.
struct Series {
    std::vector<double> microseconds;
    std::size_t failures = 0;
};

Task<void> sendRequests(boost::asio::any_io_executor executor, std::uint16_t port, const PathArguments& arguments, TimePoint end, Series& series)
{
    HttpClient client(executor, Endpoint { "127.0.0.1", port });
    while (std::chrono::steady_clock::now() < end) {
        HttpRequest request;
        request.target = arguments.path;
        request.fields.emplace_back("Authorization", "Bearer " + arguments.token);
        const auto begin = std::chrono::steady_clock::now();
        const auto response = co_await client.send(std::move(request), begin + std::chrono::seconds(5));
        const auto latency = std::chrono::steady_clock::now() - begin;
        series.microseconds.push_back(std::chrono::duration<double, std::micro>(latency).count());
        if (!response || response.value().status != 200)
            ++series.failures;
    }
}

/// Spreads the connections over @p ports.
Sample measure(const std::vector<std::uint16_t>& ports, unsigned connections, const PathArguments& arguments)
{
    WorkerPool workers(arguments.threads);
    std::vector<Series> series(connections);
    std::vector<std::future<void>> running;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(arguments.seconds);
    for (unsigned i = 0; i < connections; ++i) {
        const auto executor = workers.context(i % workers.size()).get_executor();
        running.push_back(boost::asio::co_spawn(executor, sendRequests(executor, ports[i % ports.size()], arguments, end, series[i]), boost::asio::use_future));
    }
    std::vector<double> all;
    Sample sample;
    for (unsigned i = 0; i < connections; ++i) {
        running[i].get();
        all.insert(all.end(), series[i].microseconds.begin(), series[i].microseconds.end());
        sample.failures += series[i].failures;
    }
    std::sort(all.begin(), all.end());
    sample.requestsPerSecond = static_cast<double>(all.size()) / arguments.seconds;
    sample.p50Microseconds = all[all.size() / 2];
    sample.p99Microseconds = all[all.size() * 99 / 100];
    return sample;
}

void print(const std::string& name, const Sample& sample)
{
    std::cout << std::fixed << std::setprecision(0)
              << name << "_rate " << sample.requestsPerSecond << " requests/s\n"
              << name << "_p50 " << sample.p50Microseconds << " us\n"
              << name << "_p99 " << sample.p99Microseconds << " us\n"
              << name << "_failures " << sample.failures << " requests\n";
}

} // namespace

int main(int argc, char** argv)
{
    PathArguments arguments;
    CLI::App app { "Cost of one entry host on the path of a small request. scripts/bench-path starts what it needs." };
    app.add_option("--direct", arguments.directPorts, "Port of a target; may be repeated")->required();
    app.add_option("--host", arguments.hostPorts, "Port of the host before them")->required();
    app.add_option("--token", arguments.token, "Caller's token")->required();
    app.add_option("--path", arguments.path, "Path of the request");
    app.add_option("--seconds", arguments.seconds, "Time for each measurement");
    app.add_option("--connections", arguments.connections, "Connections at full load");
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
