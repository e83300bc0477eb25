#include "quarantine_codec.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "message_json.h"

namespace chiverail {

using nlohmann::json;

namespace {

constexpr Duration kMaxHoldAge = std::chrono::hours(1);

CrashReport CrashFrom(const json& list) {
  CrashReport crash;
  crash.reporter = TagFrom(list.at(0));
  crash.sequence = list.at(1).get<std::uint64_t>();
  crash.upstream = TagFrom(list.at(2));
  crash.age = AgeFrom(list.at(3));
  crash.segments = list.at(4).get<std::vector<SegmentHash>>();
  if (crash.segments.size() > PromptQuarantine::kMaxSegmentsPerReport) {
    throw MalformedMessage("too many segments");
  }
  return crash;
}

}  // namespace

json Encode(const QuarantineNews& news) {
  json crashes = json::array();
  for (const CrashReport& crash : news.crashes) {
    crashes.push_back({crash.reporter, crash.sequence, crash.upstream, WholeMilliseconds(crash.age),
                       crash.segments});
  }
  json begun = json::array();
  for (const SegmentBegun& segment : news.begun) {
    begun.push_back(segment.segment);
    begun.push_back(WholeMilliseconds(segment.age));
  }
  json holds = json::array();
  for (const SegmentHold& hold : news.holds) {
    holds.push_back(hold.segment);
    holds.push_back(WholeMilliseconds(hold.age));
    holds.push_back(hold.strikes);
  }
  return json::array({std::move(crashes), std::move(begun), std::move(holds)});
}

QuarantineNews QuarantineFrom(const json& list) {
  QuarantineNews news;
  for (const json& crash : list.at(0)) {
    news.crashes.push_back(CrashFrom(crash));
  }
  const json& begun = Records(list.at(1), 2);
  for (std::size_t i = 0; i < begun.size(); i += 2) {
    news.begun.push_back({begun[i].get<SegmentHash>(), AgeFrom(begun[i + 1])});
  }
  const json& holds = Records(list.at(2), 3);
  for (std::size_t i = 0; i < holds.size(); i += 3) {
    news.holds.push_back(
        {holds[i].get<SegmentHash>(), AgeFrom(holds[i + 1], kMaxHoldAge), CountFrom(holds[i + 2])});
  }
  return news;
}

}  // namespace chiverail
