#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/config/Tables.h"
#include "cicadalb/services/LeaseKeeper.h"

#include <optional>

/// @file
/// Whether an order to engines may be sent now.

namespace cicadalb {

class OrderPermit {
public:
    virtual ~OrderPermit() = default;

    /// @brief The fencing number for an order that takes effect within @p orderLifetime or never; nullopt if no order may be sent now.
    /// Call it again right before each order is sent: the process may have been paused since the last call. Thread-safe.
    virtual std::optional<FencingNumber> permit(FenceCheck, Duration orderLifetime) const = 0;
};

/// @brief Permits orders while a lease of the key-value service is held.
class LeaseOrderPermit final : public OrderPermit {
public:
    explicit LeaseOrderPermit(const LeaseKeeper& keeper)
        : m_keeper(keeper)
    {
    }

    std::optional<FencingNumber> permit(FenceCheck fenceCheck, Duration orderLifetime) const override
    {
        const bool mayAct = fenceCheck == FenceCheck::Checked ? m_keeper.mayAct(orderLifetime) : m_keeper.mayActUnfenced(orderLifetime);
        return mayAct ? m_keeper.fencingNumber() : std::nullopt;
    }

private:
    const LeaseKeeper& m_keeper;
};

} // namespace cicadalb
