#include "cicadalb/config/SiteSettings.h"

#include "SettingsFields.h"

#include <algorithm>

#include "cicadalb/base/EnumTable.h"

namespace cicadalb {

namespace {

    constexpr auto dutyNames = std::to_array<EnumName<Duty>>({
        { Duty::Metering, "metering" },
        { Duty::Autoscaling, "autoscaling" },
    });

    using detail::Between;
    using detail::Fields;
    using detail::Presence;
    using detail::TomlReader;

    constexpr double minimumLeaseMilliseconds = 1000.0;
    constexpr double maximumUsageWindowSeconds = 3600.0;
    constexpr double maximumRetentionSeconds = 86400.0;
    constexpr double maximumConcurrentLoads = 1000.0;
    constexpr double maximumMemoryMebibytes = 1048576.0;
    constexpr double maximumDescriptors = 1048576.0;

    const Fields<SiteHostSettings>& hostFields()
    {
        static const Fields<SiteHostSettings> fields {
            { "id", &SiteHostSettings::id, Presence::Required, detail::checkIdentifier<HostTag> },
            { "failure-domain", &SiteHostSettings::failureDomain, Presence::Required, detail::checkIdentifier<FailureDomainTag> },
            { "first-start", &SiteHostSettings::isFirstStart, Presence::Optional },
        };
        return fields;
    }

    const Fields<SiteAddressSettings>& addressFields()
    {
        static const Fields<SiteAddressSettings> fields {
            { "store", &SiteAddressSettings::store, Presence::Required },
            { "callers", &SiteAddressSettings::callers, Presence::Optional },
            { "ready", &SiteAddressSettings::ready, Presence::Optional },
            { "admin", &SiteAddressSettings::admin, Presence::Required },
            { "duties", &SiteAddressSettings::duties, Presence::Optional },
            { "mirror", &SiteAddressSettings::mirrorListen, Presence::Optional },
            { "mirrors", &SiteAddressSettings::mirrorSources, Presence::Optional },
            { "standby", &SiteAddressSettings::standbyListen, Presence::Optional },
        };
        return fields;
    }

    const Fields<SitePartSettings>& partFields()
    {
        static const Fields<SitePartSettings> fields {
            { "serving", &SitePartSettings::serving, Presence::Optional },
            { "coordinating", &SitePartSettings::coordinating, Presence::Optional },
            { "duties", &SitePartSettings::duties, Presence::Optional },
        };
        return fields;
    }

    const Fields<SiteWorkSettings>& workFields()
    {
        static const Fields<SiteWorkSettings> fields {
            { "lease-ms", &SiteWorkSettings::leaseTimeToLive, Presence::Optional, Between { minimumLeaseMilliseconds, detail::maximumDurationMilliseconds } },
            { "order-quiet-ms", &SiteWorkSettings::orderQuietPeriod, Presence::Optional, Between { 0, detail::maximumDurationMilliseconds } },
            { "results-kept-s", &SiteWorkSettings::resultRetention, Presence::Optional, Between { 0, maximumRetentionSeconds } },
            { "loads-at-once", &SiteWorkSettings::maximumConcurrentLoads, Presence::Optional, Between { 0, maximumConcurrentLoads } },
            { "submission-end-ms", &SiteWorkSettings::endTime, Presence::Optional, Between { 0, detail::maximumDurationMilliseconds } },
            { "key-validity-ms", &SiteWorkSettings::keyValidity, Presence::Optional, Between { 0, detail::maximumDurationMilliseconds } },
            { "usage-window-s", &SiteWorkSettings::usageWindow, Presence::Optional, Between { 1, maximumUsageWindowSeconds } },
            { "usage-report-s", &SiteWorkSettings::usageReportTime, Presence::Optional, Between { 0, maximumUsageWindowSeconds } },
            { "memory-mb", &SiteWorkSettings::memoryMebibytes, Presence::Optional, Between { 0, maximumMemoryMebibytes } },
            { "descriptors", &SiteWorkSettings::descriptors, Presence::Optional, Between { 0, maximumDescriptors } },
            { "target-report-ms", &SiteWorkSettings::targetReportInterval, Presence::Optional, Between { 1, detail::maximumDurationMilliseconds } },
            { "leaving-ms", &SiteWorkSettings::targetDrainTime, Presence::Optional, Between { 0, detail::maximumDurationMilliseconds } },
        };
        return fields;
    }

    const std::vector<std::string_view>& sectionNames()
    {
        static const std::vector<std::string_view> names { "host", "addresses", "parts", "work", "log", "shutdown" };
        return names;
    }

    void readSections(TomlReader& reader, const toml::table& root, SiteSettings& settings)
    {
        detail::readSection(reader, root, "host", hostFields(), settings.host);
        detail::readSection(reader, root, "addresses", addressFields(), settings.addresses);
        detail::readSection(reader, root, "parts", partFields(), settings.parts);
        detail::readSection(reader, root, "work", workFields(), settings.work);
        detail::readSection(reader, root, "log", detail::logFields(), settings.log);
        detail::readSection(reader, root, "shutdown", detail::shutdownFields(), settings.shutdown);
        detail::reportUnknownKeys(reader, root, "settings", sectionNames());
    }

    void checkParts(const SiteSettings& settings, const std::string& fileName, Errors& errors)
    {
        if (!settings.parts.serving && !settings.parts.coordinating)
            errors.push_back({ ErrorCode::ValueInvalid, "parts: neither serving nor coordinating is true, so that the process would do nothing", fileName });
        if (settings.parts.serving && (settings.addresses.callers.address.empty() || settings.addresses.ready.address.empty()))
            errors.push_back({ ErrorCode::ValueMissing, "addresses.callers or addresses.ready is missing: a process that serves needs both", fileName });
        if (!settings.parts.duties.empty() && settings.addresses.duties.address.empty())
            errors.push_back({ ErrorCode::ValueMissing, "addresses.duties is missing: the calls of parts.duties are sent there", fileName });
    }

} // namespace

/// Found by the reader of settings through argument-dependent lookup.
static const auto& enumTable(Duty) { return dutyNames; }

bool SitePartSettings::hasDuty(Duty duty) const noexcept
{
    return std::find(duties.begin(), duties.end(), duty) != duties.end();
}

CheckedResult<SiteSettings> parseSiteSettings(std::string_view text, const std::string& fileName)
{
    TomlReader reader { fileName };
    const auto root = reader.parse(text);
    SiteSettings settings;
    if (reader.errors().empty())
        readSections(reader, root, settings);
    if (reader.errors().empty())
        checkParts(settings, fileName, reader.errors());
    if (!reader.errors().empty())
        return std::move(reader.errors());
    return settings;
}

CheckedResult<SiteSettings> loadSiteSettings(const std::string& path)
{
    const auto text = readTextFile(path);
    if (!text)
        return Errors { text.error() };
    return parseSiteSettings(text.value(), path);
}

} // namespace cicadalb
