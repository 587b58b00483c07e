#include "cicadalb/base/CborNesting.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <vector>

namespace cicadalb {

namespace {

    constexpr unsigned indefiniteLength = 31;
    constexpr std::uint64_t unlimited = std::numeric_limits<std::uint64_t>::max();

    enum class MajorType : std::uint8_t { Unsigned,
        Negative,
        Bytes,
        Text,
        Array,
        Map,
        Tag,
        Simple };

    /// Reads the initial byte and the argument of data items.
    class HeadReader {
    public:
        explicit HeadReader(std::string_view bytes)
            : m_bytes(bytes)
        {
        }

        /// @return false at the end of the input or in a truncated head
        bool next()
        {
            if (m_bytes.empty())
                return false;
            const auto initial = static_cast<unsigned char>(m_bytes.front());
            m_bytes.remove_prefix(1);
            type = static_cast<MajorType>(initial >> 5U);
            const unsigned information = initial & 31U;
            isIndefinite = information == indefiniteLength;
            argument = information;
            if (information < 24 || information > 27)
                return true;
            const auto length = std::size_t { 1 } << (information - 24);
            if (m_bytes.size() < length)
                return false;
            argument = 0;
            for (std::size_t i = 0; i < length; ++i)
                argument = (argument << 8U) | static_cast<unsigned char>(m_bytes[i]);
            m_bytes.remove_prefix(length);
            return true;
        }

        void skip(std::uint64_t length) { m_bytes.remove_prefix(static_cast<std::size_t>(std::min<std::uint64_t>(length, m_bytes.size()))); }

        MajorType type = MajorType::Unsigned;
        std::uint64_t argument = 0;
        bool isIndefinite = false;

    private:
        std::string_view m_bytes;
    };

    /// Number of data items in an array or a map.
    std::uint64_t itemCount(const HeadReader& head)
    {
        if (head.isIndefinite)
            return unlimited;
        const std::uint64_t itemsPerElement = head.type == MajorType::Map ? 2 : 1;
        return head.argument > unlimited / itemsPerElement ? unlimited : head.argument * itemsPerElement;
    }

} // namespace

bool isCborNestedTooDeeply(std::string_view bytes)
{
    /// Items that each open container still lacks.
    std::vector<std::uint64_t> missingItems;
    HeadReader head(bytes);
    while (head.next()) {
        const bool isString = head.type == MajorType::Bytes || head.type == MajorType::Text;
        const bool isContainer = head.type == MajorType::Array || head.type == MajorType::Map || (isString && head.isIndefinite);
        const bool isBreak = head.type == MajorType::Simple && head.isIndefinite;
        // A tag belongs to the item that follows.
        if (head.type == MajorType::Tag)
            continue;
        if (isBreak) {
            if (missingItems.empty())
                return false;
            missingItems.pop_back();
        } else if (!missingItems.empty() && missingItems.back() != unlimited) {
            --missingItems.back();
        }
        if (isContainer)
            missingItems.push_back(itemCount(head));
        else if (isString)
            head.skip(head.argument);
        if (missingItems.size() > maximumCborDepth)
            return true;
        while (!missingItems.empty() && missingItems.back() == 0)
            missingItems.pop_back();
    }
    return false;
}

std::size_t cborItemCount(std::string_view bytes)
{
    std::size_t items = 0;
    HeadReader head(bytes);
    while (head.next()) {
        ++items;
        if ((head.type == MajorType::Bytes || head.type == MajorType::Text) && !head.isIndefinite)
            head.skip(head.argument);
    }
    return items;
}

} // namespace cicadalb
