#include "cicadalb/config/ConfigurationState.h"

#include "cicadalb/base/EnumTable.h"

namespace cicadalb {

namespace {

    constexpr auto offerOutcomeNames = std::to_array<EnumName<OfferOutcome>>({
        { OfferOutcome::Adopted, "adopted" },
        { OfferOutcome::AlreadyHeld, "already-held" },
        { OfferOutcome::Older, "older" },
        { OfferOutcome::Contradicted, "contradicted" },
    });

    bool isSameRecord(const AcceptedConfiguration& left, const AcceptedConfiguration& right)
    {
        return left.editId == right.editId && left.routesText == right.routesText && left.poolsText == right.poolsText;
    }

} // namespace

std::string_view name(OfferOutcome outcome) noexcept { return nameIn(offerOutcomeNames, outcome); }

OfferOutcome ConfigurationState::offer(std::shared_ptr<const AcceptedConfiguration> record)
{
    if (record->number < number())
        return OfferOutcome::Older;
    if (record->number > number()) {
        m_current = std::move(record);
        return OfferOutcome::Adopted;
    }
    if (m_current && isSameRecord(*m_current, *record))
        return OfferOutcome::AlreadyHeld;
    ++m_contradictions;
    return OfferOutcome::Contradicted;
}

} // namespace cicadalb
