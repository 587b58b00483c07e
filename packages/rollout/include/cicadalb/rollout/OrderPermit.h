#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/config/Tables.h"
#include "cicadalb/services/LeaseCandidate.h"

#include <optional>

/// @file
/// Whether an order to engines may be sent now.

namespace cicadalb {

class OrderPermit {
public:
    virtual ~OrderPermit() = default;

    /// @brief The fencing number for an order that takes effect within @p orderTimeout or never; nullopt if no order may be sent now.
    /// Call it again right before each order is sent: the process may have been paused since the last call. Thread-safe.
    virtual std::optional<FencingNumber> permit(FenceCheck, Duration orderTimeout) const = 0;
};

/// @brief Permits orders while a lease of the key-value service is held.
class LeaseOrderPermit final : public OrderPermit {
public:
    explicit LeaseOrderPermit(const LeaseCandidate& candidate)
        : m_candidate(candidate)
    {
    }

    std::optional<FencingNumber> permit(FenceCheck fenceCheck, Duration orderTimeout) const override
    {
        const bool mayAct = fenceCheck == FenceCheck::Checked ? m_candidate.mayAct(orderTimeout) : m_candidate.mayActUnfenced(orderTimeout);
        return mayAct ? m_candidate.fencingNumber() : std::nullopt;
    }

private:
    const LeaseCandidate& m_candidate;
};

} // namespace cicadalb
