#include "slopes.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <vector>

#include "digest_hub.h"
#include "fleet_view.h"
#include "locate.h"
#include "placement.h"
#include "scenario.h"
#include "wire_size.h"

namespace chiverail::bench {
namespace {

constexpr int kDecisions = 200'000;
constexpr int kChats = 7000;  // chats per instance at full size

template <typename... Args>
std::string Print(const char* format, Args... args) {
  std::array<char, 200> buffer{};
  std::snprintf(buffer.data(), buffer.size(), format, args...);
  return buffer.data();
}

FleetState Fleet(int engines, int instances, int workspaces) {
  SiteSize size;
  size.engines = engines;
  size.instances = instances;
  size.workspaces = workspaces;
  return BuildFleet("slopes", size);
}

// Mean time of a call of `decide` in nanoseconds. The argument is the index of the call.
template <typename F>
double TimeCalls(int calls, F decide) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < calls; ++i) {
    decide(i);
  }
  const auto elapsed = std::chrono::steady_clock::now() - start;
  return std::chrono::duration<double, std::nano>(elapsed).count() / calls;
}

std::string MeasureDecisions(int engines) {
  const FleetView view(Fleet(engines, std::max(3, engines / 2), 10));
  Placement placement;
  std::vector<ChatRequest> requests(kChats);
  for (int i = 0; i < kChats; ++i) {
    requests[i].model = "writer";
    requests[i].region = "region";
    requests[i].chat = "chat-" + std::to_string(i);
    requests[i].turn = 2;
    requests[i].prompt_tokens = 3000;
    if (i % 4 != 0) {
      placement.OnServed(requests[i].chat, view.engines()[i % engines].upstream->id, 1, {});
    }
  }
  std::size_t sink = 0;
  const double rank = TimeCalls(kDecisions, [&](int i) {
    sink += placement.Rank(view, requests[i % kChats], TimePoint(seconds(1)))[0].engine;
  });
  LocateQuery query;
  query.model = "writer";
  query.region = "region";
  query.data_centre = "dc00";
  const double locate = TimeCalls(kDecisions / 10, [&](int i) {
    query.chat = requests[i % kChats].chat;
    sink += Locate(view, query).members.size();
  });
  return Print("decision  %4d candidates: Rank %6.2f us, Locate %6.2f us%s\n", engines, rank / 1000,
               locate / 1000, sink == 0 ? "!" : "");
}

// Bytes allocated for a view and its manifest.
double ViewBytes(int engines, int workspaces) {
  const auto before = mallinfo2().uordblks;
  const auto view = std::make_unique<FleetView>(Fleet(engines, 13, workspaces));
  return static_cast<double>(mallinfo2().uordblks - before);
}

std::string MeasureMemory() {
  Placement placement;
  for (int i = 0; i < 3 * static_cast<int>(Placement::kDefaultChatCapacity) / 4; ++i) {
    placement.OnServed("chat-" + std::to_string(i), "engine", 1, {});
  }
  const double per_chat =
      static_cast<double>(placement.MemoryBytes()) / static_cast<double>(placement.ChatCount());
  const double base = ViewBytes(12, 10);
  std::string text =
      Print("memory    per chat %.0f bytes (table of %zu entries, three quarters full)\n", per_chat,
            Placement::kDefaultChatCapacity);
  text += Print("memory    per workspace %.0f bytes (10 to 12,000)\n",
                (ViewBytes(12, 12'000) - base) / 11'990);
  text +=
      Print("memory    per upstream %.0f bytes (12 to 810)\n", (ViewBytes(810, 10) - base) / 798);
  return text;
}

// Messages and bytes of load digests that an instance sends: the mean, and the bytes of the busiest
// instance.
std::string MeasureDigests(int instances) {
  constexpr int kPeriods = 50;
  const FleetView view(Fleet(instances, instances, 10));
  std::map<InstanceId, DigestHub> hubs;
  std::map<InstanceId, std::pair<std::size_t, std::size_t>> sent;
  for (const Member& member : view.members()) {
    hubs.emplace(member.id, DigestHub(member.id, 1));
  }
  TimePoint now{seconds(1)};
  const auto count = [&](const InstanceId& from, const OutgoingDigest& send) {
    ++sent[from].first;
    sent[from].second += WireSize::Encoded(send.batch) + kFramingBytes;
  };
  for (int period = 0; period < kPeriods; ++period) {
    now += hubs.begin()->second.Period(view);
    for (auto& [id, hub] : hubs) {
      for (const OutgoingDigest& report : hub.Tick(view, {{1, 20}}, now)) {
        count(id, report);
        for (const OutgoingDigest& answer : hubs.at(report.to).OnBatch(report.batch, now)) {
          count(report.to, answer);
          hubs.at(id).OnBatch(answer.batch, now);
        }
      }
    }
  }
  const double span =
      std::chrono::duration<double>(hubs.begin()->second.Period(view)).count() * kPeriods;
  std::size_t messages = 0;
  std::size_t bytes = 0;
  std::size_t max_bytes = 0;
  for (const auto& [id, totals] : sent) {
    messages += totals.first;
    bytes += totals.second;
    max_bytes = std::max(max_bytes, totals.second);
  }
  return Print(
      "digests   %4d instances: %.2f messages/s and %.0f bytes/s per instance, busiest %.0f "
      "bytes/s, period %.2f s\n",
      instances, messages / span / instances, bytes / span / instances, max_bytes / span,
      span / kPeriods);
}

}  // namespace

std::string MeasureSlopes() {
  std::string text;
  for (const int engines : {12, 100, 810}) {
    text += MeasureDecisions(engines);
  }
  text += MeasureMemory();
  for (const int instances : {13, 50, 100, 390}) {
    text += MeasureDigests(instances);
  }
  return text + "polls     300 bytes/s per instance at any size (head and members every 2 s)\n";
}

}  // namespace chiverail::bench
