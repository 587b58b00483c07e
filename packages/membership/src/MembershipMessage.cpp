#include "cicadalb/membership/MembershipMessage.h"

#include "cicadalb/base/EnumTable.h"

#include <nlohmann/json.hpp>

namespace cicadalb {

using nlohmann::json;

namespace {

    constexpr auto stateNames = std::to_array<EnumName<MemberState>>({
        { MemberState::Alive, "alive" },
        { MemberState::Suspect, "suspect" },
        { MemberState::Lost, "lost" },
        { MemberState::Left, "left" },
    });

    /// Places of the parts in a message's array.
    enum MessagePart : std::size_t {
        KindPart,
        SenderPart,
        IncarnationPart,
        ConfigurationPart,
        DigestPart,
        SequencePart,
        ExtraPart,
        UpdatesPart,
        MessageParts
    };

    constexpr std::size_t shortUpdateParts = 4;
    constexpr std::size_t longUpdateParts = 10;

    json toJson(const MemberUpdate& update)
    {
        json array = json::array({ update.id.value(), update.incarnation, static_cast<unsigned>(update.state), update.age.count() });
        if (update.details) {
            const auto& details = *update.details;
            array.push_back(details.failureDomain.value());
            array.push_back(details.weight);
            array.push_back(details.address);
            array.push_back(details.membershipPort);
            array.push_back(details.peerPort);
            array.push_back(details.adminPort);
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

    /// Reads the parts of one array in order; the first part of a wrong type makes all further reads fail.
    class ArrayReader {
    public:
        explicit ArrayReader(const json& array)
            : m_array(array)
            , m_isValid(array.is_array())
        {
        }

        bool isValid() const { return m_isValid; }

        std::string text()
        {
            const auto* part = next();
            m_isValid = part && part->is_string();
            return m_isValid ? part->get<std::string>() : std::string();
        }

        template <typename Number>
        Number number()
        {
            const auto* part = next();
            m_isValid = part && (std::is_floating_point_v<Number> ? part->is_number() : part->is_number_unsigned());
            return m_isValid ? part->get<Number>() : Number {};
        }

        const json* part() { return next(); }

    private:
        const json* next()
        {
            if (!m_isValid || m_position >= m_array.size()) {
                m_isValid = false;
                return nullptr;
            }
            return &m_array[m_position++];
        }

        const json& m_array;
        std::size_t m_position = 0;
        bool m_isValid;
    };

    json parseCbor(std::span<const std::uint8_t> payload)
    {
        try {
            return json::from_cbor(payload.begin(), payload.end(), true, false);
        } catch (const json::out_of_range&) {
            // Thrown for a length that exceeds every container, also where exceptions are off.
            return json(json::value_t::discarded);
        }
    }

    std::optional<MemberUpdate> updateFrom(const json& array)
    {
        ArrayReader reader(array);
        MemberUpdate update;
        update.id = HostId(reader.text());
        update.incarnation = reader.number<Incarnation>();
        const auto state = reader.number<unsigned>();
        update.age = std::chrono::milliseconds(reader.number<std::uint32_t>());
        if (!reader.isValid() || update.id.isEmpty() || state > static_cast<unsigned>(MemberState::Left))
            return std::nullopt;
        update.state = static_cast<MemberState>(state);
        if (array.size() < longUpdateParts)
            return update;
        MemberDetails details;
        details.failureDomain = FailureDomain(reader.text());
        details.weight = reader.number<double>();
        details.address = reader.text();
        details.membershipPort = reader.number<std::uint16_t>();
        details.peerPort = reader.number<std::uint16_t>();
        details.adminPort = reader.number<std::uint16_t>();
        if (!reader.isValid() || details.weight < 0)
            return std::nullopt;
        update.details = std::move(details);
        return update;
    }

    bool readExtra(MembershipMessage& message, const json& extra)
    {
        ArrayReader reader(extra);
        if (message.kind == MembershipMessageKind::PingRequest) {
            message.pingAddress = reader.text();
            message.pingPort = reader.number<std::uint16_t>();
            return reader.isValid();
        }
        if (message.kind == MembershipMessageKind::SyncRequest) {
            for (std::size_t i = 0; i < digestBuckets; ++i)
                message.bucketDigests.push_back(reader.number<std::uint32_t>());
            return reader.isValid();
        }
        return true;
    }

    bool readUpdates(MembershipMessage& message, const json& updates)
    {
        if (!updates.is_array())
            return false;
        message.updates.reserve(updates.size());
        for (const auto& element : updates) {
            auto update = updateFrom(element);
            if (!update)
                return false;
            message.updates.push_back(std::move(*update));
        }
        return true;
    }

} // namespace

std::string_view name(MemberState state) noexcept { return nameIn(stateNames, state); }

std::size_t encodedBound(const MemberUpdate& update) noexcept
{
    constexpr std::size_t shortBytes = 20;
    constexpr std::size_t detailBytes = 26;
    if (!update.details)
        return shortBytes + update.id.value().size();
    return shortBytes + detailBytes + update.id.value().size() + update.details->failureDomain.value().size() + update.details->address.size();
}

std::vector<std::uint8_t> encode(const MembershipMessage& message)
{
    json updates = json::array();
    for (const auto& update : message.updates)
        updates.push_back(toJson(update));
    json array = json::array({ static_cast<unsigned>(message.kind), message.sender.value(), message.senderIncarnation,
        message.configuration, message.digest, message.sequence, extraOf(message), std::move(updates) });
    return json::to_cbor(array);
}

Result<MembershipMessage> decodeMembershipMessage(std::span<const std::uint8_t> payload)
{
    const auto array = parseCbor(payload);
    if (!array.is_array() || array.size() != MessageParts)
        return failure(ErrorCode::DatagramInvalid, "not an array of the known size");
    ArrayReader reader(array);
    MembershipMessage message;
    const auto kind = reader.number<unsigned>();
    message.sender = HostId(reader.text());
    message.senderIncarnation = reader.number<Incarnation>();
    message.configuration = reader.number<ConfigurationNumber>();
    message.digest = reader.number<std::uint32_t>();
    message.sequence = reader.number<std::uint64_t>();
    if (!reader.isValid() || kind > static_cast<unsigned>(MembershipMessageKind::SyncAnswer))
        return failure(ErrorCode::DatagramInvalid, "a part of the header is invalid");
    message.kind = static_cast<MembershipMessageKind>(kind);
    if (!readExtra(message, array[ExtraPart]) || !readUpdates(message, array[UpdatesPart]))
        return failure(ErrorCode::DatagramInvalid, "a part of the body is invalid", message.sender.value());
    return message;
}

} // namespace cicadalb
