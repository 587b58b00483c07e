#include "TrainerSimulation.h"

#include <CLI/CLI.hpp>

#include <iomanip>
#include <iostream>
#include <sstream>

/// @file
/// What trainers get when they ask for less and for more than the engines can generate, in the order of due times and with groups that can be whole
/// in time first.

namespace {

using namespace cicadalb;
using namespace cicadalb::simulation;

TrainerResult meanOf(TrainerScenario scenario, unsigned seeds)
{
    TrainerResult mean;
    mean.leastInTime = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        scenario.seed = seed;
        const auto result = TrainerSimulation(scenario).run();
        mean.inTime += result.inTime / seeds;
        mean.late += result.late / seeds;
        mean.never += result.never / seeds;
        mean.leastInTime += result.leastInTime / seeds;
        mean.mostInTime += result.mostInTime / seeds;
        mean.inVain += result.inVain / seeds;
        mean.longestStep = std::max(mean.longestStep, result.longestStep);
        mean.steps += result.steps;
        mean.cutRuns += result.cutRuns;
    }
    mean.steps /= seeds;
    mean.cutRuns /= seeds;
    return mean;
}

void print(const std::string& prefix, const TrainerResult& result)
{
    const auto row = [&prefix](const char* name, double value, const char* unit) { std::cout << "trainers." << prefix << "." << name << " " << std::fixed << std::setprecision(3) << value << " " << unit << "\n"; };
    row("in-time", result.inTime, "share");
    row("late", result.late, "share");
    row("never", result.never, "share");
    row("least-in-time", result.leastInTime, "share");
    row("most-in-time", result.mostInTime, "share");
    row("steps", static_cast<double>(result.steps), "steps");
    row("longest-step", result.longestStep, "s");
    row("cut-runs", static_cast<double>(result.cutRuns), "runs");
    row("in-vain", result.inVain, "share");
}

} // namespace

int main(int argc, char** argv)
{
    unsigned seeds = 5;
    bool hasSlowPeriod = false;
    double slowEngines = 0;
    CLI::App app("Trainers that ask for less and for more than the engines can generate");
    app.add_option("--seeds", seeds, "Simulations for each row");
    app.add_flag("--slow-period", hasSlowPeriod, "Engines generate at a third of their speed for a quarter of the time");
    app.add_option("--slow-engines", slowEngines, "Share of the engines that turn three times slower for 8 s of every 20");
    bool hasLongTexts = false;
    app.add_flag("--long-texts", hasLongTexts, "35 engines, and texts of which the longest need 5.6 of the 7.5 s in which steps are due");
    CLI11_PARSE(app, argc, argv);
    for (const double load : { 0.7, 0.9, 1.0, 1.3, 1.7, 2.5 }) {
        for (const auto order : { GroupOrder::DueTime, GroupOrder::InTimeFirst }) {
            TrainerScenario scenario;
            scenario.load = load;
            scenario.order = order;
            scenario.hasSlowPeriod = hasSlowPeriod;
            if (hasLongTexts) {
                scenario.engines = 35;
                scenario.lengthSpread = 0.9;
                scenario.longestText = 5.6;
            }
            scenario.slowEnginesShare = slowEngines;
            std::ostringstream prefix;
            prefix << "load-" << load << "." << name(order);
            print(prefix.str(), meanOf(scenario, seeds));
        }
    }
}
