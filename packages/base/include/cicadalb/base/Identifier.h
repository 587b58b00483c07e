#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

/// @file
/// Typed names. Two kinds of names do not compare or convert to each other.

namespace cicadalb {

/// @brief A name whose kind is part of its type.
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

/// A process of this system on an entry host.
using HostId = Identifier<struct HostTag>;
/// A zone whose machines may fail together.
using FailureDomain = Identifier<struct FailureDomainTag>;
/// A named client of a route: clerks, a concierge desk, a job.
using CallerName = Identifier<struct CallerTag>;
/// A trainer, which submits steps.
using TrainerName = Identifier<struct TrainerTag>;
/// A model engine or plain service instance.
using TargetId = Identifier<struct TargetTag>;
using RouteName = Identifier<struct RouteTag>;
using PoolName = Identifier<struct PoolTag>;
using RequestId = Identifier<struct RequestTag>;

/// @brief Number of an accepted configuration; rises by one with each.
using ConfigurationNumber = std::uint64_t;
/// @brief Version of a model's weights; rises.
using WeightVersion = std::uint64_t;
/// @brief Start count or random number that tells two lives of one process apart.
using Incarnation = std::uint64_t;
/// @brief Rises with each new holder of a lease; a target refuses an order with a lower one.
using FencingNumber = std::uint64_t;

} // namespace cicadalb

template <typename Tag>
struct std::hash<cicadalb::Identifier<Tag>> {
    std::size_t operator()(const cicadalb::Identifier<Tag>& identifier) const noexcept
    {
        return std::hash<std::string> {}(identifier.value());
    }
};
