#ifndef CHIVERAIL_BENCH_TRACE_H_
#define CHIVERAIL_BENCH_TRACE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "scenario.h"
#include "types.h"

namespace chiverail::bench {

// One turn of a chat, as sent by a caller.
struct TraceTurn {
  TimePoint time;
  ChatId chat;
  std::uint64_t chat_hash = 0;
  std::uint32_t workspace = 0;
  std::uint32_t turn = 1;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  bool surge = false;  // one of the additional turns of the surge
};

// The workspace with the additional requests in the scenario `workspace_surge`.
inline constexpr std::uint32_t kSurgingWorkspace = 4;

// Generates the turns of a run in order of time. Chats have skewed rates, and a few turns come from
// chats that were inactive for hours. The result depends only on the site, the scenario and the
// seed, so that all policies receive the same turns.
std::vector<TraceTurn> BuildTrace(const Plan& plan, std::uint64_t seed);

}  // namespace chiverail::bench

#endif  // CHIVERAIL_BENCH_TRACE_H_
