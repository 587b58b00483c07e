#include "FleetSimulation.h"

#include <CLI/CLI.hpp>

#include <iomanip>
#include <iostream>

/// @file
/// Groups in time, price of the engines and orders with the planned fleet, with the engines of the start, and with as many as may be ordered.

int main(int argc, char** argv)
{
    using namespace cicadalb;
    using namespace cicadalb::simulation;
    FleetScenario scenario;
    CLI::App app("Fleets of engines: planned, fixed, and at the maximum");
    app.add_option("--seed", scenario.seed, "Seed of lengths, lost answers and reclaimed failure domains");
    app.add_option("--step", scenario.loadStep, "Length of texts in the second half, as a multiple of the first");
    CLI11_PARSE(app, argc, argv);
    for (const double load : { 0.3, 0.5, 0.8, 1.1 }) {
        scenario.load = load;
        for (const auto& [name, rule] : { std::pair("planned", FleetRule::Planned), std::pair("fixed", FleetRule::Fixed), std::pair("maximum", FleetRule::Maximum) }) {
            scenario.rule = rule;
            const auto result = FleetSimulation(scenario).run();
            const auto row = [&, name = name](const char* value, double number, const char* unit) {
                std::cout << "fleet." << name << ".load-" << std::fixed << std::setprecision(1) << load << "." << value << " " << std::setprecision(3) << number << " " << unit << "\n";
            };
            row("in-time", result.trainers.inTime, "share");
            row("cost", result.cost, "price");
            row("engine-seconds", result.engineSeconds, "s");
            row("orders", static_cast<double>(result.orders), "calls");
            row("broken-runs", static_cast<double>(result.brokenRuns), "runs");
        }
    }
    return 0;
}
