#include "PromptSimulation.h"

#include <iostream>

/// @file
/// Times to the first event of long and short prompts on the same engines, without and with their sizes known to the scheduler.

using namespace cicadalb::simulation;

int main()
{
    for (const double load : { 0.5, 0.9 }) {
        for (const std::uint64_t tokens : { 1000U, 10000U, 30000U }) {
            for (const bool isKnown : { false, true }) {
                PromptScenario scenario;
                scenario.load = load;
                scenario.longPromptTokens = tokens;
                scenario.areSizesKnown = isKnown;
                const auto result = PromptSimulation(scenario).run();
                const auto label = "load-" + std::to_string(load).substr(0, 3) + "-long-" + std::to_string(tokens) + (isKnown ? "-known" : "-unknown");
                std::cout << label << "-short-p50 " << PromptResult::percentile(result.shortPrompts, 0.5) << " ms\n"
                          << label << "-short-p99 " << PromptResult::percentile(result.shortPrompts, 0.99) << " ms\n"
                          << label << "-short-in-aim " << PromptResult::shareWithin(result.shortPrompts, PromptSimulation::shortAimMs) << " share\n"
                          << label << "-long-p50 " << PromptResult::percentile(result.longPrompts, 0.5) << " ms\n"
                          << label << "-long-p99 " << PromptResult::percentile(result.longPrompts, 0.99) << " ms\n"
                          << label << "-long-in-aim " << PromptResult::shareWithin(result.longPrompts, PromptSimulation::longAimMs) << " share\n";
            }
        }
    }
}
