#include "cicadalb/config/RefusedEdits.h"

#include "JsonReader.h"

#include <algorithm>

namespace cicadalb {

namespace {

    using nlohmann::json;

    json toJsonObject(const RefusedEdit& edit)
    {
        json value { { "at", edit.refusedAt }, { "author", edit.author }, { "reasons", edit.reasons } };
        if (edit.baseNumber)
            value["base"] = *edit.baseNumber;
        return value;
    }

    RefusedEdit refusedEditFromJson(const json& value)
    {
        RefusedEdit edit;
        detail::readMember(value, "at", edit.refusedAt);
        detail::readMember(value, "author", edit.author);
        if (ConfigurationNumber baseNumber = 0; detail::readMember(value, "base", baseNumber))
            edit.baseNumber = baseNumber;
        for (const auto& reason : value.value("reasons", json::array())) {
            if (reason.is_string())
                edit.reasons.push_back(reason.get<std::string>());
        }
        return edit;
    }

} // namespace

RefusedEdit makeRefusedEdit(std::int64_t refusedAt, std::string author, std::optional<ConfigurationNumber> baseNumber, const Errors& errors)
{
    RefusedEdit edit { refusedAt, std::move(author), baseNumber, {} };
    for (const auto& error : errors) {
        if (edit.reasons.size() == maximumRefusalReasons)
            break;
        edit.reasons.push_back(describe(error).substr(0, maximumRefusalReasonBytes));
    }
    return edit;
}

RefusedEdits RefusedEdits::fromJson(std::string_view text)
{
    RefusedEdits list;
    const auto values = json::parse(text, nullptr, false);
    if (!values.is_array())
        return list;
    for (const auto& value : values) {
        if (value.is_object() && list.m_edits.size() < maximumRefusedEdits)
            list.m_edits.push_back(refusedEditFromJson(value));
    }
    return list;
}

std::string RefusedEdits::toJson() const
{
    auto values = json::array();
    for (const auto& edit : m_edits)
        values.push_back(toJsonObject(edit));
    return values.dump(-1, ' ', false, json::error_handler_t::replace);
}

void RefusedEdits::add(RefusedEdit edit)
{
    m_edits.insert(m_edits.begin(), std::move(edit));
    if (m_edits.size() > maximumRefusedEdits)
        m_edits.resize(maximumRefusedEdits);
}

} // namespace cicadalb
