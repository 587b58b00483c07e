#include "cicadalb/submissions/EventStream.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

TEST_CASE("event stream, cut at any byte, gives the same events")
{
    const std::string text = "id: 1\ndata: one\n\nx-version: 7\nid: 2\r\ndata: two\ndata: lines\r\n\r\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        EventStreamReader reader;
        auto events = reader.read(std::string_view(text).substr(0, cut));
        for (auto& event : reader.read(std::string_view(text).substr(cut)))
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

TEST_CASE("event stream, broken off in the middle of an event, does not return it")
{
    EventStreamReader reader;
    CHECK(reader.read("id: 1\ndata: one\n\nid: 2\ndata: tw").size() == 1);
}
