#ifndef CHIVERAIL_BENCH_SIM_ENGINE_H_
#define CHIVERAIL_BENCH_SIM_ENGINE_H_

#include <algorithm>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

#include "types.h"

namespace chiverail::bench {

// Parameters of a simulated engine.
struct SimEngineSettings {
  std::uint64_t cache_tokens = 1'400'000;  // 400 chats of 3,500 tokens
  double prefill_tokens_per_s = 40'000;
  Duration overhead = milliseconds(30);
  Duration token_gap = milliseconds(15);                            // with an empty batch
  Duration token_gap_per_request = std::chrono::microseconds(350);  // for each request in the batch
  int cold_completions = 20;  // completed requests after which a started engine is warm
  double cold_slowdown = 2.0;
  int cold_limit = 6;  // a cold engine with more requests is slower by another factor of two
};

// Timing of one request at a simulated engine.
struct SimService {
  std::uint32_t cached_tokens = 0;
  TimePoint first_token;
  TimePoint end;
};

// Load sample that an engine reports.
struct SimLoadSample {
  std::uint64_t start_id = 0;
  std::uint32_t running = 0;
  bool cold = false;
  TimePoint sampled_at;
};

// One change of an engine's prompt cache.
struct SimCacheEvent {
  std::uint64_t chat = 0;
  std::uint32_t turn = 0;
  bool stored = false;
};

// Simulates a model engine in virtual time: continuous batching (the token gap grows with the batch
// size), one prefill at a time, an LRU cache of chat prefixes that is limited in tokens, and a
// lower speed until the engine is warm.
class SimEngine {
 public:
  explicit SimEngine(const SimEngineSettings& settings = {}) : settings_(settings) {}

  // Starts a request and returns the times of its first token and its end.
  SimService Start(std::uint64_t chat,
                   std::uint32_t prompt_tokens,
                   std::uint32_t output_tokens,
                   TimePoint now) {
    SimService service;
    ++running_;
    const auto found = cached_.find(chat);
    if (found != cached_.end()) {
      service.cached_tokens = std::min(found->second->tokens, prompt_tokens);
      lru_.splice(lru_.begin(), lru_, found->second);
    }
    const double slowdown = Slowdown();
    const double prefill_s =
        slowdown * (prompt_tokens - service.cached_tokens) / settings_.prefill_tokens_per_s;
    prefill_free_ = std::max(prefill_free_, now) + Scale(seconds(1), prefill_s);
    service.first_token = prefill_free_ + Scale(settings_.overhead, slowdown);
    const Duration gap = settings_.token_gap + settings_.token_gap_per_request * running_;
    service.end = service.first_token + Scale(gap, slowdown * output_tokens);
    return service;
  }

  // Completes a request and caches its prompt and answer.
  void Finish(std::uint64_t chat, std::uint32_t turn, std::uint32_t history_tokens) {
    --running_;
    ++completed_;
    Store(chat, turn, history_tokens);
  }

  // Ends a request without caching anything.
  void Abandon() { --running_; }

  // Simulates a restart of the process: new start id, empty cache, cold.
  void Restart() {
    ++start_id_;
    completed_ = 0;
    cached_tokens_ = 0;
    cached_.clear();
    lru_.clear();
    events_.clear();
  }

  // Makes the engine warm, for engines that are already running when the simulation starts.
  void SkipColdStart() { completed_ = settings_.cold_completions; }

  std::uint32_t running() const { return running_; }
  bool cold() const { return completed_ < settings_.cold_completions; }
  SimLoadSample Sample(TimePoint now) const { return {start_id_, running_, cold(), now}; }

  // Number of cached tokens of the chat; 0 if it is not cached.
  std::uint32_t CachedTokens(std::uint64_t chat) const {
    const auto found = cached_.find(chat);
    return found == cached_.end() ? 0 : found->second->tokens;
  }

  // Returns the cache events since the last call.
  std::vector<SimCacheEvent> TakeEvents() { return std::exchange(events_, {}); }

 private:
  struct Prefix {
    std::uint64_t chat;
    std::uint32_t turn;
    std::uint32_t tokens;
  };

  static Duration Scale(Duration duration, double factor) {
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
  }

  double Slowdown() const {
    if (!cold()) {
      return 1.0;
    }
    const bool over_limit = running_ > static_cast<std::uint32_t>(settings_.cold_limit);
    return settings_.cold_slowdown * (over_limit ? 2.0 : 1.0);
  }

  void Store(std::uint64_t chat, std::uint32_t turn, std::uint32_t tokens) {
    const auto found = cached_.find(chat);
    if (found != cached_.end()) {
      cached_tokens_ -= found->second->tokens;
      lru_.erase(found->second);
    }
    lru_.push_front({chat, turn, tokens});
    cached_[chat] = lru_.begin();
    cached_tokens_ += tokens;
    events_.push_back({chat, turn, true});
    while (cached_tokens_ > settings_.cache_tokens) {
      const Prefix& last = lru_.back();
      cached_tokens_ -= last.tokens;
      events_.push_back({last.chat, last.turn, false});
      cached_.erase(last.chat);
      lru_.pop_back();
    }
  }

  SimEngineSettings settings_;
  std::list<Prefix> lru_;  // most recently used first
  std::unordered_map<std::uint64_t, std::list<Prefix>::iterator> cached_;
  std::uint64_t cached_tokens_ = 0;
  std::vector<SimCacheEvent> events_;
  TimePoint prefill_free_;
  std::uint64_t start_id_ = 1;
  std::uint32_t running_ = 0;
  int completed_ = 0;
};

}  // namespace chiverail::bench

#endif  // CHIVERAIL_BENCH_SIM_ENGINE_H_
