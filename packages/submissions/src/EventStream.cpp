#include "cicadalb/submissions/EventStream.h"

#include <charconv>
#include <utility>

namespace cicadalb {

std::vector<StreamEvent> EventStreamParser::parse(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        m_partialLine.append(bytes.substr(0, end));
        if (end == std::string_view::npos)
            break;
        bytes.remove_prefix(end + 1);
        if (!m_partialLine.empty() && m_partialLine.back() == '\r')
            m_partialLine.pop_back();
        processLine(m_partialLine, events);
        m_partialLine.clear();
    }
    return events;
}

void EventStreamParser::processLine(std::string_view line, std::vector<StreamEvent>& events)
{
    if (line.empty()) {
        if (m_hasData)
            events.push_back(std::move(m_event));
        m_event = {};
        m_otherFieldBytes = 0;
        m_hasData = false;
        m_hasFields = false;
        return;
    }
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    // A line that begins with a colon is a comment.
    m_hasFields = m_hasFields || !name.empty();
    if (name == "data") {
        if (m_hasData)
            m_event.data += '\n';
        m_event.data += value;
        m_hasData = true;
    } else if (name == "id") {
        std::from_chars(value.data(), value.data() + value.size(), m_event.id);
    } else if (!name.empty()) {
        m_event.otherFields.emplace_back(name, value);
        m_otherFieldBytes += line.size() + 2 * sizeof(m_event.otherFields.front());
    }
}

} // namespace cicadalb
