#ifndef CHIVERAIL_MIXED_ANSWERS_H_
#define CHIVERAIL_MIXED_ANSWERS_H_

#include <string>
#include <string_view>
#include <vector>

namespace chiverail {

// Finds a copy of an earlier answer within the body of the current one. An upstream that sends an
// answer twice may send the second copy while it is sending the next answer on that connection. If
// that one has a length or ends with its connection, its framing does not show it.
class MixedAnswers {
 public:
  // Starts with the body of the answer to the next request on the connection.
  void Begin(std::string request_id);

  // Ends the body, and frees its memory.
  void End() { std::string().swap(tail_); }

  // Returns whether the body contains the head of an earlier answer, now that `bytes` have been
  // added to it.
  bool Add(std::string_view bytes);

  // Returns whether the head of an earlier answer begins in the body and goes on in the bytes after
  // it.
  bool EndsWith(std::string_view bytes_after) const;

 private:
  // Earlier requests that are remembered. Copies come after a few answers at most.
  static constexpr std::size_t kMaxIds = 4;

  // Shorter ids may stand in a body by chance.
  static constexpr std::size_t kMinIdBytes = 8;

  // Longest head of an answer that is found if it arrives in pieces.
  static constexpr std::size_t kMaxHeadBytes = 2048;

  bool Contains(std::string_view text, std::size_t begin_before) const;

  std::string request_id_;
  std::vector<std::string> earlier_ids_;
  std::string tail_;  // end of the body; empty if there are no earlier ids
};

}  // namespace chiverail

#endif  // CHIVERAIL_MIXED_ANSWERS_H_
