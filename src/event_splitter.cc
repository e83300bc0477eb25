#include "event_splitter.h"

#include <algorithm>

namespace chiverail {
namespace {

// Returns the position after the last blank line, or 0 if there is none.
std::size_t EndOfEvents(std::string_view text) {
  std::size_t end = 0;
  for (const std::string_view blank : {"\n\n", "\r\n\r\n", "\r\r"}) {
    const std::size_t found = text.rfind(blank);
    if (found != std::string_view::npos) {
      end = std::max(end, found + blank.size());
    }
  }
  return end;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  partial_event_.append(bytes);
  const std::size_t end = EndOfEvents(partial_event_);
  std::string events = partial_event_.substr(0, end);
  partial_event_.erase(0, end);
  RecordIds(events);
  return events;
}

void EventSplitter::RecordIds(std::string_view events) {
  while (!events.empty()) {
    const std::size_t end = events.find_first_of("\r\n");
    std::string_view line = events.substr(0, end);
    events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
    if (line.substr(0, 3) != "id:") {
      continue;
    }
    line.remove_prefix(3);
    if (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    last_id_ = std::string(line);
  }
}

}  // namespace chiverail
