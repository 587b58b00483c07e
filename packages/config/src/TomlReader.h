#pragma once

#include "NearestName.h"
#include "cicadalb/base/EnumTable.h"
#include "cicadalb/base/Identifier.h"
#include "cicadalb/config/Outcome.h"

#include <toml++/toml.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

/// @file
/// Reads TOML into structs described by tables of member pointers, and reports every problem with file, line and column.

namespace cicadalb::detail {

/// @brief Parses one file and collects the errors in it with their locations.
class TomlReader {
public:
    explicit TomlReader(std::string fileName)
        : m_fileName(std::move(fileName))
    {
    }

    /// @brief Parses the text; a syntax error is reported and leads to an empty table.
    toml::table parse(std::string_view text);

    void report(ErrorCode, std::string message, const toml::source_region&);
    void report(ErrorCode, std::string message, const toml::node&);

    const Errors& errors() const noexcept { return m_errors; }
    Errors& errors() noexcept { return m_errors; }

private:
    std::string m_fileName;
    Errors m_errors;
};

/// @brief Names of an enum's values, in the order of the table.
template <typename Enum, std::size_t size>
std::vector<std::string_view> namesIn(const std::array<EnumName<Enum>, size>& table)
{
    std::vector<std::string_view> names(size);
    std::transform(table.begin(), table.end(), names.begin(), [](const auto& row) { return row.name; });
    return names;
}

/// @brief Description of what is wrong with a value; empty if the value is valid.
using Problem = std::string;

Problem decode(const toml::node&, std::string&);
Problem decode(const toml::node&, bool&);
Problem decode(const toml::node&, double&);
Problem decodeInteger(const toml::node&, std::int64_t maximum, std::int64_t&);

template <typename T>
requires std::is_unsigned_v<T>
    Problem decode(const toml::node& node, T& value)
{
    constexpr auto int64Maximum = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    constexpr auto maximum = std::min<std::uint64_t>(std::numeric_limits<T>::max(), int64Maximum);
    std::int64_t number = 0;
    auto problem = decodeInteger(node, static_cast<std::int64_t>(maximum), number);
    value = static_cast<T>(number);
    return problem;
}

template <typename Rep, typename Period>
Problem decode(const toml::node& node, std::chrono::duration<Rep, Period>& value)
{
    std::int64_t number = 0;
    auto problem = decodeInteger(node, std::numeric_limits<std::int32_t>::max(), number);
    value = std::chrono::duration<Rep, Period>(number);
    return problem;
}

template <typename Tag>
Problem decode(const toml::node& node, Identifier<Tag>& value)
{
    std::string text;
    auto problem = decode(node, text);
    value = Identifier<Tag>(std::move(text));
    return problem;
}

template <typename Enum>
requires std::is_enum_v<Enum>
    Problem decode(const toml::node& node, Enum& value);

template <typename T>
Problem decode(const toml::node& node, std::vector<T>& values)
{
    const auto* array = node.as_array();
    if (!array)
        return "must be a list";
    for (const auto& element : *array) {
        T value {};
        if (auto problem = decode(element, value); !problem.empty())
            return "each entry " + problem;
        values.push_back(std::move(value));
    }
    return {};
}

/// Decodes the name of an enum value. `enumTable(Enum)`, found by argument-dependent lookup, returns the table of names.
template <typename Enum>
requires std::is_enum_v<Enum>
    Problem decode(const toml::node& node, Enum& value)
{
    std::string text;
    if (auto problem = decode(node, text); !problem.empty())
        return problem;
    const auto& table = enumTable(value);
    const auto found = valueIn(table, text);
    if (!found)
        return "is '" + text + "', which is not known" + suggestion(text, namesIn(table));
    value = *found;
    return {};
}

enum class Presence : std::uint8_t { Optional,
    Required };

/// @brief A key of a TOML table, the member it sets and the check of its value.
template <typename Struct>
class Field {
public:
    template <typename T>
    Field(std::string_view name, T Struct::*member, Presence presence, std::type_identity_t<std::function<Problem(const T&)>> check = {})
        : m_name(name)
        , m_presence(presence)
        , m_read([member, check = std::move(check)](const toml::node& node, Struct& object) {
            auto& value = object.*member;
            value = T {};
            auto problem = decode(node, value);
            return problem.empty() && check ? check(value) : problem;
        })
    {
    }

    std::string_view name() const noexcept { return m_name; }
    bool isRequired() const noexcept { return m_presence == Presence::Required; }
    Problem read(const toml::node& node, Struct& object) const { return m_read(node, object); }

private:
    std::string_view m_name;
    Presence m_presence;
    std::function<Problem(const toml::node&, Struct&)> m_read;
};

template <typename Struct>
using Fields = std::vector<Field<Struct>>;

/// @brief Check of a number's range, both ends included.
struct Between {
    double minimum;
    double maximum;

    template <typename T>
    Problem operator()(const T& value) const
    {
        if constexpr (requires { value.count(); })
            return check(static_cast<double>(value.count()));
        else
            return check(static_cast<double>(value));
    }

private:
    Problem check(double value) const;
};

/// @brief Check of lists that stand for "every" when absent: an empty list is refused, since it is taken for a mistake in editing.
struct NotEmptyList {
    template <typename T>
    Problem operator()(const std::vector<T>& values) const
    {
        return values.empty() ? "must not be empty: leave the key out instead" : "";
    }
};

Problem checkIpAddress(const std::string&);
Problem checkNotEmpty(const std::string&);
/// @brief Allows 1 to 64 letters, digits, dots, hyphens and underscores, since names also appear in metrics and command lines.
Problem checkName(const std::string&);

template <typename Tag>
Problem checkIdentifier(const Identifier<Tag>& identifier)
{
    return checkName(identifier.value());
}

/// @brief Reports every key of @p table that is not in @p knownKeys.
void reportUnknownKeys(TomlReader&, const toml::table&, std::string_view tablePath, const std::vector<std::string_view>& knownKeys);

/// @brief Sets the members listed in @p fields from @p table, and reports missing keys, wrong values and unknown keys.
/// @param tablePath path of @p table in messages @param otherKnownKeys keys that are read elsewhere
template <typename Struct>
void readFields(TomlReader& reader, const toml::table& table, std::string_view tablePath, const Fields<Struct>& fields, Struct& object, const std::vector<std::string_view>& otherKnownKeys = {})
{
    auto knownKeys = otherKnownKeys;
    for (const auto& field : fields) {
        knownKeys.push_back(field.name());
        auto keyPath = std::string(tablePath) + "." + std::string(field.name());
        const auto* node = table.get(field.name());
        if (!node) {
            if (field.isRequired())
                reader.report(ErrorCode::ValueMissing, keyPath + " is missing", table);
            continue;
        }
        if (auto problem = field.read(*node, object); !problem.empty())
            reader.report(ErrorCode::ValueInvalid, keyPath.append(" ").append(problem), *node);
    }
    reportUnknownKeys(reader, table, tablePath, knownKeys);
}

} // namespace cicadalb::detail
