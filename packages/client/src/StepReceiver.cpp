#include "cicadalb/client/StepReceiver.h"

#include <algorithm>

namespace cicadalb {

StepReceiver::StepReceiver(const StepSpec& spec, WeightVersion version, CursorNumber firstNumber)
{
    m_cursor.step = spec.key.step;
    m_cursor.number = firstNumber;
    m_cursor.received.resize(spec.sampleCount());
    m_cursor.weightVersion = version;
}

void StepReceiver::setWeightVersion(WeightVersion version)
{
    if (version == m_cursor.weightVersion)
        return;
    m_cursor.weightVersion = version;
    ++m_cursor.number;
}

bool StepReceiver::matchesCursor(const Batch& batch) const
{
    if (batch.step != m_cursor.step || batch.cursorNumber != m_cursor.number)
        return false;
    return std::all_of(batch.samples.begin(), batch.samples.end(),
        [this](const Sample& sample) { return sample.position < m_cursor.received.size(); });
}

std::vector<Sample> StepReceiver::accept(Batch batch)
{
    if (batch.samples.empty() || !matchesCursor(batch))
        return {};
    for (const auto& sample : batch.samples)
        m_cursor.received.set(sample.position);
    ++m_cursor.number;
    return std::move(batch.samples);
}

} // namespace cicadalb
