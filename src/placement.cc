#include "placement.h"

#include <algorithm>
#include <limits>

#include "hash.h"

namespace chiverail {
namespace {

// Number of engines of the rendezvous order in a candidate list.
constexpr std::size_t kRendezvousCandidates = 6;

// Entries in which a chat may be stored (associativity of the table). With 8, a table that is three
// quarters full rarely evicts.
constexpr std::size_t kEntriesPerSet = 8;

// Eviction treats a chat as used this much later than it was if it has had more than one turn
// served here: most chats that continue do so within minutes, but a chat that has continued once
// may do so again hours later.
constexpr std::uint64_t kRepeatRetentionSeconds = 3600;

// And this much later when a copy is on an engine other than the home engine, since only then the
// table has information that the hash does not give.
constexpr std::uint64_t kNonHomeRetentionSeconds = 1800;

// A request waits this long for each token that another engine would have to recompute, and at most
// kMaxSlotWait, so that most first tokens arrive within 1.6 s.
constexpr double kSlotWaitMsPerToken = 0.3;
constexpr milliseconds kMaxSlotWait{1000};

std::uint64_t ChatKey(const ChatId& chat) {
  const std::uint64_t key = HashText(chat);
  return key == 0 ? 1 : key;
}

std::uint32_t Seconds(TimePoint now) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<seconds>(now.time_since_epoch()).count());
}

bool HasAdapter(const Upstream& engine, const std::string& adapter) {
  return adapter.empty() || std::find(engine.adapters.begin(), engine.adapters.end(), adapter) !=
                                engine.adapters.end();
}

// The engines with the highest rendezvous scores so far, best first.
class TopScores {
 public:
  // Engines whose score is at most this value are not inserted.
  double Threshold() const { return size_ < kRendezvousCandidates ? 0.0 : scores_[size_ - 1]; }

  void Insert(std::uint32_t engine, double score) {
    size_ = std::min(size_ + 1, kRendezvousCandidates);
    std::size_t rank = size_ - 1;
    for (; rank > 0 && scores_[rank - 1] < score; --rank) {
      scores_[rank] = scores_[rank - 1];
      engines_[rank] = engines_[rank - 1];
    }
    scores_[rank] = score;
    engines_[rank] = engine;
  }

  std::size_t size() const { return size_; }
  std::uint32_t engine(std::size_t rank) const { return engines_[rank]; }

 private:
  std::array<double, kRendezvousCandidates> scores_{};
  std::array<std::uint32_t, kRendezvousCandidates> engines_{};
  std::size_t size_ = 0;
};

// Returns the largest pair hash with which no node of a pool can score above `threshold`:
// -ln(u) >= 1 - u, so a score is at most weight / (1 - u). Comparing hashes with it avoids the
// logarithm for all but a few of 810 candidates, since the bound is tight for u close to 1, where
// the best scores are.
std::uint64_t MaxSkippableHash(double threshold, double max_weight) {
  constexpr double kTwoTo53 = 9007199254740992.0;
  constexpr double kMargin = 1.0 + 1e-9;  // covers rounding
  const double gap = max_weight * (kTwoTo53 + 1.0) * kMargin / threshold;
  return gap >= kTwoTo53 ? 0 : static_cast<std::uint64_t>(kTwoTo53 - gap) << 11;
}

// Finds the engines of a pool with the highest scores in one pass.
TopScores RankPool(const FleetView& view,
                   const RendezvousPool& pool,
                   std::uint64_t key,
                   const std::string& adapter) {
  TopScores top;
  std::uint64_t max_skippable = 0;
  for (const RendezvousNode& node : pool.nodes) {
    if (CombineHashes(key, node.hash) < max_skippable) {
      continue;
    }
    const double score = RendezvousScore(key, node.hash, node.weight);
    if (score > top.Threshold() && HasAdapter(*view.engines()[node.engine].upstream, adapter)) {
      top.Insert(node.engine, score);
      if (top.Threshold() > 0) {
        max_skippable = MaxSkippableHash(top.Threshold(), pool.max_weight);
      }
    }
  }
  return top;
}

// Returns how long to wait for a slot at a cache holder: in proportion to the tokens that the next
// candidate would have to recompute. The number of tokens is estimated from the number of turns,
// since the length of a turn is not known.
milliseconds SlotWait(const Candidate& holder,
                      std::uint32_t next_fresh_turn,
                      std::uint32_t prompt_tokens) {
  const double lost_share =
      static_cast<double>(holder.cached_turn - next_fresh_turn) / holder.cached_turn;
  const auto wait = milliseconds(
      static_cast<milliseconds::rep>(kSlotWaitMsPerToken * lost_share * prompt_tokens));
  return std::min(wait, kMaxSlotWait);
}

}  // namespace

void CandidateList::Append(const Candidate& candidate) {
  const bool already_listed = std::any_of(
      begin(), end(), [&](const Candidate& other) { return other.engine == candidate.engine; });
  if (!already_listed && size_ < kCapacity) {
    items_[size_++] = candidate;
  }
}

CandidateList RendezvousOrder(const FleetView& view,
                              const ModelId& model,
                              const std::string& adapter,
                              const RegionId& region,
                              const ChatId& chat) {
  const TopScores top = RankPool(view, view.Rendezvous(model, region), ChatKey(chat), adapter);
  CandidateList list;
  for (std::size_t rank = 0; rank < top.size(); ++rank) {
    list.Append({top.engine(rank), 0, {}});
  }
  return list;
}

Placement::Placement(std::size_t chat_capacity) {
  std::size_t size = kEntriesPerSet;
  while (size < chat_capacity) {
    size *= 2;
  }
  table_.resize(size);
  set_mask_ = size / kEntriesPerSet - 1;
}

// A cache holder that is not among the candidates (removed, draining, in a data centre that is out
// of service, or in another region) is skipped but kept in the table, since its data centre may
// return to service with its caches intact.
CandidateList Placement::Rank(const FleetView& view, const ChatRequest& request, TimePoint now) {
  const std::uint64_t key = ChatKey(request.chat);
  const RendezvousPool& pool = view.Rendezvous(request.model, request.region);
  const TopScores top = RankPool(view, pool, key, request.adapter);
  std::array<Candidate, kHoldersPerChat> cached;
  std::size_t holder_count = 0;
  Entry* entry = Find(key);
  if (entry != nullptr) {
    entry->last_used_s = Seconds(now);
    for (const Holder& holder : entry->holders) {
      const int engine = holder.turn == 0 ? -1 : pool.FindTag(holder.engine_tag);
      if (engine >= 0 && HasAdapter(*view.engines()[engine].upstream, request.adapter)) {
        cached[holder_count++] = {static_cast<std::uint32_t>(engine), holder.turn, {}};
      }
    }
  }
  std::stable_sort(
      cached.begin(), cached.begin() + holder_count,
      [](const Candidate& a, const Candidate& b) { return a.cached_turn > b.cached_turn; });
  CandidateList list;
  for (std::size_t i = 0; i < holder_count; ++i) {
    cached[i].max_slot_wait = SlotWait(
        cached[i], i + 1 < holder_count ? cached[i + 1].cached_turn : 0, request.prompt_tokens);
    list.Append(cached[i]);
  }
  for (std::size_t rank = 0; rank < top.size(); ++rank) {
    list.Append({top.engine(rank), 0, {}});
  }
  if (entry != nullptr) {
    entry->only_on_home_engine =
        holder_count == 1 && top.size() > 0 && cached[0].engine == top.engine(0);
  }
  return list;
}

void Placement::OnServed(const ChatId& chat,
                         const UpstreamId& engine,
                         std::uint32_t turn,
                         TimePoint now) {
  Entry& entry = FindOrReplace(ChatKey(chat), now);
  if (entry.times_used < std::numeric_limits<std::uint16_t>::max()) {
    ++entry.times_used;
  }
  SetHolder(entry, EngineTag(HashText(engine)), std::max<std::uint32_t>(turn, 1));
}

// A stored copy is recorded only for a chat that is already in the table. This tells an owner that
// one of its chats was served by another engine, while the events of other chats do not fill the
// table.
void Placement::OnCacheEvent(const CacheEvent& event) {
  Entry* entry = Find(ChatKey(event.chat));
  if (entry == nullptr) {
    return;
  }
  const std::uint32_t tag = EngineTag(HashText(event.engine));
  if (event.kind == CacheEventKind::kStored) {
    SetHolder(*entry, tag, std::max<std::uint32_t>(event.turn, 1));
    return;
  }
  for (std::size_t i = 0; i < kHoldersPerChat; ++i) {
    const Holder& holder = entry->holders[i];
    if (holder.turn != 0 && holder.engine_tag == tag && holder.turn <= event.turn) {
      RemoveHolder(*entry, i);
      return;
    }
  }
}

// Scans the whole table: restarts are rare (99 a day in the fleet), so an index by engine would not
// justify its memory.
void Placement::OnEngineRestarted(const UpstreamId& engine) {
  const std::uint32_t tag = EngineTag(HashText(engine));
  for (Entry& entry : table_) {
    for (std::size_t i = 0; i < kHoldersPerChat; ++i) {
      if (entry.holders[i].turn != 0 && entry.holders[i].engine_tag == tag) {
        RemoveHolder(entry, i);
        break;
      }
    }
  }
}

std::size_t Placement::ChatCount() const {
  return std::count_if(table_.begin(), table_.end(),
                       [](const Entry& entry) { return entry.key != 0; });
}

Placement::Entry* Placement::Find(std::uint64_t key) {
  Entry* set = &table_[(key & set_mask_) * kEntriesPerSet];
  for (std::size_t way = 0; way < kEntriesPerSet; ++way) {
    if (set[way].key == key) {
      return &set[way];
    }
  }
  return nullptr;
}

Placement::Entry& Placement::FindOrReplace(std::uint64_t key, TimePoint now) {
  Entry* entry = Find(key);
  if (entry == nullptr) {
    Entry* set = &table_[(key & set_mask_) * kEntriesPerSet];
    entry = std::min_element(set, set + kEntriesPerSet, [](const Entry& a, const Entry& b) {
      return RetentionRank(a) < RetentionRank(b);
    });
    *entry = Entry{};
    entry->key = key;
  }
  entry->last_used_s = Seconds(now);
  return *entry;
}

// Never lowers the turn of a copy, since events may arrive after a later turn was served. When all
// elements are in use, the copy with the lowest turn is replaced.
void Placement::SetHolder(Entry& entry, std::uint32_t engine_tag, std::uint32_t turn) {
  Holder* target = &entry.holders[0];
  for (Holder& holder : entry.holders) {
    if (holder.turn != 0 && holder.engine_tag == engine_tag) {
      holder.turn = std::max(holder.turn, turn);
      return;
    }
    if (holder.turn < target->turn) {
      target = &holder;
    }
  }
  if (turn > target->turn) {
    *target = {engine_tag, turn};
  }
}

// Frees the entry together with its last copy, since it then has no information that the hash does
// not give.
void Placement::RemoveHolder(Entry& entry, std::size_t position) {
  entry.holders[position] = Holder{};
  const bool has_holder = std::any_of(entry.holders.begin(), entry.holders.end(),
                                      [](const Holder& holder) { return holder.turn != 0; });
  if (!has_holder) {
    entry = Entry{};
  }
}

// The entry with the lowest rank is replaced first; unused entries rank lowest.
std::uint64_t Placement::RetentionRank(const Entry& entry) {
  if (entry.key == 0) {
    return 0;
  }
  return 1 + entry.last_used_s + (entry.times_used > 1 ? kRepeatRetentionSeconds : 0) +
         (entry.only_on_home_engine ? 0 : kNonHomeRetentionSeconds);
}

}  // namespace chiverail
