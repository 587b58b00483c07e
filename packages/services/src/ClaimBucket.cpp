#include "cicadalb/services/ClaimBucket.h"

#include <nlohmann/json.hpp>

namespace cicadalb {

using nlohmann::json;

namespace {

    /// A stored entry is the array [key hash, fingerprint, claim ID, time of the claim], followed by the status once that is known.
    constexpr std::size_t lengthWithoutStatus = 4;
    constexpr std::size_t lengthWithStatus = 5;

    json toArray(const std::string& keyHash, const ClaimEntry& entry)
    {
        json array = json::array({ keyHash, entry.fingerprint, entry.claimId, entry.claimedAt });
        if (entry.status)
            array.push_back(*entry.status);
        return array;
    }

    bool isValidEntry(const json& array)
    {
        if (!array.is_array() || array.size() < lengthWithoutStatus || array.size() > lengthWithStatus)
            return false;
        const bool hasStatus = array.size() == lengthWithStatus;
        return array[0].is_string() && array[1].is_string() && array[2].is_string() && array[3].is_number_integer()
            && (!hasStatus || array[4].is_number_unsigned());
    }

} // namespace

Result<ClaimBucket> ClaimBucket::fromJson(std::string_view text)
{
    ClaimBucket bucket;
    if (text.empty())
        return bucket;
    const auto array = json::parse(text, nullptr, false);
    if (!array.is_array())
        return failure(ErrorCode::AnswerInvalid, "the claim bucket is not a JSON array");
    for (const auto& element : array) {
        if (!isValidEntry(element))
            return failure(ErrorCode::AnswerInvalid, "the claim bucket holds an invalid entry");
        ClaimEntry entry { element[1].get<std::string>(), element[2].get<std::string>(), element[3].get<std::int64_t>(), {} };
        if (element.size() == lengthWithStatus)
            entry.status = element[4].get<unsigned>();
        bucket.m_entries.emplace(element[0].get<std::string>(), std::move(entry));
    }
    return bucket;
}

std::string ClaimBucket::toJson() const
{
    json array = json::array();
    for (const auto& [keyHash, entry] : m_entries)
        array.push_back(toArray(keyHash, entry));
    return array.dump();
}

const ClaimEntry* ClaimBucket::find(const std::string& keyHash) const
{
    const auto found = m_entries.find(keyHash);
    return found == m_entries.end() ? nullptr : &found->second;
}

void ClaimBucket::insert(std::string keyHash, ClaimEntry entry)
{
    m_entries.insert_or_assign(std::move(keyHash), std::move(entry));
}

bool ClaimBucket::setStatus(const std::string& keyHash, unsigned status)
{
    const auto found = m_entries.find(keyHash);
    if (found == m_entries.end() || found->second.status == status)
        return false;
    found->second.status = status;
    return true;
}

void ClaimBucket::release(const std::string& keyHash, const std::string& claimId)
{
    const auto found = m_entries.find(keyHash);
    if (found != m_entries.end() && found->second.claimId == claimId)
        m_entries.erase(found);
}

void ClaimBucket::removeClaimedBefore(std::int64_t oldest)
{
    std::erase_if(m_entries, [oldest](const auto& item) { return item.second.claimedAt < oldest; });
}

} // namespace cicadalb
