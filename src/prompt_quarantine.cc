#include "prompt_quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <unordered_set>

#include <xxhash.h>

namespace chiverail {

SegmentHash SegmentHashOf(const std::string& segment_id, const std::string& service) {
  const SegmentHash at_service = XXH64(service.data(), service.size(), 0) << (64 - kServiceBits);
  return at_service | IdHashOf(XXH64(segment_id.data(), segment_id.size(), 0));
}

TimePoint PromptQuarantine::LastBegun(SegmentHash segment) const {
  for (const auto* begun : {&begun_, &begun_before_}) {
    const auto found = begun->find(segment);
    if (found != begun->end()) {
      return found->second;
    }
  }
  return {};
}

void PromptQuarantine::RecordBegun(SegmentHash segment, TimePoint at) {
  if (begun_.size() >= kMaxBegun / 2 && begun_.count(segment) == 0) {
    begun_before_ = std::exchange(begun_, {});
  }
  TimePoint& last = begun_.try_emplace(segment, LastBegun(segment)).first->second;
  last = std::max(last, at);
}

void PromptQuarantine::OnBegun(const std::vector<SegmentHash>& segments, TimePoint now) {
  for (const SegmentHash segment : segments) {
    RecordBegun(segment, now);
    LiftIfBegun(segment, now);
  }
}

void PromptQuarantine::LiftIfBegun(SegmentHash segment, TimePoint now) {
  const auto held = holds_.find(segment);
  if (held != holds_.end() && held->second.since < LastBegun(segment)) {
    changes_.push_back({QuarantineEvent::kLifted, segment, RetryAfter(held->second, now), {}});
    holds_.erase(held);
  }
}

// Requests of this instance that one end has cut are one report.
void PromptQuarantine::OnUpstreamEnded(std::uint32_t upstream,
                                       const std::vector<SegmentHash>& segments,
                                       TimePoint at,
                                       TimePoint now) {
  if (segments.empty()) {
    return;
  }
  Report report;
  report.reporter = self_;
  report.upstream = upstream;
  report.at = at;
  report.segments = segments;
  const auto same = std::find_if(reports_.begin(), reports_.end(), [&](const Report& other) {
    return other.reporter == self_ && other.upstream == upstream && at < other.at + kSameEnd;
  });
  report.sequence = same == reports_.end() ? ++sequence_ : same->sequence;
  AddReport(std::move(report), now);
}

void PromptQuarantine::AddReport(Report report, TimePoint now) {
  const auto known = std::find_if(reports_.begin(), reports_.end(), [&](const Report& other) {
    return other.reporter == report.reporter && other.sequence == report.sequence;
  });
  if (known != reports_.end()) {
    known->at = std::min(known->at, report.at);
    std::vector<SegmentHash> segments = known->segments;
    segments.insert(segments.end(), report.segments.begin(), report.segments.end());
    known->segments = MostSuspect(segments, kMaxSegmentsPerReport);
    return;
  }
  if (reports_.size() >= kMaxReports) {
    MakeRoom();
  }
  ProlongHolds(report);
  SpreadHolds(report, now);
  report.known_at = now;
  report.segments = MostSuspect(report.segments, kMaxSegmentsPerReport);
  reports_.push_back(std::move(report));
}

std::vector<SegmentHash> PromptQuarantine::MostSuspect(const std::vector<SegmentHash>& segments,
                                                       std::size_t limit) const {
  std::vector<SegmentHash> once;
  std::unordered_set<SegmentHash> listed;
  for (const SegmentHash segment : segments) {
    if (listed.insert(segment).second) {
      once.push_back(segment);
    }
  }
  if (once.size() <= limit) {
    return once;
  }
  const SegmentEnds ends = EndsBySegment();
  struct Ranked {
    std::size_t ends;
    TimePoint begun;
    std::size_t position;
  };
  std::vector<Ranked> ranked;
  for (std::size_t i = 0; i < once.size(); ++i) {
    const auto found = ends.find(IdHashOf(once[i]));
    ranked.push_back({found == ends.end() ? 0 : found->second.size(), LastBegun(once[i]), i});
  }
  const auto last = ranked.begin() + static_cast<std::ptrdiff_t>(limit);
  std::nth_element(ranked.begin(), last, ranked.end(), [](const Ranked& a, const Ranked& b) {
    // Later segments are shared by fewer requests.
    return std::make_tuple(b.ends, a.begun, b.position) <
           std::make_tuple(a.ends, b.begun, a.position);
  });
  ranked.erase(last, ranked.end());
  std::sort(ranked.begin(), ranked.end(),
            [](const Ranked& a, const Ranked& b) { return a.position < b.position; });
  std::vector<SegmentHash> most;
  for (const Ranked& segment : ranked) {
    most.push_back(once[segment.position]);
  }
  return most;
}

// Requests that were on their way when their segment was held, and trials.
void PromptQuarantine::ProlongHolds(const Report& report) {
  for (const SegmentHash segment : report.segments) {
    const auto held = holds_.find(segment);
    if (held == holds_.end() || report.at <= held->second.since) {
      continue;
    }
    Hold& hold = held->second;
    if (hold.until() <= report.at) {
      hold.strikes = std::min(hold.strikes + 1, kMaxStrikes);
      changes_.push_back({QuarantineEvent::kProlonged, segment, hold.Length(), {report.upstream}});
    }
    hold.since = report.at;
  }
}

// Drops the oldest report that makes no segment more suspect than any other, so that the ends of
// many upstreams at once, or made-up segments, don't displace the evidence against one segment.
void PromptQuarantine::MakeRoom() {
  const SegmentEnds ends = EndsBySegment();
  const auto dropped = std::min_element(
      reports_.begin(), reports_.end(),
      [&](const Report& a, const Report& b) { return MostEnds(a, ends) < MostEnds(b, ends); });
  reports_.erase(dropped);
}

std::vector<std::vector<const PromptQuarantine::Report*>> PromptQuarantine::ReportsByEnd() const {
  std::vector<const Report*> by_time;
  for (const Report& report : reports_) {
    by_time.push_back(&report);
  }
  std::stable_sort(by_time.begin(), by_time.end(),
                   [](const Report* a, const Report* b) { return a->at < b->at; });
  std::vector<std::vector<const Report*>> ends;
  std::unordered_map<std::uint32_t, std::size_t> last;  // end of each upstream
  for (const Report* report : by_time) {
    const auto [end, first] = last.try_emplace(report->upstream, ends.size());
    if (!first && report->at < ends[end->second].front()->at + kSameEnd) {
      ends[end->second].push_back(report);
      continue;
    }
    end->second = ends.size();
    ends.push_back({report});
  }
  return ends;
}

// Ends under each segment since it was last answered.
PromptQuarantine::SegmentEnds PromptQuarantine::EndsBySegment() const {
  SegmentEnds ends;
  const auto reports = ReportsByEnd();
  for (std::size_t i = 0; i < reports.size(); ++i) {
    for (const Report* report : reports[i]) {
      for (const SegmentHash segment : report->segments) {
        if (LastBegun(segment) < report->at) {
          ends[IdHashOf(segment)].insert(i);
        }
      }
    }
  }
  return ends;
}

std::size_t PromptQuarantine::MostEnds(const Report& report, const SegmentEnds& ends) const {
  std::size_t most = 0;
  for (const SegmentHash segment : report.segments) {
    const auto found = ends.find(IdHashOf(segment));
    if (found != ends.end() && LastBegun(segment) < report.at) {
      most = std::max(most, found->second.size());
    }
  }
  return most;
}

bool PromptQuarantine::IsCleared(const Report& report) const {
  return std::all_of(report.segments.begin(), report.segments.end(),
                     [&](SegmentHash segment) { return report.at < LastBegun(segment); });
}

PromptQuarantine::Verdict PromptQuarantine::Check(
    const std::vector<SegmentHash>& segments,
    const std::function<bool(SegmentHash)>& owns_trial,
    TimePoint now) {
  Verdict verdict;
  for (std::size_t i = 0; i < segments.size() && !holds_.empty(); ++i) {
    const auto held = holds_.find(segments[i]);
    if (held != holds_.end()) {
      verdict.retry_after = RetryAfter(held->second, now);
      verdict.trial = MayTry(held->first, held->second, owns_trial(segments[i]), now);
    } else if (IsHeldElsewhere(segments[i])) {
      verdict.retry_after = RetryAfterElsewhere(segments[i], now);
      verdict.trial = MayTryElsewhere(segments[i], owns_trial(segments[i]), now);
    } else {
      continue;
    }
    verdict.position = i;
    verdict.held = !verdict.trial;
    if (verdict.held) {
      break;
    }
  }
  return verdict;
}

bool PromptQuarantine::MayTry(SegmentHash segment, Hold& hold, bool owns_trial, TimePoint now) {
  const bool trial_due = hold.trial_at == TimePoint{} || hold.trial_at + kTrialTime <= now;
  if (now < hold.until() || !owns_trial || !trial_due) {
    return false;
  }
  hold.trial_at = now;
  changes_.push_back({QuarantineEvent::kTrial, segment, {}, {}});
  return true;
}

Duration PromptQuarantine::RetryAfter(const Hold& hold, TimePoint now) {
  return std::max<Duration>(hold.until() - now, kTrialTime);
}

bool PromptQuarantine::HasHold(const std::vector<SegmentHash>& segments) const {
  return !holds_.empty() && std::any_of(segments.begin(), segments.end(), [this](SegmentHash hash) {
    return holds_.count(hash) > 0 || IsHeldElsewhere(hash);
  });
}

bool PromptQuarantine::IsNew(const std::vector<SegmentHash>& segments) const {
  return std::any_of(segments.begin(), segments.end(),
                     [this](SegmentHash segment) { return LastBegun(segment) == TimePoint{}; });
}

bool PromptQuarantine::IsSuspect(const std::vector<SegmentHash>& segments) const {
  return std::any_of(segments.begin(), segments.end(), [&](SegmentHash segment) {
    return LastBegun(segment) == TimePoint{} &&
           std::any_of(reports_.begin(), reports_.end(), [&](const Report& report) {
             return std::count(report.segments.begin(), report.segments.end(), segment) > 0;
           });
  });
}

// Merges the reports of all instances into the ends of upstreams, by time, without those that held
// segments explain.
std::vector<PromptQuarantine::End> PromptQuarantine::UnexplainedEnds() const {
  std::vector<End> ends;
  for (const auto& reports : ReportsByEnd()) {
    End end{reports.front()->upstream, reports.front()->at, TimePoint::max(), {}};
    for (const Report* report : reports) {
      if (report->cleared_at == TimePoint{}) {
        end.known_at = std::min(end.known_at, report->known_at);
        for (const SegmentHash segment : report->segments) {
          end.segments.emplace(IdHashOf(segment), segment);
        }
      }
    }
    const bool explained =
        std::any_of(end.segments.begin(), end.segments.end(), [&](const auto& segment) {
          return holds_.count(segment.second) > 0 && LastBegun(segment.second) < end.at;
        });
    if (!end.segments.empty() && !explained) {
      ends.push_back(std::move(end));
    }
  }
  return ends;
}

std::optional<PromptQuarantine::Culprit>
PromptQuarantine::WeighSegment(IdHash id, const std::vector<End>& ends, TimePoint now) const {
  Culprit culprit;
  std::set<std::uint32_t> upstreams;
  TimePoint first{};
  TimePoint cause{};  // first end of those with the same cause
  std::vector<TimePoint> known_at;
  for (const End& end : ends) {
    const auto found = end.segments.find(id);
    if (found == end.segments.end()) {
      continue;
    }
    const TimePoint begun = LastBegun(found->second);
    culprit.known = culprit.known || begun != TimePoint{};
    if (end.at <= begun) {
      continue;
    }
    culprit.segment = found->second;
    culprit.at_services.insert(found->second);
    upstreams.insert(end.upstream);
    first = first == TimePoint{} ? end.at : first;
    culprit.last = end.at;
    if (cause == TimePoint{} || cause + kSameCause <= end.at) {
      cause = end.at;
      known_at.push_back(end.known_at);
    }
  }
  culprit.ends = known_at.size();
  // Upstreams that end as often without the segment do so by themselves.
  const auto without = std::count_if(ends.begin(), ends.end(), [&](const End& end) {
    return first <= end.at && end.at <= culprit.last && end.segments.count(id) == 0 &&
           upstreams.count(end.upstream) > 0;
  });
  const bool telling =
      !culprit.known && upstreams.size() > 1 && static_cast<std::size_t>(without) < culprit.ends;
  const std::size_t needed = telling ? kEndsOfNew : kEnoughEnds;
  culprit.burst = culprit.last < first + kBurstTime;
  if (culprit.ends < needed || (culprit.known && culprit.burst)) {
    return std::nullopt;
  }
  std::nth_element(known_at.begin(), known_at.begin() + static_cast<std::ptrdiff_t>(needed) - 1,
                   known_at.end());
  if (now < known_at[needed - 1] + kSettleTime) {
    return std::nullopt;
  }
  culprit.upstreams.assign(upstreams.begin(), upstreams.end());
  culprit.position = PositionOf(culprit.segment);
  return culprit;
}

// Segments of one request are reported in their order.
std::size_t PromptQuarantine::PositionOf(SegmentHash segment) const {
  for (auto report = reports_.rbegin(); report != reports_.rend(); ++report) {
    const auto found = std::find(report->segments.begin(), report->segments.end(), segment);
    if (found != report->segments.end()) {
      return static_cast<std::size_t>(found - report->segments.begin());
    }
  }
  return 0;
}

// Prefers segments that were never answered, then those with more ends, then later ones in the
// prompt: the first ones are shared by more requests. While two have the same evidence, an answer
// may still clear one of them, so more ends are awaited.
std::optional<PromptQuarantine::Culprit> PromptQuarantine::FindCulprit(TimePoint now) const {
  if (reports_.size() < kEndsOfNew) {
    return std::nullopt;
  }
  const std::vector<End> ends = UnexplainedEnds();
  std::set<IdHash> ids;
  for (const End& end : ends) {
    for (const auto& [id, segment] : end.segments) {
      ids.insert(id);
    }
  }
  const auto rank = [](const Culprit& culprit) {
    return std::make_tuple(!culprit.known, culprit.ends, culprit.position);
  };
  std::optional<Culprit> best;
  bool ambiguous = false;
  for (const IdHash id : ids) {
    const auto culprit = WeighSegment(id, ends, now);
    if (!culprit) {
      continue;
    }
    ambiguous = best && best->known == culprit->known && best->ends == culprit->ends;
    if (!best || rank(*best) < rank(*culprit)) {
      best = culprit;
    }
  }
  if (best && ambiguous && best->ends < kEnoughEnds) {
    return std::nullopt;
  }
  return best;
}

void PromptQuarantine::AddHold(SegmentHash segment, const Hold& hold) {
  if (holds_.size() >= kMaxHolds) {
    const auto oldest = std::min_element(
        holds_.begin(), holds_.end(),
        [](const auto& a, const auto& b) { return a.second.until() < b.second.until(); });
    holds_.erase(oldest);
  }
  holds_[segment] = hold;
}

void PromptQuarantine::HoldSegment(const Culprit& culprit, TimePoint now) {
  Hold hold;
  hold.since = culprit.last;
  hold.strikes = culprit.burst ? 0 : 1;
  for (const SegmentHash segment : culprit.at_services) {
    changes_.push_back({QuarantineEvent::kHeld, segment, RetryAfter(hold, now), culprit.upstreams});
    AddHold(segment, hold);
  }
}

void PromptQuarantine::Update(TimePoint now) {
  for (auto held = holds_.begin(); held != holds_.end();) {
    if (held->second.forgotten_at() <= now) {
      changes_.push_back({QuarantineEvent::kExpired, held->first, {}, {}});
      held = holds_.erase(held);
    } else {
      ++held;
    }
  }
  for (auto state = elsewhere_.begin(); state != elsewhere_.end();) {
    const bool applies = holds_.count(state->first) == 0 && !HoldsElsewhere(state->first).empty();
    state = applies ? std::next(state) : elsewhere_.erase(state);
  }
  const auto is_old = [now](const Report& report) { return report.at + kEvidenceTime <= now; };
  reports_.erase(std::remove_if(reports_.begin(), reports_.end(), is_old), reports_.end());
  for (Report& report : reports_) {
    if (report.cleared_at == TimePoint{} && IsCleared(report)) {
      report.cleared_at = now;
    }
  }
  // A full table of holds may drop one of those that were just added.
  for (std::size_t added = 0; added < kMaxHolds; ++added) {
    const auto culprit = FindCulprit(now);
    if (!culprit) {
      break;
    }
    HoldSegment(*culprit, now);
  }
}

}  // namespace chiverail
