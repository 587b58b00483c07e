#include "cicadalb/config/ConfigurationValidator.h"

#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdio>
#include <string>

/// @file
/// Measures the size of an accepted configuration record and the time to check and accept an edit, by number of targets.

using namespace cicadalb;

namespace {

struct Options {
    std::size_t targets = 12000;
    std::size_t routes = 64;
    unsigned repetitions = 5;
};

constexpr std::size_t targetsPerPool = 1000;

std::string makeRoutesText(std::size_t routes)
{
    std::string text;
    for (std::size_t index = 0; index < routes; ++index) {
        const auto number = std::to_string(index);
        text.append("[routes.route-").append(number).append("]\npath = \"/service-").append(number).append("\"\npool = \"pool-0\"\n");
    }
    return text;
}

void appendTarget(std::string& text, std::size_t pool, std::size_t index)
{
    text.append("[[pools.pool-").append(std::to_string(pool)).append(".targets]]\n");
    text.append("id = \"sampler-").append(std::to_string(index)).append("\"\n");
    text.append("address = \"10.").append(std::to_string(index / 65536)).append(".").append(std::to_string(index / 256 % 256)).append(".").append(std::to_string(index % 256)).append("\"\n");
    text.append("port = 9100\nfailure-domain = \"salt-lake\"\n");
}

std::string makePoolsText(std::size_t targets)
{
    std::string text;
    for (std::size_t index = 0; index < targets; ++index) {
        const auto pool = index / targetsPerPool;
        if (index % targetsPerPool == 0)
            text.append("[pools.pool-").append(std::to_string(pool)).append("]\nkind = \"model-engine\"\nmodel = \"draft\"\n");
        appendTarget(text, pool, index);
    }
    return text;
}

/// Mean wall-clock time of one run of @p work.
template <typename Work>
double meanMilliseconds(unsigned repetitions, Work work)
{
    const auto begin = std::chrono::steady_clock::now();
    for (unsigned run = 0; run < repetitions; ++run)
        work();
    const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - begin;
    return elapsed.count() / repetitions;
}

void printRow(const std::string& name, std::size_t targets, double value, const char* unit)
{
    std::printf("configuration-%s-%zu-targets %.3f %s\n", name.c_str(), targets, value, unit);
}

void measure(const Options& options, std::size_t targets)
{
    ConfigurationEdit edit;
    edit.routesText = makeRoutesText(options.routes);
    edit.poolsText = makePoolsText(targets);
    edit.author = "bench";
    edit.editId = "first";
    const auto parseMilliseconds = meanMilliseconds(options.repetitions, [&] { (void)parseTables(edit.routesText, edit.poolsText); });
    AcceptedConfiguration record;
    record.number = 1;
    record.routesText = edit.routesText;
    record.poolsText = edit.poolsText;
    record.editId = "first";
    const auto json = toJson(record);
    printRow("record-size", targets, static_cast<double>(json.size()), "bytes");
    printRow("parse", targets, parseMilliseconds, "ms");
    printRow("read-record", targets, meanMilliseconds(options.repetitions, [&] { (void)acceptedConfigurationFromJson(json); }), "ms");

    record.tables = parseTables(edit.routesText, edit.poolsText).value();
    const ConfigurationValidator validator(record);
    edit.baseNumber = 1;
    edit.editId = "second";
    edit.poolsText += "# edit\n";
    bool isAccepted = false;
    const auto acceptMilliseconds = meanMilliseconds(options.repetitions, [&] { isAccepted = validator.accept(edit).has_value(); });
    printRow("accept", targets, acceptMilliseconds, "ms");
    printRow("accepted", targets, isAccepted ? 1 : 0, "yes-or-no");
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    CLI::App app("Measures the size of an accepted configuration record and the time to check and accept an edit");
    app.add_option("--targets", options.targets, "Largest number of targets; a hundredth and a tenth of it are measured too")->capture_default_str();
    app.add_option("--routes", options.routes, "Number of routes")->capture_default_str();
    app.add_option("--repetitions", options.repetitions, "Number of runs that each time is averaged over")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    for (const auto targets : { options.targets / 100, options.targets / 10, options.targets })
        measure(options, targets);
    return 0;
}
