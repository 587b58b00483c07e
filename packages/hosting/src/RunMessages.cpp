#include "RunMessages.h"

#include "cicadalb/base/CborRecord.h"
#include "cicadalb/submissions/SubmissionRecords.h"

namespace cicadalb {

namespace {

    using Json = nlohmann::json;
    using std::chrono::milliseconds;

    constexpr std::string_view messageName = "run message";

    Json toJson(const RunId& id) { return { id.owner, id.number }; }
    RunId idFrom(const Json& json) { return { json.at(0).get<std::uint64_t>(), json.at(1).get<std::uint64_t>() }; }

    Json toJson(const std::vector<RunId>& ids)
    {
        Json json = Json::array();
        for (const auto& id : ids)
            json.push_back(toJson(id));
        return json;
    }

    std::vector<RunId> idsFrom(const Json& json)
    {
        std::vector<RunId> ids;
        ids.reserve(json.size());
        for (const auto& id : json)
            ids.push_back(idFrom(id));
        return ids;
    }

    Json toJson(const SoftwareRelease& release) { return { release.pool.value(), release.version.value() }; }
    SoftwareRelease releaseFrom(const Json& json) { return { PoolName(json.at(0).get<std::string>()), SoftwareVersion(json.at(1).get<std::string>()) }; }

    Json toJson(const PartialText& text)
    {
        return { binaryValue(text.text), text.lastEventId ? Json(*text.lastEventId) : Json(), text.eventCount, text.versions, toJson(text.release) };
    }

    PartialText textFrom(const Json& json)
    {
        PartialText text;
        text.text = bytesFromBinaryValue(json.at(0));
        if (!json.at(1).is_null())
            text.lastEventId = json.at(1).get<std::uint64_t>();
        text.eventCount = json.at(2).get<std::size_t>();
        text.versions = json.at(3).get<std::set<WeightVersion>>();
        text.release = releaseFrom(json.at(4));
        return text;
    }

    Json toJson(const RunAssignment& assignment)
    {
        Json json { { "id", toJson(assignment.id) }, { "index", assignment.index }, { "submission", binaryValue(encodeSubmission(assignment.submission)) }, { "engine", assignment.engine.value() },
            { "engine-start", assignment.engineStartedAt }, { "release", toJson(assignment.release) }, { "remaining-ms", assignment.remainingTime.count() }, { "priority", assignment.priority },
            { "single-version", assignment.requiresSingleVersion }, { "limited", assignment.isLimited } };
        if (assignment.text.eventCount > 0)
            json["text"] = toJson(assignment.text);
        return json;
    }

    Result<RunAssignment> assignmentFrom(const Json& json)
    {
        auto submission = decodeSubmission(bytesFromBinaryValue(json.at("submission")));
        if (!submission)
            return submission.as_failure();
        if (submission.value().items.size() != 1)
            return failure(ErrorCode::RecordInvalid, "a run is of one item", std::string(messageName));
        RunAssignment assignment;
        assignment.id = idFrom(json.at("id"));
        assignment.index = json.at("index").get<std::size_t>();
        assignment.submission = std::move(submission.value());
        assignment.engine = TargetId(json.at("engine").get<std::string>());
        assignment.engineStartedAt = json.at("engine-start").get<Incarnation>();
        assignment.release = releaseFrom(json.at("release"));
        assignment.remainingTime = milliseconds(json.at("remaining-ms").get<std::int64_t>());
        assignment.priority = json.at("priority").get<unsigned>();
        assignment.requiresSingleVersion = json.at("single-version").get<bool>();
        assignment.isLimited = json.at("limited").get<bool>();
        if (json.contains("text"))
            assignment.text = textFrom(json.at("text"));
        return assignment;
    }

    Json toJson(const RunOrigin& origin)
    {
        return { { "submission", origin.submission.value() }, { "index", origin.index }, { "engine", origin.engine.value() }, { "engine-start", origin.engineStartedAt }, { "release", toJson(origin.release) },
            { "events-at-start", origin.eventsAtStart }, { "age-ms", origin.age.count() }, { "text", toJson(origin.text) } };
    }

    RunOrigin originFrom(const Json& json)
    {
        RunOrigin origin;
        origin.submission = SubmissionId(json.at("submission").get<std::string>());
        origin.index = json.at("index").get<std::size_t>();
        origin.engine = TargetId(json.at("engine").get<std::string>());
        origin.engineStartedAt = json.at("engine-start").get<Incarnation>();
        origin.release = releaseFrom(json.at("release"));
        origin.eventsAtStart = json.at("events-at-start").get<std::size_t>();
        origin.age = milliseconds(json.at("age-ms").get<std::int64_t>());
        origin.text = textFrom(json.at("text"));
        return origin;
    }

    Json toJson(const RunReport& report)
    {
        Json json { { "id", toJson(report.id) }, { "before", report.eventsBefore } };
        if (!report.events.empty()) {
            Json events = Json::array();
            for (const auto& event : report.events)
                events.push_back({ event.id, binaryValue(event.data), event.version, event.age.count() });
            json["events"] = std::move(events);
        }
        if (report.isEngineLeaving)
            json["leaving"] = true;
        if (report.rate)
            json["rate"] = report.rate->kind == RateStatementKind::Limited ? Json(report.rate->requestsPerSecond) : Json();
        if (report.end)
            json["end"] = { name(report.end->outcome), binaryValue(report.end->cause), report.end->isRequestingReward };
        if (report.reward)
            json["reward"] = { report.reward->hasSucceeded, binaryValue(report.reward->signature) };
        if (report.origin)
            json["origin"] = toJson(*report.origin);
        return json;
    }

    Result<RunReport> reportFrom(const Json& json)
    {
        RunReport report;
        report.id = idFrom(json.at("id"));
        report.eventsBefore = json.at("before").get<std::size_t>();
        if (json.contains("events")) {
            for (const auto& event : json.at("events"))
                report.events.push_back({ event.at(0).get<std::uint64_t>(), bytesFromBinaryValue(event.at(1)), event.at(2).get<WeightVersion>(), milliseconds(event.at(3).get<std::int64_t>()) });
        }
        report.isEngineLeaving = json.value("leaving", false);
        if (json.contains("rate")) {
            const auto& rate = json.at("rate");
            report.rate = rate.is_null() ? RateStatement {} : RateStatement { RateStatementKind::Limited, rate.get<double>() };
        }
        if (json.contains("end")) {
            const auto outcome = runOutcomeNamed(json.at("end").at(0).get_ref<const std::string&>());
            if (!outcome)
                return failure(ErrorCode::RecordInvalid, "the outcome is not known", std::string(messageName));
            report.end = RunEnd { *outcome, bytesFromBinaryValue(json.at("end").at(1)), json.at("end").at(2).get<bool>() };
        }
        if (json.contains("reward"))
            report.reward = RewardOutcome { json.at("reward").at(0).get<bool>(), bytesFromBinaryValue(json.at("reward").at(1)) };
        if (json.contains("origin"))
            report.origin = originFrom(json.at("origin"));
        return report;
    }

} // namespace

std::string encodeRunCall(const RunCall& call)
{
    Json reports = Json::array();
    for (const auto& report : call.reports)
        reports.push_back(toJson(report));
    return toCbor({ { "host", call.host.value() }, { "process", call.process }, { "domain", call.failureDomain.value() }, { "capacity", call.capacity }, { "cut-off", call.isCutOff }, { "owner", call.owner },
        { "number", call.number }, { "last-reply", call.lastReply }, { "wait-ms", call.maximumWait.count() }, { "complete", call.isComplete }, { "held", toJson(call.held) }, { "reports", std::move(reports) } });
}

Result<RunCall> decodeRunCall(std::string_view body)
{
    return readCbor<RunCall>(body, std::string(messageName), [](const Json& json) -> Result<RunCall> {
        RunCall call;
        call.host = HostId(json.at("host").get<std::string>());
        call.process = json.at("process").get<std::uint64_t>();
        call.failureDomain = FailureDomain(json.at("domain").get<std::string>());
        call.capacity = json.at("capacity").get<unsigned>();
        call.isCutOff = json.at("cut-off").get<bool>();
        call.owner = json.at("owner").get<std::uint64_t>();
        call.number = json.at("number").get<std::uint64_t>();
        call.lastReply = json.at("last-reply").get<std::uint64_t>();
        call.maximumWait = milliseconds(json.at("wait-ms").get<std::int64_t>());
        call.isComplete = json.at("complete").get<bool>();
        call.held = idsFrom(json.at("held"));
        for (const auto& entry : json.at("reports")) {
            auto report = reportFrom(entry);
            if (!report)
                return report.as_failure();
            call.reports.push_back(std::move(report.value()));
        }
        return call;
    });
}

std::string encodeRunReply(const RunReply& reply)
{
    Json starts = Json::array();
    for (const auto& start : reply.starts)
        starts.push_back(toJson(start));
    Json receipts = Json::array();
    for (const auto& receipt : reply.receipts)
        receipts.push_back({ receipt.id.owner, receipt.id.number, receipt.events, receipt.hasEnd, receipt.hasReward });
    return toCbor({ { "owner", reply.owner }, { "owner-address", reply.ownerAddress }, { "number", reply.number }, { "interval-ms", reply.interval.count() }, { "starts", std::move(starts) }, { "stops", toJson(reply.stops) }, { "receipts", std::move(receipts) } });
}

Result<RunReply> decodeRunReply(std::string_view body)
{
    return readCbor<RunReply>(body, std::string(messageName), [](const Json& json) -> Result<RunReply> {
        RunReply reply;
        reply.owner = json.at("owner").get<std::uint64_t>();
        reply.ownerAddress = json.value("owner-address", std::string());
        reply.number = json.at("number").get<std::uint64_t>();
        reply.interval = milliseconds(json.at("interval-ms").get<std::int64_t>());
        for (const auto& entry : json.at("starts")) {
            auto start = assignmentFrom(entry);
            if (!start)
                return start.as_failure();
            reply.starts.push_back(std::move(start.value()));
        }
        reply.stops = idsFrom(json.at("stops"));
        for (const auto& receipt : json.at("receipts"))
            reply.receipts.push_back({ idFrom(receipt), receipt.at(2).get<std::size_t>(), receipt.at(3).get<bool>(), receipt.at(4).get<bool>() });
        return reply;
    });
}

} // namespace cicadalb
