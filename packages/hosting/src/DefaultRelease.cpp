#include "DefaultRelease.h"

#include "cicadalb/base/CborRecord.h"
#include "cicadalb/base/Hash.h"
#include "cicadalb/submissions/SubmissionRecords.h"

#include <algorithm>
#include <map>
#include <utility>

namespace cicadalb {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view streamPrefix = "streams/begun/";
    constexpr std::string_view otherReleasesRoot = "streams/others/";

    /// The part of a key that names a route or an attempt; names that are too long for a key are replaced by their hash.
    std::string keyPart(const std::string& name) { return name.size() <= maximumIdLength ? name : sha256Hex(name); }

    Json toJson(const SoftwareRelease& release) { return { { "pool", release.pool.value() }, { "version", release.version.value() } }; }

    SoftwareRelease releaseFrom(const Json& json)
    {
        return { PoolName(json.at("pool").get<std::string>()), SoftwareVersion(json.at("version").get<std::string>()) };
    }

    SoftwareRelease mostFrequent(const std::vector<SoftwareRelease>& releases)
    {
        std::map<std::pair<PoolName, SoftwareVersion>, std::size_t> counts;
        for (const auto& release : releases)
            ++counts[{ release.pool, release.version }];
        const auto found = std::max_element(counts.begin(), counts.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
        return { found->first.first, found->first.second };
    }

} // namespace

std::optional<DefaultRelease> nextDefaultRelease(const DefaultReleaseInput& input)
{
    if (input.registered.empty())
        return std::nullopt;
    if (!input.stored && input.mayHaveStreams)
        return DefaultRelease { {}, true };
    if (!input.stored)
        return DefaultRelease { mostFrequent(input.registered), false };
    const auto& stored = *input.stored;
    const bool isRegistered = std::any_of(input.registered.begin(), input.registered.end(), [&](const auto& release) { return release == stored.release; });
    const bool shouldChange = isRegistered == stored.isRetired;
    if (shouldChange)
        return DefaultRelease { stored.release, !isRegistered };
    if (isRegistered || input.retiredFor < longestStream)
        return std::nullopt;
    return DefaultRelease { mostFrequent(input.registered), false };
}

std::vector<SoftwareRelease> registeredReleases(const TargetRegistry& registry, const SiteRoute& route)
{
    std::vector<SoftwareRelease> releases;
    for (const auto& [id, target] : registry.targets()) {
        if (route.hasPool(target.pool))
            releases.push_back({ target.pool, target.softwareVersion });
    }
    return releases;
}

std::string defaultReleaseKey(const RouteName& route) { return std::string(defaultReleasePrefix) + keyPart(route.value()); }

std::string streamKey(const RequestId& firstAttempt) { return std::string(streamPrefix) + keyPart(firstAttempt.value()); }

std::string otherReleasesPrefix(const RouteName& route) { return std::string(otherReleasesRoot) + keyPart(route.value()) + "/"; }

std::string encodeDefaultRelease(const DefaultRelease& record)
{
    auto json = toJson(record.release);
    json["retired"] = record.isRetired;
    return toCbor(json);
}

Result<DefaultRelease> decodeDefaultRelease(std::string_view record)
{
    return readCbor<DefaultRelease>(record, "default release", [](const Json& json) { return DefaultRelease { releaseFrom(json), json.at("retired").get<bool>() }; });
}

std::string encodeStreamRelease(const SoftwareRelease& release) { return toCbor(toJson(release)); }

Result<SoftwareRelease> decodeStreamRelease(std::string_view record)
{
    return readCbor<SoftwareRelease>(record, "stream", [](const Json& json) { return releaseFrom(json); });
}

} // namespace cicadalb
