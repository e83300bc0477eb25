#ifndef CHIVERAIL_EVENT_SPLITTER_H_
#define CHIVERAIL_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace chiverail {

// Splits a stream of server-sent events at event boundaries, so that an upstream that breaks off
// within an event leaves nothing half-sent, and notes the id at which the stream can go on.
class EventSplitter {
 public:
  // Takes bytes of the stream and returns the whole events that are now complete, byte for byte.
  std::string Take(std::string_view bytes);

  // Id of the last whole event; empty before the first one with an id.
  const std::string& last_id() const { return last_id_; }

  // Bytes of an event that is not complete.
  const std::string& rest() const { return rest_; }

  // Drops an incomplete event: the stream goes on from another upstream.
  void DropRest() { rest_.clear(); }

 private:
  void NoteIds(std::string_view events);

  std::string rest_;
  std::string last_id_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_EVENT_SPLITTER_H_
