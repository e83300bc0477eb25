#ifndef CHIVERAIL_CALLER_LIMITS_HELD_BYTES_H_
#define CHIVERAIL_CALLER_LIMITS_HELD_BYTES_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

#include "types.h"

namespace chiverail {

// What becomes of a holder of bytes if an instance holds too many.
enum class HolderState : std::uint8_t {
  kReceiving,  // a request arrives; it has not run, so it can be refused
  kServing,    // a request may run; what it holds is kept
  kStalled,    // its caller does not read its answer
};

// Account of the bytes that an instance holds for its callers. Handles callers that send bodies
// without ending them, or don't read their answers: those that hold most for longest without
// progress are closed first, so that callers with small requests, and those that go on, are served.
class HeldBytes {
 public:
  // Identifies a holder; the account does not look at it.
  using Holder = const void*;

  // Sets the number of bytes that may be held.
  void SetLimit(std::size_t limit) { limit_ = limit; }

  // Records what a holder holds now. `progress` tells whether its caller has sent or taken
  // something of note since the last call.
  void Set(Holder holder, std::size_t bytes, HolderState state, bool progress, TimePoint now);

  // Forgets a holder.
  void Remove(Holder holder);

  // True if more is held than allowed.
  bool IsOver() const { return total_ > limit_; }

  // True if `bytes` more may be held.
  bool HasRoomFor(std::size_t bytes) const { return total_ + bytes <= limit_; }

  // Returns the holders to be closed, the first one first, so that a tenth of the limit becomes
  // free, or `needed` bytes if that is more. Holders that are being served are not among them.
  std::vector<Holder> Victims(TimePoint now, std::size_t needed = 0) const;

  std::size_t total() const { return total_; }
  std::size_t limit() const { return limit_; }

 private:
  struct Entry {
    std::size_t bytes = 0;
    HolderState state = HolderState::kReceiving;
    TimePoint progress_at{};
  };

  std::unordered_map<Holder, Entry> entries_;
  std::size_t total_ = 0;
  std::size_t limit_ = std::numeric_limits<std::size_t>::max() / 2;
};

}  // namespace chiverail

#endif  // CHIVERAIL_CALLER_LIMITS_HELD_BYTES_H_
