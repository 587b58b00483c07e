#pragma once

#include "World.hpp"

/// @file
/// A stand-in trainer for the cases of the review.

namespace review {

/// Time after which a trainer gives a step up.
constexpr Milliseconds trainerStepDeadline { 12000 };

/// A trainer of one model.
class Trainer {
public:
    Trainer(Record& record, std::uint16_t port, std::string name)
        : m_record(record)
        , m_port(port)
        , m_name(std::move(name))
    {
    }
    std::string itemId(unsigned step, unsigned item) const { return m_name + "-step-" + std::to_string(step) + "-item-" + std::to_string(item); }
    bool submit(unsigned step, unsigned oldestVersion, unsigned itemCount)
    {
        Json items = Json::array();
        for (unsigned i = 0; i < itemCount; ++i)
            items.push_back({ { "id", itemId(step, i) }, { "path", "/" + m_name + "/" + std::to_string(i) }, { "headers", { { "X-Model", "model-" + m_name }, { "X-Token-Usage", "100,300" } } }, { "body", base64("prompt") }, { "tokens", 400 },
                { "group_id", "g" + std::to_string(i / 4) } });
        const Json body { { "step", step }, { "model", "model-" + m_name }, { "min_version", oldestVersion }, { "target_groups", itemCount / 4 }, { "items", items } };
        const auto answer = call(m_port, "POST", "/" + m_name + "/step", { { "Host", "site.example" }, { "X-Attempt-Id", idOf(step) }, { "Content-Type", "application/json" } }, body.dump(), Milliseconds(4000));
        m_record.line("trainer of model-" + m_name + " submits step " + std::to_string(step) + " with " + std::to_string(itemCount) + " items and min_version " + std::to_string(oldestVersion) + "; answer " + std::to_string(answer.status));
        return answer.status == 202;
    }
    /// The ids of the items that are listed, with their states.
    std::map<std::string, std::string> results(unsigned step)
    {
        std::map<std::string, std::string> states;
        for (std::size_t after = 0;;) {
            const auto answer = call(m_port, "GET", "/api/lots/" + idOf(step) + "?after=" + std::to_string(after), { { "Host", "site.example" } }, "", Milliseconds(2500));
            const auto page = answer.status == 200 ? Json::parse(answer.body) : Json { { "results", Json::array() } };
            if (page.at("results").empty())
                return states;
            for (const auto& result : page.at("results"))
                states[result.at("id").get<std::string>()] = result.at("state").get<std::string>();
            after = page.at("next").get<std::size_t>();
        }
    }
    bool awaitResults(unsigned step, std::size_t count)
    {
        return waitUntil([&] { return results(step).size() >= count; }, trainerStepDeadline);
    }
    void end(unsigned step)
    {
        const auto answer = call(m_port, "DELETE", "/api/lots/" + idOf(step), { { "Host", "site.example" } }, "", Milliseconds(4000));
        m_record.line("trainer of model-" + m_name + " ends step " + std::to_string(step) + "; answer " + std::to_string(answer.status));
    }

private:
    std::string idOf(unsigned step) const { return "lot-" + m_name + "-" + std::to_string(step); }

    Record& m_record;
    std::uint16_t m_port;
    std::string m_name;
};

inline void nameVersion(Store& store, Record& record, const std::string& model, unsigned version)
{
    store.put("op/version/" + model, Json { { "model", model }, { "version", version } }.dump());
    record.line("version " + std::to_string(version) + " of " + model + " is named");
}

} // namespace review
