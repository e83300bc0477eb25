#ifndef CHIVERAIL_PLACEMENT_H_
#define CHIVERAIL_PLACEMENT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "fleet_view.h"
#include "types.h"

namespace chiverail {

// One turn of a chat, to be routed to an engine.
struct ChatRequest {
  RequestId request;
  WorkspaceId workspace;
  ModelId model;
  std::string adapter;  // empty for the base model
  ChatId chat;
  std::uint32_t turn = 1;           // 1 for the first turn of a chat
  std::uint32_t prompt_tokens = 0;  // the whole history so far
  std::uint32_t max_tokens = 0;
  RequestClass request_class = RequestClass::kInteractive;
  TimePoint deadline;
  RegionId region;  // region of the caller; empty for any
};

// One engine that may serve a request.
struct Candidate {
  std::uint32_t engine = 0;       // position in FleetView::engines()
  std::uint32_t cached_turn = 0;  // last turn of the chat expected in its cache; 0 for none
  milliseconds max_slot_wait{0};  // time to wait for a slot here before trying the next candidate
};

// Candidates in the order in which they are tried. The capacity is fixed, so that a routing
// decision allocates nothing that grows with the fleet.
class CandidateList {
 public:
  // The cache holders and the head of the rendezvous order. A request tries at most 2 remote owners
  // before it is enqueued, so later candidates are never reached.
  static constexpr std::size_t kCapacity = 10;

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  const Candidate& operator[](std::size_t i) const { return items_[i]; }
  const Candidate* begin() const { return items_.data(); }
  const Candidate* end() const { return items_.data() + size_; }

  // Appends a candidate unless the list is full or already contains its engine.
  void Append(const Candidate& candidate);

 private:
  std::array<Candidate, kCapacity> items_;
  std::size_t size_ = 0;
};

// Orders the engines that can serve a model and adapter in a region by weighted rendezvous hashing
// on the chat id. The first one is the chat's home engine; the list holds the first 6.
CandidateList RendezvousOrder(const FleetView& view,
                              const ModelId& model,
                              const std::string& adapter,
                              const RegionId& region,
                              const ChatId& chat);

// What happened to a chat's prefix in an engine's prompt cache.
enum class CacheEventKind : std::uint8_t { kStored, kEvicted };
inline constexpr std::array<EnumName<CacheEventKind>, 2> kCacheEventKindNames{{
    {CacheEventKind::kStored, "stored"},
    {CacheEventKind::kEvicted, "evicted"},
}};

// One entry of an engine's cache event stream. The reader of the stream must drop events from
// before the engine's last restart.
struct CacheEvent {
  UpstreamId engine;
  ChatId chat;
  CacheEventKind kind = CacheEventKind::kStored;
  std::uint32_t turn = 0;  // last turn that the prefix covers
};

// Orders the candidate engines of a request: first the engines expected to have the chat cached
// (its cache holders), then the rendezvous order. Cache holders are recorded in a table whose size
// is fixed at construction.
class Placement {
 public:
  // At full size, an instance has 2.7 million / 390 = 7,000 chats on average; the remaining
  // capacity allows for an uneven distribution.
  static constexpr std::size_t kDefaultChatCapacity = 32768;
  static constexpr std::size_t kHoldersPerChat = 4;

  // Records at most about `chat_capacity` chats (rounded up to a power of two, at least 8).
  explicit Placement(std::size_t chat_capacity = kDefaultChatCapacity);

  // Returns the candidates for a request, best first; empty when no engine can serve it.
  CandidateList Rank(const FleetView& view, const ChatRequest& request, TimePoint now);

  // Records that `engine` has served `turn` of the chat and has its history cached up to that turn.
  void OnServed(const ChatId& chat, const UpstreamId& engine, std::uint32_t turn, TimePoint now);

  // Handles an event of an engine's cache event stream. Events are only hints, since they are late
  // and some are missing: an eviction removes only a copy that is no newer than the event, and a
  // missed event costs at most one cache miss.
  void OnCacheEvent(const CacheEvent& event);

  // Removes the engine as cache holder of all chats: a restarted engine has an empty cache.
  void OnEngineRestarted(const UpstreamId& engine);

  // Number of chats in the table, counted by a scan of the table.
  std::size_t ChatCount() const;

  // Memory of the chat table in bytes, fixed at construction.
  std::size_t MemoryBytes() const { return table_.size() * sizeof(Entry); }

 private:
  // A copy of a chat in an engine's cache.
  struct Holder {
    std::uint32_t engine_tag = 0;  // EngineTag of the engine
    std::uint32_t turn = 0;        // last turn that the copy covers; 0 marks an unused element
  };

  // The cache holders of one chat.
  struct Entry {
    std::uint64_t key = 0;  // hash of the chat id; 0 marks an unused entry
    std::uint32_t last_used_s = 0;
    std::uint16_t times_used = 0;
    bool only_on_home_engine = false;  // the only copy is on the first engine in rendezvous order
    std::array<Holder, kHoldersPerChat> holders;
  };

  Entry* Find(std::uint64_t key);
  Entry& FindOrReplace(std::uint64_t key, TimePoint now);
  static void SetHolder(Entry& entry, std::uint32_t engine_tag, std::uint32_t turn);
  static void RemoveHolder(Entry& entry, std::size_t position);
  static std::uint64_t RetentionRank(const Entry& entry);

  std::vector<Entry> table_;  // sets of kEntriesPerSet entries; the hash of a chat selects its set
  std::size_t set_mask_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_PLACEMENT_H_
