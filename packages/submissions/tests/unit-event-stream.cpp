#include "cicadalb/submissions/EventStream.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

TEST_CASE("event stream parser returns the same events wherever the input is split")
{
    const std::string text = "id: 1\ndata: one\n\nx-version: 7\nid: 2\r\ndata: two\ndata: lines\r\n\r\n";
    for (std::size_t split = 0; split <= text.size(); ++split) {
        EventStreamParser parser;
        auto events = parser.parse(std::string_view(text).substr(0, split));
        for (auto& event : parser.parse(std::string_view(text).substr(split)))
            events.push_back(std::move(event));
        REQUIRE(events.size() == 2);
        CHECK(events[0].id == 1);
        CHECK(events[0].data == "one");
        CHECK(events[0].otherFields.empty());
        CHECK(events[1].id == 2);
        CHECK(events[1].data == "two\nlines");
        REQUIRE(events[1].otherFields.size() == 1);
        CHECK(events[1].otherFields[0].second == "7");
    }
}

TEST_CASE("event stream parser does not return an event that is cut off")
{
    EventStreamParser parser;
    CHECK(parser.parse("id: 1\ndata: one\n\nid: 2\ndata: tw").size() == 1);
}
