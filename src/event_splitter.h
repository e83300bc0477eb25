#ifndef CHIVERAIL_EVENT_SPLITTER_H_
#define CHIVERAIL_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace chiverail {

// Splits a stream of server-sent events at event boundaries, so that no partial event is sent to
// the caller if the upstream fails within one, and records the id from which the stream can resume.
class EventSplitter {
 public:
  // Adds bytes of the stream and returns the events that are now complete, byte for byte.
  std::string Feed(std::string_view bytes);

  // Id of the last complete event that had one; empty if there was none.
  const std::string& last_id() const { return last_id_; }

  // Bytes after the last complete event.
  const std::string& partial_event() const { return partial_event_; }

  // Whether the stream has begun an event that is not complete. Line ends alone are no event.
  bool inside_event() const {
    return partial_event_.find_first_not_of("\r\n") != std::string::npos;
  }

  // Discards the incomplete event, before another upstream resumes the stream.
  void DiscardPartialEvent() { partial_event_.clear(); }

 private:
  void RecordIds(std::string_view events);

  std::string partial_event_;
  std::string last_id_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_EVENT_SPLITTER_H_
