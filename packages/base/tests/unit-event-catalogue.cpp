#include "cicadalb/base/Event.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace cicadalb;

namespace {

std::string lowerCaseName(Level level)
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

struct EventPage {
    std::string text;
    EventPage()
    {
        std::ifstream file(std::string(CICADALB_SOURCE_DIR) + "/docs/EVENTS.md");
        std::ostringstream content;
        content << file.rdbuf();
        text = content.str();
    }
    std::size_t rows() const
    {
        std::size_t count = 0;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);)
            count += line.size() > 2 && line[0] == '|' && line[2] >= '1' && line[2] <= '9' ? 1 : 0;
        return count;
    }
};

} // namespace

TEST_CASE_METHOD(EventPage, "event page, compared with the catalogue, has a row for each event and no other")
{
    for (const auto& row : eventCatalogue()) {
        const auto line = "| " + std::to_string(static_cast<int>(row.event)) + " | " + std::string(row.name) + " | " + lowerCaseName(row.level) + " |";
        INFO(line);
        CHECK(text.find(line) != std::string::npos);
    }
    CHECK(rows() == eventCatalogue().size());
}
