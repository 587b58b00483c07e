#include "cicadalb/base/Event.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace cicadalb;

namespace {

std::string levelName(Level level)
{
    switch (level) {
    case Level::Debug:
        return "debug";
    case Level::Info:
        return "info";
    case Level::Warning:
        return "warning";
    case Level::Error:
        return "error";
    }
    return {};
}

struct EventDocumentFixture {
    std::string text;
    EventDocumentFixture()
    {
        std::ifstream file(std::string(CICADALB_SOURCE_DIR) + "/docs/EVENTS.md");
        std::ostringstream content;
        content << file.rdbuf();
        text = content.str();
    }
    std::size_t rowCount() const
    {
        std::size_t count = 0;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);)
            count += line.size() > 2 && line[0] == '|' && line[2] >= '1' && line[2] <= '9' ? 1 : 0;
        return count;
    }
};

} // namespace

TEST_CASE_METHOD(EventDocumentFixture, "docs/EVENTS.md, compared with the event catalogue, has exactly one row per event")
{
    for (const auto& description : eventCatalogue()) {
        const auto line = "| " + std::to_string(static_cast<int>(description.event)) + " | " + std::string(description.name) + " | " + levelName(description.level) + " |";
        INFO(line);
        CHECK(text.find(line) != std::string::npos);
    }
    CHECK(rowCount() == eventCatalogue().size());
}
