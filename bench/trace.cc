#include "trace.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "hash.h"
#include "random.h"

namespace chiverail::bench {
namespace {

// Minimum time between two turns of a chat, in which the user reads the answer and types.
constexpr double kMinTurnGapSeconds = 20.0;
constexpr double kMaxChatRatePerSecond = 1.0 / 30.0;
// Exponent and offset of the chat rates; about the first 3% of the chats have the maximum rate.
constexpr double kSkewExponent = 0.8;
constexpr double kSkewOffset = 10.0;
// A chat with a longer history is continued as a new chat.
constexpr std::uint32_t kMaxHistoryTokens = 12'000;
// Share of turns from chats that were inactive for hours and are in no cache.
constexpr double kInactiveChatShare = 0.02;
// Surge: ratio of the rate of the additional turns to the rate of the whole site, start and end.
constexpr double kSurgeFactor = 2.5;
constexpr double kSurgeFromSeconds = 300.0;
constexpr double kSurgeToSeconds = 360.0;

constexpr std::array<double, 10> kWorkspaceShares{0.30, 0.20, 0.15, 0.08, 0.07,
                                                  0.05, 0.05, 0.04, 0.03, 0.03};

TimePoint AtSeconds(double second) {
  return TimePoint(Duration(static_cast<Duration::rep>(second * 1e9)));
}

std::uint32_t PickWorkspace(Random& random) {
  double remaining = random.Unit();
  for (std::uint32_t i = 0; i < kWorkspaceShares.size(); ++i) {
    remaining -= kWorkspaceShares[i];
    if (remaining < 0) {
      return i;
    }
  }
  return 0;
}

// Rates in 1/s that follow a power law, capped at the maximum rate of a human user. The scale is
// raised iteratively until the sum equals `total`, because the cap lowers the sum.
std::vector<double> ChatRates(int chats, double total) {
  std::vector<double> rates(chats);
  double scale = 1.0;
  for (int round = 0; round < 40; ++round) {
    double sum = 0;
    for (int i = 0; i < chats; ++i) {
      const double raw = scale * std::pow(i + kSkewOffset, -kSkewExponent);
      rates[i] = std::min(kMaxChatRatePerSecond, raw);
      sum += rates[i];
    }
    scale *= total / sum;
  }
  return rates;
}

// Generates the turns of one chat. The prompt of each turn contains the whole history.
class ChatGenerator {
 public:
  ChatGenerator(ChatId name, std::uint32_t workspace, bool surge, Random& random)
      : name_(std::move(name)), workspace_(workspace), surge_(surge), random_(random) {
    turn_ = 1 + random_.Below(12);
    history_ = 300 + random_.Below(500 * turn_);
  }

  void AddTurn(double second, std::vector<TraceTurn>& turns) {
    TraceTurn turn;
    turn.time = AtSeconds(second);
    turn.chat = name_ + "." + std::to_string(continuation_);
    turn.chat_hash = HashText(turn.chat);
    turn.workspace = workspace_;
    turn.surge = surge_;
    turn.turn = turn_++;
    turn.prompt_tokens = history_ + 40 + random_.Below(160);
    turn.output_tokens = 120 + random_.Below(360);
    history_ = turn.prompt_tokens + turn.output_tokens;
    if (history_ > kMaxHistoryTokens) {
      ++continuation_;
      turn_ = 1;
      history_ = 300;
    }
    turns.push_back(std::move(turn));
  }

 private:
  ChatId name_;
  std::uint32_t workspace_;
  bool surge_;
  Random& random_;
  std::uint32_t turn_ = 1;
  std::uint32_t history_ = 0;
  int continuation_ = 0;
};

void AddSurgeTurns(const Plan& plan, Random& random, std::vector<TraceTurn>& turns) {
  const double rate = kSurgeFactor * plan.size.requests_per_s;
  double second = kSurgeFromSeconds;
  for (int number = 0;; ++number) {
    second += random.Exponential(1.0 / rate);
    if (second > kSurgeToSeconds) {
      return;
    }
    ChatGenerator("surge-" + std::to_string(number), kSurgingWorkspace, true, random)
        .AddTurn(second, turns);
  }
}

}  // namespace

std::vector<TraceTurn> BuildTrace(const Plan& plan, std::uint64_t seed) {
  Random random(CombineHashes(HashText(plan.initial.manifest->site), seed));
  const double end = std::chrono::duration<double>(kMeasureTo.time_since_epoch()).count();
  const double total = plan.size.requests_per_s;
  std::vector<TraceTurn> turns;
  const std::vector<double> rates = ChatRates(plan.size.chats, total * (1.0 - kInactiveChatShare));
  for (int i = 0; i < plan.size.chats; ++i) {
    ChatGenerator chat("chat-" + std::to_string(i), PickWorkspace(random), false, random);
    const double mean_gap = 1.0 / rates[i];
    for (double second = random.Uniform(0, mean_gap); second < end;
         second += kMinTurnGapSeconds + random.Exponential(mean_gap - kMinTurnGapSeconds)) {
      chat.AddTurn(second, turns);
    }
  }
  double second = 0;
  for (int number = 0; second < end; ++number) {
    ChatGenerator("away-" + std::to_string(number), PickWorkspace(random), false, random)
        .AddTurn(second, turns);
    second += random.Exponential(1.0 / (total * kInactiveChatShare));
  }
  if (plan.scenario == Scenario::kWorkspaceSurge) {
    AddSurgeTurns(plan, random, turns);
  }
  std::stable_sort(turns.begin(), turns.end(),
                   [](const TraceTurn& a, const TraceTurn& b) { return a.time < b.time; });
  return turns;
}

}  // namespace chiverail::bench
