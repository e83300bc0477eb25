#ifndef CHIVERAIL_TESTS_FAKE_ENGINE_H_
#define CHIVERAIL_TESTS_FAKE_ENGINE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "engine_slots.h"
#include "types.h"

namespace chiverail {

// Properties of a fake model engine.
struct FakeEngineOptions {
  std::uint32_t cold_limit = 1;              // declared limit of a cold engine; not simulated
  Duration cold_time = seconds(20);          // from a start until the engine is warm
  Duration report_lag = milliseconds(1000);  // age of the samples in load reports
  std::uint64_t cache_tokens = 200'000;      // prompt tokens that the cache holds
  double prefill_tokens_per_s = 20'000;      // of uncached prompt tokens
  Duration token_time = milliseconds(20);    // between tokens, with up to `full_speed` requests
  std::uint32_t full_speed = 24;             // with more requests, tokens slow down in proportion
  double cold_slowdown = 10;                 // factor for the time to first token when cold
};

// Times of one request at a fake engine, known at its start.
struct FakeRun {
  std::uint64_t cached_tokens = 0;
  TimePoint first_token{};
  TimePoint end{};
};

// A change in the prompt cache; zero tokens mean that the chat was evicted.
struct FakeCacheEvent {
  std::uint64_t sequence = 0;
  ChatId chat;
  std::uint64_t tokens = 0;
};

// Simulates a model engine in virtual time: continuous batching, a prompt cache of limited size by
// chat (least recently used chats are evicted first), cold start, and load reports that lag. The
// caller schedules Finish at the end time that Start returns.
class FakeEngine {
 public:
  explicit FakeEngine(FakeEngineOptions options = {}) : options_(options) { Record({}); }

  // Starts a request whose prompt is `prompt_tokens` long, including the chat's earlier turns.
  FakeRun Start(const SlotKey& key,
                const ChatId& chat,
                std::uint64_t prompt_tokens,
                std::uint64_t output_tokens,
                TimePoint now) {
    FakeRun run;
    const auto cached = cache_.find(chat);
    run.cached_tokens =
        cached == cache_.end() ? 0 : std::min(prompt_tokens, cached->second->second);
    running_[{key.request, key.attempt}] = now;
    Record(now);
    const double batch = std::max(1.0, static_cast<double>(Running()) / options_.full_speed);
    const double cold = IsCold(now) ? options_.cold_slowdown : 1.0;
    const double prefill_s = static_cast<double>(prompt_tokens - run.cached_tokens) /
                             options_.prefill_tokens_per_s * batch * cold;
    run.first_token = now + FromSeconds(prefill_s) + FromSeconds(0.05 * cold);
    const double token_s = std::chrono::duration<double>(options_.token_time).count() * batch;
    run.end = run.first_token + FromSeconds(token_s * static_cast<double>(output_tokens));
    AddToCache(chat, prompt_tokens + output_tokens);
    return run;
  }

  // Ends a request, complete or cancelled; returns false when it is not running.
  bool Finish(const SlotKey& key, TimePoint now) {
    const bool ran = running_.erase({key.request, key.attempt}) > 0;
    Record(now);
    return ran;
  }

  // Restarts the engine: aborts its requests, empties its cache and makes it cold.
  void Restart(TimePoint now) {
    running_.clear();
    cache_.clear();
    recent_.clear();
    cached_tokens_ = 0;
    ++start_count_;
    TurnCold(now);
  }

  // Makes the engine cold without a restart.
  void TurnCold(TimePoint now) {
    cold_since_ = now;
    cold_until_ = now + options_.cold_time;
    Record(now);
  }

  bool IsCold(TimePoint now) const { return now < cold_until_; }
  TimePoint ColdSince() const { return cold_since_; }
  std::uint32_t Running() const { return static_cast<std::uint32_t>(running_.size()); }

  // Returns the load report that a poll receives now.
  LoadReport Report(TimePoint now) const {
    const TimePoint sampled = now - options_.report_lag;
    auto sample = samples_.rbegin();
    while (std::next(sample) != samples_.rend() && sample->time > sampled) {
      ++sample;
    }
    return {sample->start_id, sample->running, sampled < sample->cold_until, sampled};
  }

  // Returns the cache events after a sequence number. Only the last kEventsKept events are kept.
  std::vector<FakeCacheEvent> CacheEventsAfter(std::uint64_t sequence) const {
    std::vector<FakeCacheEvent> events;
    for (const FakeCacheEvent& event : events_) {
      if (event.sequence > sequence) {
        events.push_back(event);
      }
    }
    return events;
  }

 private:
  struct Sample {
    TimePoint time;
    std::string start_id;
    std::uint32_t running;
    TimePoint cold_until;
  };
  using RecentChats = std::list<std::pair<ChatId, std::uint64_t>>;
  static constexpr std::size_t kEventsKept = 1024;

  static Duration FromSeconds(double value) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
  }

  void Record(TimePoint now) {
    while (samples_.size() > 1 && samples_[1].time <= now - options_.report_lag) {
      samples_.pop_front();
    }
    samples_.push_back({now, "start" + std::to_string(start_count_), Running(), cold_until_});
  }

  void AddToCache(const ChatId& chat, std::uint64_t tokens) {
    const auto cached = cache_.find(chat);
    if (cached != cache_.end()) {
      cached_tokens_ -= cached->second->second;
      recent_.erase(cached->second);
    }
    recent_.push_front({chat, tokens});
    cache_[chat] = recent_.begin();
    cached_tokens_ += tokens;
    AddEvent(chat, tokens);
    while (cached_tokens_ > options_.cache_tokens && !recent_.empty()) {
      cached_tokens_ -= recent_.back().second;
      AddEvent(recent_.back().first, 0);
      cache_.erase(recent_.back().first);
      recent_.pop_back();
    }
  }

  void AddEvent(const ChatId& chat, std::uint64_t tokens) {
    events_.push_back({++event_sequence_, chat, tokens});
    if (events_.size() > kEventsKept) {
      events_.pop_front();
    }
  }

  FakeEngineOptions options_;
  std::map<std::pair<RequestId, std::uint32_t>, TimePoint> running_;
  RecentChats recent_;
  std::unordered_map<ChatId, RecentChats::iterator> cache_;
  std::uint64_t cached_tokens_ = 0;
  std::deque<FakeCacheEvent> events_;
  std::uint64_t event_sequence_ = 0;
  std::deque<Sample> samples_;
  int start_count_ = 1;
  TimePoint cold_since_ = TimePoint::min();
  TimePoint cold_until_ = TimePoint::min();
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_FAKE_ENGINE_H_
