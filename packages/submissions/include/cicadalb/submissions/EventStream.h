#pragma once

#include "cicadalb/services/HttpClient.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Incremental parsing of server-sent events.

namespace cicadalb {

struct StreamEvent {
    /// Increases from one event to the next.
    std::uint64_t id = 0;
    std::string data;
    /// Fields of the event other than id and data.
    HttpFields otherFields;
};

/// @brief Parses a text/event-stream that arrives in pieces. An incomplete event is never returned.
class EventStreamParser {
public:
    /// @return the events that are complete with @p bytes
    std::vector<StreamEvent> parse(std::string_view bytes);
    /// @brief Whether the bytes so far end within an event.
    bool isWithinEvent() const noexcept { return !m_partialLine.empty() || m_hasFields; }
    /// @brief Memory that an incomplete event takes.
    std::size_t memoryBytes() const noexcept { return m_partialLine.capacity() + m_event.data.capacity() + m_otherFieldBytes; }

private:
    void processLine(std::string_view line, std::vector<StreamEvent>& events);

    std::string m_partialLine;
    StreamEvent m_event;
    /// Text of the other fields of the event, with a surcharge for each of them.
    std::size_t m_otherFieldBytes = 0;
    bool m_hasData = false;
    bool m_hasFields = false;
};

} // namespace cicadalb
