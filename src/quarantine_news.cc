// PromptQuarantine: what instances tell each other.

#include <algorithm>
#include <utility>

#include "prompt_quarantine.h"

namespace chiverail {
namespace {

// Reports, cleared segments and holds in one message at most, so that it fits into a few packets.
constexpr std::size_t kMaxReportsSent = 24;
constexpr std::size_t kMaxBegunSent = 64;
constexpr std::size_t kMaxHoldsSent = 32;

// A report is told to the others for this long, and then again while it is one of several under
// the same segment. One whose segments are all cleared is told for a shorter time.
constexpr Duration kTellNew = seconds(6);
constexpr Duration kTellCleared = seconds(3);

// Answers that are older are told with this age: it only matters that there were some.
constexpr Duration kMaxToldAge = seconds(300);

// A time that came through several instances grows by the delays on its way. Times that differ by
// less are the same.
constexpr Duration kClockError = milliseconds(100);
constexpr Duration kHoldClockError = seconds(2);

}  // namespace

std::vector<const PromptQuarantine::Report*> PromptQuarantine::ReportsToTell(TimePoint now) const {
  std::vector<const Report*> told;
  if (reports_.empty()) {
    return told;
  }
  const SegmentEnds ends = EndsBySegment();
  for (const Report& report : reports_) {
    const bool cleared = report.cleared_at != TimePoint{};
    const bool is_new = now < report.known_at + kTellNew;
    if (cleared ? now < report.cleared_at + kTellCleared : is_new || MostEnds(report, ends) > 1) {
      told.push_back(&report);
    }
  }
  if (told.size() > kMaxReportsSent) {
    std::stable_sort(told.begin(), told.end(), [&](const Report* a, const Report* b) {
      return std::make_pair(MostEnds(*a, ends), a->at) > std::make_pair(MostEnds(*b, ends), b->at);
    });
    told.resize(kMaxReportsSent);
  }
  return told;
}

QuarantineNews PromptQuarantine::News(TimePoint now) const {
  QuarantineNews news;
  std::set<SegmentHash> segments;
  for (const Report* report : ReportsToTell(now)) {
    news.crashes.push_back(
        {report->reporter, report->sequence, report->upstream, now - report->at, report->segments});
    segments.insert(report->segments.begin(), report->segments.end());
  }
  for (const auto& [segment, hold] : holds_) {
    if (news.holds.size() < kMaxHoldsSent) {
      news.holds.push_back({segment, now - hold.since, hold.strikes});
    }
  }
  for (const auto& [segment, state] : elsewhere_) {
    segments.insert(segment);
  }
  for (const SegmentHash segment : segments) {
    const TimePoint begun = LastBegun(segment);
    if (begun != TimePoint{} && news.begun.size() < kMaxBegunSent) {
      news.begun.push_back({segment, std::min<Duration>(now - begun, kMaxToldAge)});
    }
  }
  return news;
}

void PromptQuarantine::Merge(const QuarantineNews& news, TimePoint now) {
  for (const SegmentBegun& begun : news.begun) {
    const TimePoint last = LastBegun(begun.segment);
    if (last == TimePoint{} || last + kClockError < now - begun.age) {
      RecordBegun(begun.segment, now - begun.age);
      LiftIfBegun(begun.segment, now);
    }
  }
  for (const CrashReport& crash : news.crashes) {
    if (crash.reporter != self_ && crash.age < kEvidenceTime) {
      AddReport(
          {crash.reporter, crash.sequence, crash.upstream, now - crash.age, {}, {}, crash.segments},
          now);
    }
  }
  for (const SegmentHold& told : news.holds) {
    const TimePoint since = now - told.age;
    if (since < LastBegun(told.segment)) {
      continue;
    }
    const auto held = holds_.find(told.segment);
    if (held == holds_.end()) {
      Hold hold;
      hold.since = since;
      hold.strikes = std::min(told.strikes, kMaxStrikes);
      if (now < hold.forgotten_at() && holds_.size() < kMaxHolds) {
        holds_[told.segment] = hold;
        changes_.push_back({QuarantineEvent::kLearned, told.segment, RetryAfter(hold, now), {}});
      }
    } else if (held->second.since + kHoldClockError < since) {
      held->second.since = since;
      held->second.strikes = std::max(held->second.strikes, std::min(told.strikes, kMaxStrikes));
    }
  }
}

}  // namespace chiverail
