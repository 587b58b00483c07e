#include "TomlReader.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <sstream>

namespace cicadalb::detail {

namespace {

    constexpr std::size_t maximumNameLength = 64;

    std::string locationText(const std::string& fileName, const toml::source_position& position)
    {
        return fileName + ":" + std::to_string(position.line) + ":" + std::to_string(position.column);
    }

    /// A number without trailing zeros.
    std::string numberText(double value)
    {
        std::ostringstream stream;
        stream.precision(15);
        stream << value;
        return stream.str();
    }

    bool isNameCharacter(char character)
    {
        const auto isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
        const auto isDigit = character >= '0' && character <= '9';
        return isLetter || isDigit || character == '-' || character == '_' || character == '.';
    }

} // namespace

toml::table TomlReader::parse(std::string_view text)
{
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& error) {
        report(ErrorCode::SyntaxInvalid, std::string(error.description()), error.source());
        return {};
    }
}

void TomlReader::report(ErrorCode code, std::string message, const toml::source_region& source)
{
    m_errors.push_back(Error { code, std::move(message), source.begin ? locationText(m_fileName, source.begin) : m_fileName });
}

void TomlReader::report(ErrorCode code, std::string message, const toml::node& node)
{
    report(code, std::move(message), node.source());
}

Problem decode(const toml::node& node, std::string& value)
{
    const auto text = node.value_exact<std::string>();
    value = text.value_or("");
    return text ? "" : "must be a string in quotes";
}

Problem decode(const toml::node& node, bool& value)
{
    const auto flag = node.value_exact<bool>();
    value = flag.value_or(false);
    return flag ? "" : "must be true or false";
}

Problem decode(const toml::node& node, double& value)
{
    const auto number = node.is_number() ? node.value<double>() : std::nullopt;
    value = number.value_or(0.0);
    return number ? "" : "must be a number";
}

Problem decodeInteger(const toml::node& node, std::int64_t maximum, std::int64_t& value)
{
    const auto number = node.value_exact<std::int64_t>();
    if (!number)
        return "must be an integer";
    if (*number < 0 || *number > maximum)
        return "must be between 0 and " + std::to_string(maximum);
    value = *number;
    return {};
}

Problem Between::check(double value) const
{
    const bool isInRange = value >= minimum && value <= maximum;
    return isInRange ? "" : "is " + numberText(value) + " but must be between " + numberText(minimum) + " and " + numberText(maximum);
}

Problem checkIpAddress(const std::string& text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return error ? "is '" + text + "' but must be an IP address" : "";
}

Problem checkNotEmpty(const std::string& text)
{
    return text.empty() ? "must not be empty" : "";
}

Problem checkName(const std::string& text)
{
    if (text.empty() || text.size() > maximumNameLength)
        return "must have 1 to " + std::to_string(maximumNameLength) + " characters";
    const bool isValid = std::all_of(text.begin(), text.end(), isNameCharacter);
    return isValid ? "" : "is '" + text + "' but may hold only letters, digits, '-', '_' and '.'";
}

void reportUnknownKeys(TomlReader& reader, const toml::table& table, std::string_view tablePath, const std::vector<std::string_view>& knownKeys)
{
    for (const auto& [key, node] : table) {
        if (std::find(knownKeys.begin(), knownKeys.end(), key.str()) != knownKeys.end())
            continue;
        auto message = "key '" + std::string(key.str()) + "' is not known in " + std::string(tablePath);
        reader.report(ErrorCode::NameUnknown, message + suggestion(key.str(), knownKeys), key.source());
    }
}

} // namespace cicadalb::detail
