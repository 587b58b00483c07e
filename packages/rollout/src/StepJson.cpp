#include "cicadalb/rollout/StepJson.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <optional>
#include <type_traits>

namespace cicadalb {

namespace {

    using Json = nlohmann::json;

    /// Reads typed members of a JSON object and keeps the first failure.
    class ObjectReader {
    public:
        ObjectReader(const Json& object, std::string path)
            : m_object(object)
            , m_path(std::move(path))
        {
            if (!object.is_object())
                fail("must be an object", m_path);
        }

        template <typename Value>
        void required(const char* key, Value& value)
        {
            if (const auto* member = find(key))
                assign(*member, pathOf(key), value);
            else
                fail("is missing", pathOf(key));
        }

        template <typename Value>
        void optional(const char* key, Value& value)
        {
            if (const auto* member = find(key))
                assign(*member, pathOf(key), value);
        }

        /// Reads an array of objects; @p read fills the value of each.
        template <typename Value, typename Read>
        void objects(const char* key, std::vector<Value>& values, Read read)
        {
            const auto* member = find(key);
            if (!member || !member->is_array())
                return fail("must be an array", pathOf(key));
            for (std::size_t i = 0; i < member->size(); ++i)
                append((*member)[i], pathOf(key) + "[" + std::to_string(i) + "]", values, read);
        }

        void check(bool condition, const char* key, const char* message)
        {
            if (!condition)
                fail(message, pathOf(key));
        }

        const std::optional<Error>& error() const noexcept { return m_error; }

    private:
        const Json* find(const char* key) const
        {
            const auto found = m_object.is_object() ? m_object.find(key) : m_object.end();
            return found == m_object.end() ? nullptr : &*found;
        }

        std::string pathOf(const char* key) const { return m_path.empty() ? std::string(key) : m_path + "." + key; }

        void fail(const std::string& message, const std::string& path)
        {
            if (!m_error)
                m_error = Error { ErrorCode::RequestInvalid, message, path };
        }

        template <typename Value, typename Read>
        void append(const Json& element, const std::string& path, std::vector<Value>& values, Read read)
        {
            ObjectReader reader(element, path);
            read(reader, values.emplace_back());
            if (reader.m_error && !m_error)
                m_error = reader.m_error;
        }

        void assign(const Json& member, const std::string& path, std::string& value)
        {
            if (!member.is_string())
                return fail("must be a string", path);
            value = member.get<std::string>();
        }

        void assign(const Json& member, const std::string& path, bool& value)
        {
            if (!member.is_boolean())
                return fail("must be true or false", path);
            value = member.get<bool>();
        }

        template <typename Number>
        requires std::is_unsigned_v<Number>
        void assign(const Json& member, const std::string& path, Number& value)
        {
            if (!member.is_number_unsigned() || member.get<std::uint64_t>() > std::numeric_limits<Number>::max())
                return fail("must be a non-negative integer in range", path);
            value = member.get<Number>();
        }

        void assign(const Json& member, const std::string& path, std::chrono::milliseconds& value)
        {
            std::uint32_t count = 0;
            assign(member, path, count);
            value = std::chrono::milliseconds(count);
        }

        void assign(const Json& member, const std::string& path, std::vector<WeightVersion>& value)
        {
            if (!member.is_array())
                return fail("must be an array", path);
            for (const auto& element : member)
                assign(element, path, value.emplace_back());
        }

        const Json& m_object;
        std::string m_path;
        std::optional<Error> m_error;
    };

    /// Parses @p body; @p read fills the value from it.
    template <typename Value, typename Read>
    Result<Value> parse(std::string_view body, Read read)
    {
        const auto json = Json::parse(body, nullptr, false);
        if (json.is_discarded())
            return failure(ErrorCode::RequestInvalid, "the body is not JSON", "body");
        Value value;
        ObjectReader reader(json, "");
        read(reader, value);
        if (reader.error())
            return failure(reader.error()->code, reader.error()->message, reader.error()->where);
        return value;
    }

    void readGroup(ObjectReader& reader, SampleGroup& group)
    {
        reader.required("prompt", group.prompt);
        reader.optional("prefix-key", group.prefixKey);
        reader.required("samples", group.samples);
        reader.check(group.samples >= 1 && group.samples <= maximumSamplesPerStep, "samples", "must be between 1 and 2048");
    }

    void readSample(ObjectReader& reader, Sample& sample)
    {
        reader.required("group", sample.id.group);
        reader.required("index", sample.id.index);
        reader.required("position", sample.position);
        reader.required("text", sample.text);
        reader.required("tokens", sample.tokens);
        reader.required("versions", sample.versions);
        reader.check(!sample.versions.empty(), "versions", "must not be empty");
    }

    /// Writes @p json. Invalid bytes in an engine's text are replaced, since a JSON string must be UTF-8.
    std::string dump(const Json& json)
    {
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    Json sampleJson(const Sample& sample)
    {
        return {
            { "group", sample.id.group },
            { "index", sample.id.index },
            { "position", sample.position },
            { "text", sample.text },
            { "tokens", sample.tokens },
            { "versions", sample.versions },
        };
    }

} // namespace

Result<StepSpec> stepSpecFromJson(const StepKey& key, std::string_view body)
{
    return parse<StepSpec>(body, [&key](ObjectReader& reader, StepSpec& spec) {
        spec.key = key;
        reader.objects("groups", spec.groups, readGroup);
        reader.optional("maximum-tokens", spec.maximumTokens);
        reader.optional("priority", spec.priority);
        reader.optional("deadline-ms", spec.deadline);
        reader.optional("staleness-bound", spec.stalenessBound);
        const auto samples = spec.sampleCount();
        reader.check(samples >= 1 && samples <= maximumSamplesPerStep, "groups", "must hold between 1 and 2048 samples");
        reader.check(spec.maximumTokens >= 1, "maximum-tokens", "must be at least 1");
    });
}

std::string toJson(const StepSpec& spec)
{
    auto groups = Json::array();
    for (const auto& group : spec.groups)
        groups.push_back({ { "prompt", group.prompt }, { "prefix-key", group.prefixKey }, { "samples", group.samples } });
    return dump({
        { "groups", groups },
        { "maximum-tokens", spec.maximumTokens },
        { "priority", spec.priority },
        { "deadline-ms", spec.deadline.count() },
        { "staleness-bound", spec.stalenessBound },
    });
}

Result<SubmitReceipt> submitReceiptFromJson(std::string_view body)
{
    return parse<SubmitReceipt>(body, [](ObjectReader& reader, SubmitReceipt& receipt) {
        std::string trainer;
        reader.required("trainer", trainer);
        receipt.key.trainer = TrainerName(trainer);
        reader.required("step", receipt.key.step);
        reader.required("samples", receipt.samples);
        reader.required("new", receipt.isNew);
    });
}

std::string toJson(const SubmitReceipt& receipt)
{
    return dump({
        { "trainer", receipt.key.trainer.value() },
        { "step", receipt.key.step },
        { "samples", receipt.samples },
        { "new", receipt.isNew },
    });
}

Result<PullRequest> pullRequestFromJson(StepNumber step, std::string_view body)
{
    std::string received;
    std::size_t size = 0;
    auto request = parse<PullRequest>(body, [&](ObjectReader& reader, PullRequest& pull) {
        pull.cursor.step = step;
        reader.required("cursor", pull.cursor.number);
        reader.required("received", received);
        reader.required("samples", size);
        reader.required("weight-version", pull.cursor.weightVersion);
        reader.optional("maximum", pull.maximumSamples);
        reader.optional("wait-ms", pull.maximumWait);
        reader.check(size >= 1 && size <= maximumSamplesPerStep, "samples", "must be between 1 and 2048");
    });
    if (!request)
        return request;
    auto bitmap = bitmapFromHex(received, size);
    if (!bitmap)
        return bitmap.as_failure();
    request.value().cursor.received = std::move(bitmap.value());
    return request;
}

std::string toJson(const PullRequest& pull)
{
    return dump({
        { "cursor", pull.cursor.number },
        { "received", toHex(pull.cursor.received) },
        { "samples", pull.cursor.received.size() },
        { "weight-version", pull.cursor.weightVersion },
        { "maximum", pull.maximumSamples },
        { "wait-ms", pull.maximumWait.count() },
    });
}

Result<Batch> batchFromJson(std::string_view body)
{
    return parse<Batch>(body, [](ObjectReader& reader, Batch& batch) {
        reader.required("step", batch.step);
        reader.required("base", batch.cursorNumber);
        reader.objects("samples", batch.samples, readSample);
        reader.required("done", batch.isDone);
    });
}

std::string toJson(const Batch& batch)
{
    auto samples = Json::array();
    for (const auto& sample : batch.samples)
        samples.push_back(sampleJson(sample));
    return dump({
        { "step", batch.step },
        { "base", batch.cursorNumber },
        { "samples", samples },
        { "done", batch.isDone },
    });
}

Result<WeightAnnouncement> weightAnnouncementFromJson(std::string_view body)
{
    return parse<WeightAnnouncement>(body, [](ObjectReader& reader, WeightAnnouncement& announcement) {
        reader.required("model", announcement.model);
        reader.required("version", announcement.version);
        reader.optional("rollback", announcement.isRollback);
        reader.check(announcement.version >= 1, "version", "must be at least 1");
    });
}

std::string toJson(const WeightAnnouncement& announcement)
{
    return dump({
        { "model", announcement.model },
        { "version", announcement.version },
        { "rollback", announcement.isRollback },
    });
}

std::string toJson(const StepProgress& progress)
{
    auto discarded = Json::object();
    for (std::size_t cause = 0; cause < discardCauseCount; ++cause)
        discarded[std::string(name(static_cast<DiscardCause>(cause)))] = progress.discarded[cause];
    return dump({
        { "trainer", progress.key.trainer.value() },
        { "step", progress.key.step },
        { "samples", progress.samples },
        { "waiting", progress.waiting },
        { "running", progress.running },
        { "ready", progress.ready },
        { "received", progress.received },
        { "discarded", discarded },
        { "tokens-kept", progress.tokensKept },
        { "tokens-discarded", progress.tokensDiscarded },
        { "tokens-duplicated", progress.tokensDuplicated },
        { "second-runs", progress.secondRuns },
        { "late", progress.isLate },
        { "reason", progress.reason },
    });
}

} // namespace cicadalb
