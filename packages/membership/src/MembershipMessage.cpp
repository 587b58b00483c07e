#include "cicadalb/membership/MembershipMessage.h"

#include "cicadalb/base/EnumTable.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace cicadalb {

using nlohmann::json;

namespace {

    constexpr auto stateNames = std::to_array<EnumName<MemberState>>({
        { MemberState::Alive, "alive" },
        { MemberState::Suspect, "suspect" },
        { MemberState::Lost, "lost" },
        { MemberState::Left, "left" },
    });

    /// Indexes of the fields in the array of a message.
    enum MessageField : std::size_t {
        KindField,
        SenderField,
        IncarnationField,
        ConfigurationField,
        DigestField,
        SequenceField,
        /// Data that depends on the kind of the message, or null.
        ExtraField,
        UpdatesField,
        MessageFieldCount
    };

    constexpr std::size_t shortUpdateFields = 4;
    constexpr std::size_t longUpdateFields = 10;

    json toJson(const MemberUpdate& update)
    {
        json::array_t array;
        array.reserve(update.details ? longUpdateFields : shortUpdateFields);
        array.emplace_back(update.id.value());
        array.emplace_back(update.incarnation);
        array.emplace_back(static_cast<unsigned>(update.state));
        array.emplace_back(static_cast<std::uint64_t>(update.age.count()));
        if (update.details) {
            const auto& details = *update.details;
            array.emplace_back(details.failureDomain.value());
            array.emplace_back(details.weight);
            array.emplace_back(details.address);
            array.emplace_back(details.membershipPort);
            array.emplace_back(details.peerPort);
            array.emplace_back(details.adminPort);
        }
        return array;
    }

    json extraOf(const MembershipMessage& message)
    {
        if (message.kind == MembershipMessageKind::PingRequest)
            return json::array({ message.pingAddress, message.pingPort });
        if (message.kind == MembershipMessageKind::SyncRequest)
            return message.bucketDigests;
        return nullptr;
    }

    /// Fills a message from the events of the CBOR parser, without an intermediate tree. Each event handler returns whether the event is valid
    /// at its position.
    class MessageReader final : public nlohmann::json_sax<json> {
    public:
        MembershipMessage message;

        bool isComplete() const { return m_depth == 0 && m_field == MessageFieldCount; }

        bool null() override { return m_depth == 1 && m_field++ == ExtraField; }
        bool boolean(bool) override { return false; }
        bool number_integer(number_integer_t) override { return false; }
        bool number_unsigned(number_unsigned_t value) override
        {
            if (m_depth == 1)
                return headerNumber(value);
            if (m_depth == 2 && m_field == ExtraField)
                return extraNumber(value);
            return m_depth == 3 && updateNumber(value);
        }
        bool number_float(number_float_t value, const string_t&) override { return m_depth == 3 && weight(value); }
        bool string(string_t& value) override
        {
            if (m_depth == 1)
                return senderName(value);
            if (m_depth == 2 && m_field == ExtraField)
                return pingAddress(value);
            return m_depth == 3 && updateText(value);
        }
        bool binary(binary_t&) override { return false; }
        bool start_object(std::size_t) override { return false; }
        bool key(string_t&) override { return false; }
        bool end_object() override { return false; }
        bool start_array(std::size_t) override
        {
            const bool isHeader = m_depth == 0 && m_field == 0;
            const bool isFieldArray = m_depth == 1 && (m_field == ExtraField || m_field == UpdatesField);
            const bool isUpdate = m_depth == 2 && m_field == UpdatesField;
            if (isUpdate)
                message.updates.emplace_back();
            ++m_depth;
            m_index = 0;
            return isHeader || isFieldArray || isUpdate;
        }
        bool end_array() override
        {
            const auto closed = m_depth--;
            if (closed == 3)
                return m_index == shortUpdateFields || m_index == longUpdateFields;
            if (closed == 2)
                return m_field++ == UpdatesField || isExtraComplete();
            return true;
        }
        bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

    private:
        template <typename Number>
        static bool store(Number& number, std::uint64_t value)
        {
            number = static_cast<Number>(value);
            return value <= std::numeric_limits<Number>::max();
        }

        bool headerNumber(std::uint64_t value)
        {
            switch (m_field++) {
            case KindField:
                message.kind = static_cast<MembershipMessageKind>(value);
                return value <= static_cast<unsigned>(MembershipMessageKind::SyncAnswer);
            case IncarnationField:
                return store(message.senderIncarnation, value);
            case ConfigurationField:
                return store(message.configuration, value);
            case DigestField:
                return store(message.digest, value);
            case SequenceField:
                return store(message.sequence, value);
            default:
                return false;
            }
        }

        bool senderName(std::string& value)
        {
            message.sender = HostId(std::move(value));
            return m_field++ == SenderField;
        }

        bool extraNumber(std::uint64_t value)
        {
            if (message.kind == MembershipMessageKind::PingRequest)
                return m_index++ == 1 && store(message.pingPort, value);
            message.bucketDigests.push_back(static_cast<std::uint32_t>(value));
            return message.kind == MembershipMessageKind::SyncRequest && ++m_index <= digestBucketCount;
        }

        bool pingAddress(std::string& value)
        {
            message.pingAddress = std::move(value);
            return message.kind == MembershipMessageKind::PingRequest && m_index++ == 0;
        }

        bool isExtraComplete() const
        {
            constexpr std::size_t pingRequestFields = 2;
            return m_index == (message.kind == MembershipMessageKind::PingRequest ? pingRequestFields : digestBucketCount);
        }

        bool updateNumber(std::uint64_t value)
        {
            auto& update = message.updates.back();
            switch (m_index++) {
            case 1:
                return store(update.incarnation, value);
            case 2:
                update.state = static_cast<MemberState>(value);
                return value <= static_cast<unsigned>(MemberState::Left);
            case 3:
                update.age = std::chrono::milliseconds(static_cast<std::uint32_t>(value));
                return value <= std::numeric_limits<std::uint32_t>::max();
            case 5:
                update.details->weight = static_cast<double>(value);
                return true;
            case 7:
                return store(update.details->membershipPort, value);
            case 8:
                return store(update.details->peerPort, value);
            case 9:
                return store(update.details->adminPort, value);
            default:
                return false;
            }
        }

        bool weight(double value)
        {
            constexpr std::size_t weightIndex = 5;
            if (m_index++ != weightIndex)
                return false;
            message.updates.back().details->weight = value;
            return value >= 0;
        }

        bool updateText(std::string& value)
        {
            auto& update = message.updates.back();
            switch (m_index++) {
            case 0:
                update.id = HostId(std::move(value));
                return !update.id.isEmpty();
            case 4:
                update.details.emplace().failureDomain = FailureDomain(std::move(value));
                return true;
            case 6:
                update.details->address = std::move(value);
                return true;
            default:
                return false;
            }
        }

        std::size_t m_depth = 0;
        std::size_t m_field = 0;
        /// Index in the innermost array.
        std::size_t m_index = 0;
    };

} // namespace

std::string_view name(MemberState state) noexcept { return nameIn(stateNames, state); }

std::size_t encodedSizeBound(const MemberUpdate& update) noexcept
{
    constexpr std::size_t shortBytes = 20;
    constexpr std::size_t detailBytes = 26;
    if (!update.details)
        return shortBytes + update.id.value().size();
    return shortBytes + detailBytes + update.id.value().size() + update.details->failureDomain.value().size() + update.details->address.size();
}

std::vector<std::uint8_t> encode(const MembershipMessage& message)
{
    json::array_t updates;
    updates.reserve(message.updates.size());
    for (const auto& update : message.updates)
        updates.push_back(toJson(update));
    json array = json::array({ static_cast<unsigned>(message.kind), message.sender.value(), message.senderIncarnation,
        message.configuration, message.digest, message.sequence, extraOf(message), std::move(updates) });
    return json::to_cbor(array);
}

Result<MembershipMessage> decodeMembershipMessage(std::span<const std::uint8_t> payload)
{
    MessageReader reader;
    const bool isRead = json::sax_parse(payload.begin(), payload.end(), &reader, json::input_format_t::cbor);
    if (!isRead || !reader.isComplete())
        return failure(ErrorCode::DatagramInvalid, "datagram is not a valid membership message", reader.message.sender.value());
    return std::move(reader.message);
}

} // namespace cicadalb
