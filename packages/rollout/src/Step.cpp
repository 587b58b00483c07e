#include "cicadalb/rollout/Step.h"

#include <numeric>

namespace cicadalb {

std::size_t StepSpec::sampleCount() const noexcept
{
    return std::accumulate(groups.begin(), groups.end(), std::size_t { 0 },
        [](std::size_t sum, const SampleGroup& group) { return sum + group.samples; });
}

SampleLayout::SampleLayout(const StepSpec& spec)
{
    m_ids.reserve(spec.sampleCount());
    for (std::uint32_t group = 0; group < spec.groups.size(); ++group) {
        for (std::uint32_t index = 0; index < spec.groups[group].samples; ++index)
            m_ids.push_back({ group, index });
    }
}

} // namespace cicadalb
