#ifndef CHIVERAIL_PART_HOLDERS_H_
#define CHIVERAIL_PART_HOLDERS_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "types.h"

namespace chiverail {

// A prompt part was sent to an engine, which so has read it.
struct PartRead {
  std::uint32_t part = 0;      // short form of the part's identity
  std::uint32_t upstream = 0;  // tag of the engine
};

// Remembers which engines have read a shared prompt part lately. Instances tell each other of their
// sends, so that a part stays where it was read when engines join or the load has pushed it away
// from its first place.
class PartHolders {
 public:
  // A part that wasn't used at an engine for this long is taken for evicted.
  static constexpr Duration kHoldTime = seconds(40);

  // Notes a send of this instance.
  void OnSent(std::uint64_t affinity, std::uint32_t upstream, TimePoint now);

  // Notes a send of another instance.
  void OnHeard(const PartRead& read, TimePoint now);

  // Tags of the engines that hold a part, most recently used first.
  std::vector<std::uint32_t> Holders(std::uint64_t affinity, TimePoint now) const;

  // Sends of this instance since the last call, each part and engine once.
  std::vector<PartRead> TakeNews();

  // Forgets an engine: it restarted or is gone.
  void Forget(std::uint32_t upstream);

  // Forgets parts that have not been used.
  void Expire(TimePoint now);

  std::size_t size() const { return parts_.size(); }

 private:
  struct Holder {
    std::uint32_t upstream = 0;
    TimePoint used{};
  };

  static std::uint32_t Short(std::uint64_t affinity);
  void Note(const PartRead& read, TimePoint now);

  std::unordered_map<std::uint32_t, std::vector<Holder>> parts_;
  std::vector<PartRead> news_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_PART_HOLDERS_H_
