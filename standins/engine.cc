#include "engine.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace chiverail {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxGenerations = 20'000;
constexpr std::size_t kMaxEvents = 10'000;
constexpr int kColdSlowdown = 3;  // factor on the prefill time of a cold engine

}  // namespace

Engine::Engine(EngineParameters parameters, std::string start_id, bool cold)
    : parameters_(parameters), start_id_(std::move(start_id)), cold_(cold) {}

Generation& Engine::Start(const GenerationKey& key,
                          const ChatTurn& turn,
                          std::uint32_t max_tokens,
                          SteadyTime now) {
  if (Generation* existing = Find(key)) {
    return *existing;
  }
  Generation generation;
  generation.key = key;
  generation.turn = turn;
  generation.tokens = max_tokens;
  generation.cached_tokens = TakeCached(turn);
  const auto prefill =
      parameters_.prefill_per_1000_tokens * (turn.prompt_tokens - generation.cached_tokens) / 1000;
  generation.first_token = now + parameters_.token_gap + prefill * (cold_ ? kColdSlowdown : 1);
  ++running_;
  peak_ = std::max(peak_, running_);
  Sample(now);
  generation_order_.push_back(key);
  if (generation_order_.size() > kMaxGenerations) {
    generations_.erase(generation_order_.front());
    generation_order_.pop_front();
  }
  return generations_[key] = generation;
}

Generation* Engine::Find(const GenerationKey& key) {
  const auto found = generations_.find(key);
  return found == generations_.end() ? nullptr : &found->second;
}

std::uint32_t Engine::Available(const Generation& generation, SteadyTime now) const {
  if (now < generation.first_token) {
    return 0;
  }
  const auto elapsed_gaps = (now - generation.first_token) / parameters_.token_gap;
  return static_cast<std::uint32_t>(std::min<std::int64_t>(generation.tokens, elapsed_gaps + 1));
}

SteadyTime Engine::TokenTime(const Generation& generation, std::uint32_t offset) const {
  return generation.first_token + parameters_.token_gap * offset;
}

void Engine::Finish(const Generation& generation, SteadyTime now) {
  --running_;
  Sample(now);
  if (++completions_ >= parameters_.cold_completions) {
    cold_ = false;
  }
  const ChatTurn& turn = generation.turn;
  Store({turn.chat, turn.turn, turn.prompt_tokens + generation.tokens}, now);
}

void Engine::SetCold(bool cold) {
  cold_ = cold;
  completions_ = 0;
}

std::string Engine::LoadReport(SteadyTime now) {
  Sample(now);
  LoadSample reported = samples_.front();
  for (const LoadSample& sample : samples_) {
    if (sample.time <= now - parameters_.load_lag) {
      reported = sample;
    }
  }
  // The reported count was still current one load lag ago, so the lag is its age. A sample that is
  // younger than the lag is reported with its own age.
  const auto age = std::min(now - reported.time, SteadyTime::duration(parameters_.load_lag));
  const auto age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return json{{"start_id", start_id_},
              {"running", reported.running},
              {"cold", cold_},
              {"sampled_ms_ago", age_ms}}
      .dump();
}

std::string Engine::CacheEvents(std::uint64_t sequence, SteadyTime now) const {
  json events = json::array();
  for (const CacheEvent& event : events_) {
    if (event.sequence > sequence && event.time <= now - parameters_.cache_event_lag) {
      events.push_back({{"sequence", event.sequence},
                        {"chat", event.chat},
                        {"turn", event.turn},
                        {"evicted", event.evicted}});
    }
  }
  return json{{"start_id", start_id_}, {"events", events}}.dump();
}

std::uint32_t Engine::TakeCached(const ChatTurn& turn) {
  const auto found = cache_index_.find(turn.chat);
  if (found == cache_index_.end()) {
    return 0;
  }
  cache_.splice(cache_.begin(), cache_, found->second);
  return std::min(turn.prompt_tokens, found->second->tokens);
}

void Engine::Store(const CachedChat& cached, SteadyTime now) {
  const auto found = cache_index_.find(cached.chat);
  if (found != cache_index_.end()) {
    cache_.erase(found->second);
  }
  cache_.push_front(cached);
  cache_index_[cached.chat] = cache_.begin();
  RecordEvent(cached, false, now);
  if (cache_.size() > parameters_.cached_chats) {
    RecordEvent(cache_.back(), true, now);
    cache_index_.erase(cache_.back().chat);
    cache_.pop_back();
  }
}

// Assigns a sequence number to every event but publishes only some of them, so that readers have to
// handle gaps.
void Engine::RecordEvent(const CachedChat& cached, bool evicted, SteadyTime now) {
  ++last_event_;
  if (std::uniform_real_distribution<double>(0, 1)(random_) < parameters_.cache_event_loss) {
    return;
  }
  events_.push_back({last_event_, now, cached.chat, cached.turn, evicted});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

void Engine::Sample(SteadyTime now) {
  samples_.push_back({now, running_});
  while (samples_.size() > 2 && samples_[1].time <= now - parameters_.load_lag) {
    samples_.pop_front();
  }
}

}  // namespace chiverail
