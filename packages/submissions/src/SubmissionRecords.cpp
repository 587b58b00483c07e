#include "cicadalb/submissions/SubmissionRecords.h"

#include "cicadalb/base/CborRecord.h"

#include <cstdio>
#include <utility>

namespace cicadalb {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view textSuffix = "/text";
    constexpr std::string_view endSuffix = "/end";
    constexpr std::string_view organisationSuffix = "/organisation";
    constexpr std::string_view refusalMarker = "refused";

    Json toJson(const RewardCall& reward)
    {
        return { reward.id.value(), reward.authority, reward.path, binaryValue(reward.body) };
    }

    Json toJson(const SampleItem& item)
    {
        Json fields = Json::array();
        for (const auto& [name, value] : item.fields)
            fields.push_back({ name, value });
        return { item.id.value(), item.group.value(), item.path, std::move(fields), binaryValue(item.body), item.maximumTokens, item.lengthHint,
            item.reward ? toJson(*item.reward) : Json() };
    }

    RewardCall rewardFromJson(const Json& json)
    {
        return RewardCall { RequestId(json.at(0).get<std::string>()), json.at(1).get<std::string>(), json.at(2).get<std::string>(), bytesFromBinaryValue(json.at(3)) };
    }

    Json toJson(const SubmissionTerms& terms)
    {
        return { terms.finishWithin.count(), terms.itemTimeToLive.count(), terms.firstEventWithin.count(), terms.maximumAttempts, terms.priority, terms.requiresSingleVersion };
    }

    SubmissionTerms termsFromJson(const Json& json)
    {
        const auto millisecondsAt = [&json](std::size_t index) { return std::chrono::milliseconds(json.at(index).get<std::int64_t>()); };
        return { millisecondsAt(0), millisecondsAt(1), millisecondsAt(2), json.at(3).get<unsigned>(), json.at(4).get<unsigned>(), json.at(5).get<bool>() };
    }

    SampleItem itemFromJson(const Json& json)
    {
        SampleItem item;
        item.id = ItemId(json.at(0).get<std::string>());
        item.group = GroupId(json.at(1).get<std::string>());
        item.path = json.at(2).get<std::string>();
        for (const auto& field : json.at(3))
            item.fields.emplace_back(field.at(0).get<std::string>(), field.at(1).get<std::string>());
        item.body = bytesFromBinaryValue(json.at(4));
        item.maximumTokens = json.at(5).get<std::uint64_t>();
        item.lengthHint = json.at(6).get<double>();
        if (!json.at(7).is_null())
            item.reward = rewardFromJson(json.at(7));
        return item;
    }

    /// Reads the elements of the outer array up to the time, and stops there.
    class SubmissionTimeReader final : public Json::json_sax_t {
    public:
        std::optional<UnixTime> time() const { return m_time; }

        bool null() override { return skip(); }
        bool boolean(bool) override { return skip(); }
        bool number_integer(number_integer_t value) override { return onNumber(value); }
        bool number_unsigned(number_unsigned_t value) override { return onNumber(static_cast<number_integer_t>(value)); }
        bool number_float(number_float_t, const string_t&) override { return skip(); }
        bool string(string_t&) override { return skip(); }
        bool binary(binary_t&) override { return skip(); }
        bool start_object(std::size_t) override { return false; }
        bool key(string_t&) override { return false; }
        bool end_object() override { return false; }
        bool start_array(std::size_t) override { return !std::exchange(m_isInArray, true); }
        bool end_array() override { return false; }
        bool parse_error(std::size_t, const std::string&, const Json::exception&) override { return false; }

    private:
        static constexpr std::size_t timeElement = 3;

        bool skip() { return m_isInArray && m_element++ < timeElement; }
        bool onNumber(number_integer_t value)
        {
            if (m_isInArray && m_element == timeElement)
                m_time = UnixTime(value);
            return skip();
        }

        bool m_isInArray = false;
        std::size_t m_element = 0;
        std::optional<UnixTime> m_time;
    };

    std::string numberedKey(const SubmissionId& id, std::size_t number)
    {
        std::array<char, 24> text {};
        std::snprintf(text.data(), text.size(), "%08zu", number);
        return resultKeyPrefix(id) + text.data();
    }

} // namespace

std::string submissionKey(const SubmissionId& id)
{
    return std::string(submissionPrefix) + id.value() + std::string(textSuffix);
}

std::string endKey(const SubmissionId& id)
{
    return std::string(submissionPrefix) + id.value() + std::string(endSuffix);
}

std::string resultKeyPrefix(const SubmissionId& id)
{
    return std::string(resultPrefix) + id.value() + "/";
}

std::string itemCountKey(const SubmissionId& id)
{
    return numberedKey(id, 0);
}

std::string organisationKey(const SubmissionId& id)
{
    return itemCountKey(id) + std::string(organisationSuffix);
}

std::string resultSegmentKey(const SubmissionId& id, std::size_t segment)
{
    return numberedKey(id, segment + 1);
}

std::string lastResultSegmentKey(const SubmissionId& id, std::size_t segments)
{
    return numberedKey(id, segments);
}

SubmissionKey parseSubmissionKey(std::string_view key)
{
    if (!key.starts_with(submissionPrefix))
        return {};
    key.remove_prefix(submissionPrefix.size());
    for (const auto& [suffix, kind] : { std::pair(textSuffix, SubmissionKeyKind::Submission), std::pair(endSuffix, SubmissionKeyKind::End) }) {
        if (key.ends_with(suffix))
            return { SubmissionId(std::string(key.substr(0, key.size() - suffix.size()))), kind };
    }
    return {};
}

std::string refusalRecord() { return std::string(refusalMarker); }
bool isRefusalRecord(std::string_view record) { return record == refusalMarker; }

std::string encodeSubmission(const Submission& submission)
{
    Json items = Json::array();
    for (const auto& item : submission.items)
        items.push_back(toJson(item));
    return toCbor({ submission.id.value(), submission.authority, submission.path, submission.submittedAt.count(), submission.step,
        submission.model.value(), submission.oldestVersion, submission.wantedGroupCount, std::move(items), submission.acceptedUnder, submission.organisation.value(),
        submission.acceptedTerms ? toJson(*submission.acceptedTerms) : Json() });
}

Result<Submission> decodeSubmission(std::string_view record)
{
    return readCbor<Submission>(record, "stored record", [](const Json& json) {
        Submission submission;
        submission.id = SubmissionId(json.at(0).get<std::string>());
        submission.authority = json.at(1).get<std::string>();
        submission.path = json.at(2).get<std::string>();
        submission.submittedAt = UnixTime(json.at(3).get<std::int64_t>());
        submission.step = json.at(4).get<std::uint64_t>();
        submission.model = ModelName(json.at(5).get<std::string>());
        submission.oldestVersion = json.at(6).get<WeightVersion>();
        submission.wantedGroupCount = json.at(7).get<std::uint64_t>();
        for (const auto& item : json.at(8))
            submission.items.push_back(itemFromJson(item));
        // Records of earlier builds lack these fields.
        if (json.size() > 9)
            submission.acceptedUnder = json.at(9).get<std::uint64_t>();
        if (json.size() > 10)
            submission.organisation = OrganisationName(json.at(10).get<std::string>());
        if (json.size() > 11 && !json.at(11).is_null())
            submission.acceptedTerms = termsFromJson(json.at(11));
        return submission;
    });
}

Result<UnixTime> decodeSubmissionTime(std::string_view record)
{
    SubmissionTimeReader reader;
    Json::sax_parse(record.begin(), record.end(), &reader, Json::input_format_t::cbor, false);
    if (!reader.time())
        return failure(ErrorCode::RecordInvalid, "the record of a submission has no time", "stored record");
    return *reader.time();
}

std::string encodeItemCount(std::size_t items)
{
    return toCbor(items);
}

Result<std::size_t> decodeItemCount(std::string_view record)
{
    return readCbor<std::size_t>(record, "stored record", [](const Json& json) { return json.get<std::size_t>(); });
}

std::string encodePartialTexts(const std::vector<ItemText>& texts)
{
    Json entries = Json::array();
    for (const auto& [item, text] : texts)
        entries.push_back({ item.value(), binaryValue(text.text), text.lastEventId.value_or(0), text.eventCount, text.versions, text.release.pool.value(), text.release.version.value() });
    return toCbor(entries);
}

Result<std::vector<ItemText>> decodePartialTexts(std::string_view record)
{
    return readCbor<std::vector<ItemText>>(record, "stored record", [](const Json& json) {
        std::vector<ItemText> texts;
        for (const auto& entry : json) {
            ItemText text { ItemId(entry.at(0).get<std::string>()), {} };
            text.text.text = bytesFromBinaryValue(entry.at(1));
            text.text.lastEventId = entry.at(2).get<std::uint64_t>();
            text.text.eventCount = entry.at(3).get<std::size_t>();
            text.text.versions = entry.at(4).get<std::set<WeightVersion>>();
            // Records of earlier builds lack these fields; the software of such texts is unknown.
            if (entry.size() > 6)
                text.text.release = { PoolName(entry.at(5).get<std::string>()), SoftwareVersion(entry.at(6).get<std::string>()) };
            texts.push_back(std::move(text));
        }
        return texts;
    });
}

std::string encodeResults(const std::vector<SampleResult>& results)
{
    Json entries = Json::array();
    for (const auto& result : results) {
        entries.push_back({ result.item.value(), result.state == ResultState::Succeeded, binaryValue(result.text), result.versions, result.rewardSignature });
    }
    return toCbor(entries);
}

Result<std::vector<SampleResult>> decodeResults(std::string_view record)
{
    return readCbor<std::vector<SampleResult>>(record, "stored record", [](const Json& json) {
        std::vector<SampleResult> results;
        for (const auto& entry : json) {
            SampleResult result;
            result.item = ItemId(entry.at(0).get<std::string>());
            result.state = entry.at(1).get<bool>() ? ResultState::Succeeded : ResultState::GivenUp;
            result.text = bytesFromBinaryValue(entry.at(2));
            result.versions = entry.at(3).get<std::vector<WeightVersion>>();
            result.rewardSignature = entry.at(4).get<std::string>();
            results.push_back(std::move(result));
        }
        return results;
    });
}

} // namespace cicadalb
