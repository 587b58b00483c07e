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

    /// @brief The fencing number of an order that takes effect within @p longestOrder, or nothing if none may be sent now. Ask again
    /// right before each order is sent: the process may have been paused. Thread-safe.
    virtual std::optional<FencingNumber> permit(FenceCheck, Duration longestOrder) const = 0;
};

/// @brief Orders under a lease of the key-value service.
class LeaseOrderPermit final : public OrderPermit {
public:
    explicit LeaseOrderPermit(const LeaseKeeper& keeper)
        : m_keeper(keeper)
    {
    }

    std::optional<FencingNumber> permit(FenceCheck fenceCheck, Duration longestOrder) const override
    {
        const bool mayAct = fenceCheck == FenceCheck::Checked ? m_keeper.mayAct(longestOrder) : m_keeper.mayActUnfenced(longestOrder);
        return mayAct ? m_keeper.fencingNumber() : std::nullopt;
    }

private:
    const LeaseKeeper& m_keeper;
};

} // namespace cicadalb
