#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

/// @file
/// Strongly typed names: names of different kinds neither compare with nor convert to each other.

namespace cicadalb {

/// @brief A name of one kind; @p Tag stands for the kind.
template <typename Tag>
class Identifier {
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const noexcept { return m_value; }
    bool isEmpty() const noexcept { return m_value.empty(); }

    friend auto operator<=>(const Identifier&, const Identifier&) = default;
    friend std::ostream& operator<<(std::ostream& stream, const Identifier& identifier) { return stream << identifier.m_value; }

private:
    std::string m_value;
};

/// @brief Name of a process of this system on an entry host.
using HostId = Identifier<struct HostTag>;
/// @brief Name of a zone whose machines may fail together.
using FailureDomain = Identifier<struct FailureDomainTag>;
/// @brief Name of a client of routes, such as a department or a batch job.
using CallerName = Identifier<struct CallerTag>;
/// @brief Name of a trainer, which submits steps.
using TrainerName = Identifier<struct TrainerTag>;
/// @brief Name of a model engine or an instance of a plain service.
using TargetId = Identifier<struct TargetTag>;
/// @brief Name of an organisation whose callers and trainers share the site with those of others.
using OrganisationName = Identifier<struct OrganisationTag>;
using RouteName = Identifier<struct RouteTag>;
using PoolName = Identifier<struct PoolTag>;
using RequestId = Identifier<struct RequestTag>;
/// @brief Version of the software that a target runs, not of its weights. Versions have no order. Empty if unknown.
using SoftwareVersion = Identifier<struct SoftwareVersionTag>;

/// @brief Number of an accepted configuration; each one is numbered one higher than the one before.
using ConfigurationNumber = std::uint64_t;
/// @brief Version of a model's weights; newer weights have a higher version.
using WeightVersion = std::uint64_t;
/// @brief Start count or random number that distinguishes the runs of one process.
using Incarnation = std::uint64_t;
/// @brief Fencing number: increases with each new holder of a lease. A target refuses an order with a lower number than it has seen.
using FencingNumber = std::uint64_t;

} // namespace cicadalb

template <typename Tag>
struct std::hash<cicadalb::Identifier<Tag>> {
    std::size_t operator()(const cicadalb::Identifier<Tag>& identifier) const noexcept
    {
        return std::hash<std::string> {}(identifier.value());
    }
};
