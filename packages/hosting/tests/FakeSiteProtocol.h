#pragma once

#include "cicadalb/site/OrganisationKeys.h"
#include "cicadalb/site/SiteProtocol.h"

#include <sstream>

/// @file
/// SiteProtocol for tests, whose records are words separated by blanks. Messages other than those that the tests use are empty.

namespace cicadalb {

/// @brief Records: configuration "VERSION POOL [MODEL | organisation:NAME:KEY[,KEY]... | [public:][KIND:]AUTHORITY/PATH]...", where each path is a route of that kind (stream, idempotent or once; submissions without one) to the pool, target "POOL IP:PORT ready|leaving MODEL VERSION START SOFTWARE REPORT", announced version "MODEL VERSION".
class FakeSiteProtocol : public SiteProtocol {
public:
    /// The field "Call" selects a call on the submission that the path names.
    CallerRequest callerRequest(const HttpRequest& request) const override
    {
        CallerRequest call;
        call.submission = SubmissionId(request.target.substr(1));
        call.item = ItemId("item");
        for (const auto& [name, kind] : { std::pair("results", CallerRequestKind::ReadResults), std::pair("item", CallerRequestKind::ReadItem), std::pair("end", CallerRequestKind::EndSubmission) }) {
            if (fieldIn(request.fields, "Call") == name)
                call.kind = kind;
        }
        return call;
    }
    RequestId attemptId(const HttpFields& fields) const override { return RequestId(std::string(fieldIn(fields, "Id"))); }
    std::optional<std::chrono::milliseconds> callerTimeout(const HttpFields&) const override { return std::nullopt; }
    std::vector<Secret> callerKeys(const HttpFields& fields) const override
    {
        std::vector<Secret> keys;
        for (const auto& [name, value] : fields) {
            if (name == "Key")
                keys.emplace_back(value);
        }
        return keys;
    }
    void removeKeys(HttpFields& fields) const override
    {
        std::erase_if(fields, [](const auto& field) { return field.first == "Key" || field.first == "Organisation"; });
    }
    std::optional<ContinuedStream> continuedStream(const HttpFields& fields) const override
    {
        const auto lastEvent = fieldIn(fields, "Last-Event");
        if (lastEvent.empty())
            return std::nullopt;
        return ContinuedStream { RequestId(std::string(fieldIn(fields, "Continues"))), lastEvent == "unreadable" ? std::nullopt : std::optional<std::uint64_t>(1) };
    }
    HttpRequest forwardedRequest(const HttpRequest& request, const AttemptContext& context) const override
    {
        auto forwarded = request;
        forwarded.exchangeId = { std::string(fieldIn(request.fields, "Id")), "Id" };
        std::erase_if(forwarded.fields, [](const auto& field) { return field.first == "Organisation"; });
        forwarded.fields.emplace_back("Remaining", std::to_string(context.remainingTime.count()));
        if (!context.organisation.isEmpty())
            forwarded.fields.emplace_back("Organisation", context.organisation.value());
        return forwarded;
    }
    std::string requestIdentity(const HttpRequest& request) const override { return request.target + "\n" + request.body.text(); }
    HttpFields answerFields(const HttpFields& fields) const override { return fields; }
    /// A body of "submission" has one item; any other is invalid.
    Result<Submission> submission(const HttpRequest& request) const override
    {
        if (request.body != "submission")
            return failure(ErrorCode::SubmissionInvalid, "not used");
        Submission submission;
        submission.id = SubmissionId(std::string(fieldIn(request.fields, "Id")));
        submission.items.emplace_back().id = ItemId("item");
        return submission;
    }
    std::string resultsPage(std::size_t, std::size_t, const std::vector<const SampleResult*>&) const override { return {}; }
    AnswerKind classifyAnswer(const HttpResponse& head, const RequestId& attempt) const override
    {
        if (!head.field("Not-Run").empty())
            return AnswerKind::NotRun;
        return head.field("Id") == attempt.value() ? AnswerKind::Answered : AnswerKind::Unusable;
    }
    bool isLeaving(const HttpFields& fields) const override { return !fieldIn(fields, "Leaving").empty(); }
    std::optional<LoadReport> loadReport(const HttpFields&) const override { return std::nullopt; }
    RateStatement rateStatement(const HttpFields& fields) const override
    {
        const auto rate = fieldIn(fields, "Rate");
        return rate.empty() ? RateStatement {} : RateStatement { RateStatementKind::Limited, std::stod(std::string(rate)) };
    }
    std::string signature(const HttpFields& fields) const override { return std::string(fieldIn(fields, "Signature")); }
    Prompt prompt(const HttpFields&) const override { return {}; }
    HttpRequest sampleRequest(const Submission&, const SampleItem&, const SampleAttempt&) const override { return {}; }
    HttpRequest rewardRequest(const RewardCall&, const AttemptContext&) const override { return {}; }
    std::optional<WeightVersion> answerWeightVersion(const HttpFields&) const override { return std::nullopt; }
    std::optional<WeightVersion> eventWeightVersion(const StreamEvent&) const override { return std::nullopt; }
    HttpRequest reportRequest() const override { return {}; }
    Result<EngineReport> engineReport(std::string_view) const override { return failure(ErrorCode::AnswerInvalid, "not used"); }
    HttpRequest loadOrder(const LoadOrder&) const override { return {}; }
    OrderOutcome orderOutcome(const HttpResponse&) const override { return OrderOutcome::Refused; }
    HttpRequest usageReport(const DutyHolder&, const UsageReport&) const override { return {}; }
    HttpRequest capacityOrder(const DutyHolder&, const CapacityOrder&) const override { return {}; }
    DutyOutcome dutyOutcome(const HttpResponse& answer) const override { return answer.status == 200 ? DutyOutcome::Accepted : DutyOutcome::Refused; }

    const SiteKeys& keys() const override
    {
        static const SiteKeys keys { "site/configuration", "targets/", "versions/", "retire/" };
        return keys;
    }

    Result<SiteConfiguration> configuration(std::string_view record) const override
    {
        std::istringstream words { std::string(record) };
        SiteConfiguration configuration;
        SitePool pool;
        std::string poolName;
        if (!(words >> configuration.version >> poolName))
            return failure(ErrorCode::RecordInvalid, "not a configuration");
        pool.name = PoolName(poolName);
        for (std::string word; words >> word;) {
            if (word.starts_with("organisation:")) {
                configuration.organisations.push_back(organisationIn(word.substr(word.find(':') + 1)));
                continue;
            }
            if (word.find('/') == std::string::npos) {
                pool.models.push_back(word);
                continue;
            }
            SiteRoute route;
            route.kind = RequestKind::Submission;
            if (word.starts_with("public:")) {
                route.isPublic = true;
                word.erase(0, std::string_view("public:").size());
            }
            for (const auto& [prefix, kind] : { std::pair("stream:", RequestKind::Stream), std::pair("idempotent:", RequestKind::Idempotent), std::pair("once:", RequestKind::NonIdempotent) }) {
                if (word.starts_with(prefix)) {
                    route.kind = kind;
                    route.maximumAttempts = 3;
                    word.erase(0, std::string_view(prefix).size());
                }
            }
            route.name = RouteName(word);
            route.authority = word.substr(0, word.find('/'));
            route.pathPrefix = word.substr(word.find('/'));
            route.itemTimeToLive = std::chrono::seconds(60);
            route.pools.push_back({ pool.name, 1 });
            configuration.routes.push_back(std::move(route));
        }
        configuration.pools.push_back(std::move(pool));
        return configuration;
    }

    Result<RegisteredTarget> target(std::string_view key, std::string_view record) const override
    {
        std::istringstream words { std::string(record) };
        std::string pool;
        std::string address;
        std::string state;
        std::string model;
        WeightVersion version = 0;
        if (!(words >> pool >> address >> state))
            return failure(ErrorCode::RecordInvalid, "not a target");
        RegisteredTarget target;
        target.id = TargetId(std::string(key.substr(keys().targets.size())));
        target.pool = PoolName(pool);
        target.endpoint = { address.substr(0, address.find(':')), static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))) };
        target.isDraining = state == "leaving";
        if (words >> model >> version)
            target.models[model] = version;
        std::string software;
        words >> target.startedAt >> software;
        target.softwareVersion = SoftwareVersion(software);
        if (std::uint64_t report = 0; words >> report)
            target.reportNumber = report;
        return target;
    }

    Result<AnnouncedVersion> announcedVersion(std::string_view record) const override
    {
        std::istringstream words { std::string(record) };
        std::string model;
        AnnouncedVersion named;
        if (!(words >> model >> named.version))
            return failure(ErrorCode::RecordInvalid, "not a version");
        named.model = ModelName(model);
        return named;
    }

    StoreWrite retirementStatus(const HostId& host, bool isDone) const override { return { "retired/" + host.value(), isDone ? "done" : "begun" }; }

private:
    /// Reads "NAME:KEY[,KEY]...".
    static SiteOrganisation organisationIn(const std::string& text)
    {
        SiteOrganisation organisation;
        organisation.name = OrganisationName(text.substr(0, text.find(':')));
        std::istringstream keys { text.substr(text.find(':') + 1) };
        for (std::string key; std::getline(keys, key, ',');)
            organisation.keyDigests.push_back(keyDigest(Secret(key)));
        return organisation;
    }
};

} // namespace cicadalb
