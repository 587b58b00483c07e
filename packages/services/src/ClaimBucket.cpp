#include "cicadalb/services/ClaimBucket.h"

#include <nlohmann/json.hpp>

namespace cicadalb {

using nlohmann::json;

namespace {

    /// An entry is [key hash, fingerprint, mark, claimed at] and, once known, the status.
    constexpr std::size_t openParts = 4;
    constexpr std::size_t finishedParts = 5;

    json toArray(const std::string& keyHash, const ClaimEntry& entry)
    {
        json array = json::array({ keyHash, entry.fingerprint, entry.mark, entry.claimedAt });
        if (entry.status)
            array.push_back(*entry.status);
        return array;
    }

    bool isEntry(const json& array)
    {
        if (!array.is_array() || array.size() < openParts || array.size() > finishedParts)
            return false;
        const bool isFinished = array.size() == finishedParts;
        return array[0].is_string() && array[1].is_string() && array[2].is_string() && array[3].is_number_integer()
            && (!isFinished || array[4].is_number_unsigned());
    }

} // namespace

Result<ClaimBucket> ClaimBucket::fromJson(std::string_view text)
{
    ClaimBucket bucket;
    if (text.empty())
        return bucket;
    const auto array = json::parse(text, nullptr, false);
    if (!array.is_array())
        return failure(ErrorCode::AnswerInvalid, "a claim bucket is not a JSON array");
    for (const auto& element : array) {
        if (!isEntry(element))
            return failure(ErrorCode::AnswerInvalid, "a claim is invalid");
        ClaimEntry entry { element[1].get<std::string>(), element[2].get<std::string>(), element[3].get<std::int64_t>(), {} };
        if (element.size() == finishedParts)
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

bool ClaimBucket::finish(const std::string& keyHash, unsigned status)
{
    const auto found = m_entries.find(keyHash);
    if (found == m_entries.end() || found->second.status == status)
        return false;
    found->second.status = status;
    return true;
}

void ClaimBucket::release(const std::string& keyHash, const std::string& mark)
{
    const auto found = m_entries.find(keyHash);
    if (found != m_entries.end() && found->second.mark == mark)
        m_entries.erase(found);
}

void ClaimBucket::dropBefore(std::int64_t oldest)
{
    std::erase_if(m_entries, [oldest](const auto& row) { return row.second.claimedAt < oldest; });
}

} // namespace cicadalb
