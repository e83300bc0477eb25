#ifndef CHIVERAIL_STANDINS_ENGINE_H_
#define CHIVERAIL_STANDINS_ENGINE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace chiverail {

using SteadyTime = std::chrono::steady_clock::time_point;

// Speed, cache size and report delays of the simulated engine.
struct EngineParameters {
  std::chrono::milliseconds prefill_per_1000_tokens{100};  // prompt tokens that are not cached
  std::chrono::milliseconds token_gap{5};
  std::size_t cached_chats = 400;
  std::chrono::milliseconds load_lag{500};
  std::chrono::milliseconds cache_event_lag{1000};
  double cache_event_loss = 0.1;  // share of cache events that are not published
  int cold_completions = 8;       // completed generations after which the engine is warm
};

// Identifies a generation: request id and attempt.
using GenerationKey = std::pair<std::string, std::uint32_t>;

// The turn of a chat that a generation answers.
struct ChatTurn {
  std::string chat;
  std::uint32_t turn = 0;
  std::uint32_t prompt_tokens = 0;
};

// One generation. Its tokens become available at fixed times after the start.
struct Generation {
  GenerationKey key;
  ChatTurn turn;
  std::uint32_t tokens = 0;
  std::uint32_t cached_tokens = 0;
  SteadyTime first_token;
  bool cancelled = false;
};

// State of the engine stand-in: generations, prompt cache, and delayed load samples and cache
// events.
class Engine {
 public:
  Engine(EngineParameters parameters, std::string start_id, bool cold);

  // Starts a generation, or returns the existing one of this request and attempt.
  Generation& Start(const GenerationKey& key,
                    const ChatTurn& turn,
                    std::uint32_t max_tokens,
                    SteadyTime now);

  // Returns a generation, or null.
  Generation* Find(const GenerationKey& key);

  // Number of tokens of a generation that are available now.
  std::uint32_t Available(const Generation& generation, SteadyTime now) const;

  // Time at which the token at `offset` becomes available.
  SteadyTime TokenTime(const Generation& generation, std::uint32_t offset) const;

  // Records the end of a generation. Must be called once per generation.
  void Finish(const Generation& generation, SteadyTime now);

  void SetCold(bool cold);
  bool cold() const { return cold_; }

  // Returns the load report as JSON. The reported sample is at least the load lag old, if there is
  // such a sample.
  std::string LoadReport(SteadyTime now);

  // Returns the cache events after `sequence` that are at least the cache event lag old, as JSON.
  std::string CacheEvents(std::uint64_t sequence, SteadyTime now) const;

  // Maximum number of requests that have run at the same time.
  int peak() const { return peak_; }
  int running() const { return running_; }

 private:
  struct LoadSample {
    SteadyTime time;
    int running;
  };
  struct CacheEvent {
    std::uint64_t sequence;
    SteadyTime time;
    std::string chat;
    std::uint32_t turn;
    bool evicted;
  };

  // A cached prefix: the last turn and the number of tokens that it covers.
  struct CachedChat {
    std::string chat;
    std::uint32_t turn;
    std::uint32_t tokens;
  };

  std::uint32_t TakeCached(const ChatTurn& turn);
  void Store(const CachedChat& cached, SteadyTime now);
  void RecordEvent(const CachedChat& cached, bool evicted, SteadyTime now);
  void Sample(SteadyTime now);

  EngineParameters parameters_;
  std::string start_id_;
  bool cold_;
  int completions_ = 0;
  int running_ = 0;
  int peak_ = 0;
  std::map<GenerationKey, Generation> generations_;
  std::deque<GenerationKey> generation_order_;
  std::list<CachedChat> cache_;  // most recently used first
  std::unordered_map<std::string, std::list<CachedChat>::iterator> cache_index_;
  std::deque<LoadSample> samples_;
  std::deque<CacheEvent> events_;
  std::uint64_t last_event_ = 0;
  std::mt19937_64 random_{7};
};

}  // namespace chiverail

#endif  // CHIVERAIL_STANDINS_ENGINE_H_
