#include "StateReport.h"

#include "cicadalb/rollout/StepJson.h"

namespace cicadalb {

namespace {

    nlohmann::json toReport(const TargetView& view)
    {
        return {
            { "target", view.target.value() },
            { "in-flight", view.inFlight },
            { "limit", view.limit },
            { "service-us", std::chrono::duration_cast<std::chrono::microseconds>(view.serviceTime).count() },
            { "eligible", view.isEligible },
            { "reason", view.reason },
        };
    }

    nlohmann::json toReport(const Member& member)
    {
        return {
            { "host", member.id.value() },
            { "state", name(member.state) },
            { "incarnation", member.incarnation },
            { "failure-domain", member.details.failureDomain.value() },
            { "configuration", member.configuration },
        };
    }

    nlohmann::json toReport(const StepProgress& progress)
    {
        return nlohmann::json::parse(toJson(progress));
    }

    template <typename Items>
    nlohmann::json toReports(const Items& items)
    {
        nlohmann::json reports = nlohmann::json::array();
        for (const auto& item : items)
            reports.push_back(toReport(item));
        return reports;
    }

} // namespace

nlohmann::json toReport(const SharedPoolBalancer& balancer)
{
    return { { "queue", balancer.queueLength() }, { "targets", toReports(balancer.targets()) } };
}

nlohmann::json toReport(const std::vector<Member>& members)
{
    return toReports(members);
}

nlohmann::json toReport(const std::vector<RefusedEdit>& edits)
{
    nlohmann::json reports = nlohmann::json::array();
    for (const auto& edit : edits)
        reports.push_back({ { "author", edit.author }, { "at", edit.refusedAt }, { "reasons", edit.reasons } });
    return reports;
}

nlohmann::json toReport(const std::vector<StepProgress>& steps)
{
    return toReports(steps);
}

nlohmann::json toReport(const ClaimLogCounters& counters)
{
    return {
        { "claims", counters.claims },
        { "fresh", counters.fresh },
        { "refused", counters.refused },
        { "reads", counters.reads },
        { "writes", counters.writes },
    };
}

nlohmann::json toReport(const CallLimiterState& limiter)
{
    return {
        { "available", limiter.isAvailable },
        { "calls", limiter.callsMade },
        { "calls-held-back", limiter.rejectedCalls },
    };
}

} // namespace cicadalb
