#include "upstream_runs/run_history.h"

#include <algorithm>
#include <iterator>

namespace chiverail {

EntryStanding RunHistory::Judge(const UpstreamEntry& entry, Source source, TimePoint now) {
  const auto found = runs_.find(entry.id);
  if (found == runs_.end()) {
    AddUnknown(entry, source, now);
    return runs_.at(entry.id).listed ? EntryStanding::kCurrent : EntryStanding::kDoubtful;
  }
  Run& run = found->second;
  if (IsCurrent(run, entry, now)) {
    Accept(run, entry, now);
    return EntryStanding::kCurrent;
  }
  if (run.listed && entry.started_ms == run.started_ms) {
    return EntryStanding::kOld;
  }
  if (Confirms(run, entry, now)) {
    Accept(run, entry, now);
    return EntryStanding::kCurrent;
  }
  return EntryStanding::kDoubtful;
}

void RunHistory::AddUnknown(const UpstreamEntry& entry, Source source, TimePoint now) {
  Run& run = runs_[entry.id];
  run.started_ms = entry.started_ms;
  ++gone_;
  if (source == Source::kListing || entry.started_ms == 0 || entry.sequence <= kFirstEntries) {
    Accept(run, entry, now);
    return;
  }
  run.sequence = entry.sequence;
  run.draining = entry.draining;
  run.gone_at = now;
  run.doubt = Doubt{entry, now};
  BoundGone();
}

bool RunHistory::IsCurrent(const Run& run, const UpstreamEntry& entry, TimePoint now) const {
  if (entry.started_ms != run.started_ms) {
    const bool was_replaced =
        std::count(run.replaced.begin(), run.replaced.end(), entry.started_ms) > 0;
    return entry.started_ms > run.started_ms && !was_replaced;
  }
  const bool comparable = entry.started_ms != 0;  // otherwise its run is not known
  if (run.listed) {
    return !comparable || entry.sequence >= run.sequence;
  }
  if (run.doubt || (RestoredLately(now) && run.gone_at < restored_at_)) {
    return false;
  }
  // A run whose entry lapsed is back once it writes on. One that has left may still have a last
  // entry on its way, which nobody has seen.
  return !comparable || entry.sequence == run.sequence ||
         (run.lapsed && entry.sequence > run.sequence);
}

// Records a doubtful entry; returns true if it shows that its upstream writes on.
bool RunHistory::Confirms(Run& run, const UpstreamEntry& entry, TimePoint now) {
  const bool same_run = entry.started_ms == run.started_ms;
  if (!run.doubt || run.doubt->entry.started_ms != entry.started_ms) {
    run.doubt = Doubt{entry, now};
    return false;
  }
  Doubt& doubt = *run.doubt;
  const std::uint64_t newest =
      same_run ? std::max(run.sequence, doubt.entry.sequence) : doubt.entry.sequence;
  if (entry.sequence > newest || doubt.since + kDoubtTime <= now) {
    return true;
  }
  const std::uint64_t sequence = std::max(doubt.entry.sequence, entry.sequence);
  doubt.entry = entry;
  doubt.entry.sequence = sequence;
  return false;
}

void RunHistory::Accept(Run& run, const UpstreamEntry& entry, TimePoint now) {
  if (entry.started_ms != run.started_ms) {
    run.replaced.push_back(run.started_ms);
    if (run.replaced.size() > kMaxReplaced) {
      run.replaced.erase(run.replaced.begin());
    }
    run.started_ms = entry.started_ms;
    run.sequence = 0;
    run.draining = false;
    run.written_at = {};
  }
  if (run.written_at == TimePoint{} || entry.sequence > run.sequence) {
    run.written_at = now;
  }
  const bool restarted = entry.started_ms == 0 && entry.sequence < run.sequence;
  run.sequence = restarted ? entry.sequence : std::max(run.sequence, entry.sequence);
  run.draining = run.draining || entry.draining;
  run.doubt.reset();
  gone_ -= run.listed ? 0 : 1;
  run.listed = true;
}

bool RunHistory::IsDraining(const UpstreamId& id) const {
  const auto found = runs_.find(id);
  return found != runs_.end() && found->second.draining;
}

void RunHistory::OnLastEntry(const UpstreamEntry& entry) {
  const auto found = runs_.find(entry.id);
  if (found != runs_.end() && found->second.started_ms == entry.started_ms) {
    found->second.sequence = std::max(found->second.sequence, entry.sequence);
    found->second.draining = found->second.draining || entry.draining;
  }
}

void RunHistory::OnRemoved(const UpstreamId& id, std::optional<Duration> silence, TimePoint now) {
  const auto found = runs_.find(id);
  if (found == runs_.end()) {
    return;
  }
  Run& run = found->second;
  run.doubt.reset();
  if (!run.listed) {
    return;
  }
  run.lapsed = silence.value_or(now - std::max(run.written_at, read_since_)) >= kLapseTime;
  run.listed = false;
  run.gone_at = now;
  ++gone_;
  BoundGone();
}

void RunHistory::OnNotListed(const UpstreamId& id) {
  if (const auto found = runs_.find(id); found != runs_.end()) {
    found->second.doubt.reset();
  }
}

void RunHistory::BoundGone() {
  if (gone_ <= kMaxGone) {
    return;
  }
  auto oldest = runs_.end();
  for (auto run = runs_.begin(); run != runs_.end(); ++run) {
    const bool older = oldest == runs_.end() || run->second.gone_at < oldest->second.gone_at;
    if (!run->second.listed && older) {
      oldest = run;
    }
  }
  runs_.erase(oldest);
  --gone_;
}

std::vector<UpstreamEntry> RunHistory::Update(TimePoint now) {
  std::vector<UpstreamEntry> still_listed;
  for (auto position = runs_.begin(); position != runs_.end();) {
    const Run& run = position->second;
    if (run.doubt && run.doubt->since + kDoubtTime <= now) {
      still_listed.push_back(run.doubt->entry);
    }
    const bool forgotten = !run.listed && !run.doubt && run.gone_at + kGoneTime <= now;
    gone_ -= forgotten ? 1 : 0;
    position = forgotten ? runs_.erase(position) : std::next(position);
  }
  return still_listed;
}

std::vector<UpstreamId> RunHistory::Doubtful() const {
  std::vector<UpstreamId> ids;
  for (const auto& [id, run] : runs_) {
    if (run.doubt) {
      ids.push_back(id);
    }
  }
  return ids;
}

}  // namespace chiverail
