#pragma once

#include "cicadalb/services/HttpClient.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Server-sent events as they come.

namespace cicadalb {

struct StreamEvent {
    /// Rises from one event to the next.
    std::uint64_t id = 0;
    std::string data;
    /// Lines of the event that are neither id nor data.
    HttpFields otherFields;
};

/// @brief Splits the bytes of a text/event-stream into events. An event that is cut short is never returned.
class EventStreamReader {
public:
    /// @return the events that @p bytes complete
    std::vector<StreamEvent> read(std::string_view bytes);

private:
    void takeLine(std::string_view line, std::vector<StreamEvent>& events);

    std::string m_line;
    StreamEvent m_event;
    bool m_hasData = false;
};

} // namespace cicadalb
