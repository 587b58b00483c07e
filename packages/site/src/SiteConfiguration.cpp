#include "cicadalb/site/SiteConfiguration.h"

#include "cicadalb/base/EnumTable.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace cicadalb {

namespace {

    constexpr auto kindNames = std::to_array<EnumName<RequestKind>>({
        { RequestKind::Idempotent, "idempotent" },
        { RequestKind::NonIdempotent, "non-idempotent" },
        { RequestKind::Stream, "stream" },
        { RequestKind::Submission, "submission" },
    });

    bool hasLongerPrefix(const SiteRoute* left, const SiteRoute* right)
    {
        return left->pathPrefix.size() > right->pathPrefix.size();
    }

} // namespace

std::string_view name(RequestKind kind) noexcept
{
    return nameIn(kindNames, kind);
}

bool SiteRoute::hasPool(const PoolName& pool) const noexcept
{
    return std::any_of(pools.begin(), pools.end(), [&](const auto& share) { return share.pool == pool; });
}

SubmissionTerms SiteRoute::submissionTerms() const noexcept
{
    return { finishWithin, itemTimeToLive, latencyObjective, maximumAttempts, priority, requiresSingleVersion };
}

const SitePool* SiteConfiguration::pool(const PoolName& poolName) const noexcept
{
    const auto found = std::find_if(pools.begin(), pools.end(), [&](const auto& pool) { return pool.name == poolName; });
    return found == pools.end() ? nullptr : &*found;
}

const SiteOrganisation* SiteConfiguration::organisation(const OrganisationName& organisationName) const noexcept
{
    const auto found = std::find_if(organisations.begin(), organisations.end(), [&](const auto& organisation) { return organisation.name == organisationName; });
    return found == organisations.end() ? nullptr : &*found;
}

Result<void> checkOrganisations(const SiteConfiguration& configuration)
{
    std::set<OrganisationName> names;
    std::unordered_map<std::string_view, const SiteOrganisation*> holders;
    for (const auto& organisation : configuration.organisations) {
        if (organisation.name.isEmpty())
            return failure(ErrorCode::RecordInvalid, "an organisation has no name");
        if (!names.insert(organisation.name).second)
            return failure(ErrorCode::RecordInvalid, "the organisation " + organisation.name.value() + " is listed twice");
        for (const auto& digest : organisation.keyDigests) {
            const auto* holder = holders.emplace(digest, &organisation).first->second;
            if (holder != &organisation)
                return failure(ErrorCode::RecordInvalid, "the organisations " + holder->name.value() + " and " + organisation.name.value() + " have the same key");
        }
    }
    return success();
}

RouteIndex::RouteIndex(const SiteConfiguration& configuration)
{
    for (const auto& route : configuration.routes)
        m_byAuthority[route.authority].push_back(&route);
    for (auto& [authority, routes] : m_byAuthority)
        std::stable_sort(routes.begin(), routes.end(), hasLongerPrefix);
}

const SiteRoute* RouteIndex::find(std::string_view authority, std::string_view path) const
{
    const auto found = m_byAuthority.find(std::string(authority));
    if (found == m_byAuthority.end())
        return nullptr;
    for (const auto* route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

} // namespace cicadalb
