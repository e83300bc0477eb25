#include "config_follower.h"

#include <algorithm>
#include <utility>

#include "manifest.h"

namespace chiverail {

ConfigFollower::ConfigFollower(InstanceId self,
                               std::uint64_t seed,
                               TimePoint start,
                               Duration operation_timeout)
    : self_(self),
      start_(start),
      jitter_(seed),
      reachability_(std::move(self), seed + 1),
      operation_timeout_(operation_timeout),
      last_op_(seed),
      last_poll_(start - kHeadPollInterval),
      next_poll_(start),
      last_contact_(start),
      next_round_(start) {}

FollowerActions ConfigFollower::Tick(TimePoint now) {
  FollowerActions out;
  EndOverduePolls(now);
  if (now >= next_poll_) {
    Poll(now, out);
  }
  EvaluateRound(now, out);
  StartRoundIfDue(now, out);
  ApplyOrFetch(now, out);
  return out;
}

TimePoint ConfigFollower::NextWake(TimePoint now) const {
  TimePoint wake = polls_.size() < kMaxPollsInFlight ? next_poll_ : TimePoint::max();
  if (reachability_.IsOpen()) {
    wake = std::min(wake, reachability_.round_start() + kProbeTimeout);
  }
  TimePoint round = ConfirmedOrStart() + kProbeAfter;
  if (hinted_revision_ > head_.revision) {
    round = std::min(round, hinted_at_ + kHintProbeDelay);
  }
  wake = std::min(wake, std::max(next_round_, round));
  if (IsLagging() && first_round_done_ && !fetch_in_flight_) {
    wake = std::min(wake, next_fetch_);
  }
  return std::max(wake, now + milliseconds(1));
}

// Reads that are never answered would otherwise use up kMaxPollsInFlight.
void ConfigFollower::EndOverduePolls(TimePoint now) {
  for (auto poll = polls_.begin(); poll != polls_.end();) {
    poll = now >= poll->second + operation_timeout_ ? polls_.erase(poll) : std::next(poll);
  }
}

void ConfigFollower::Poll(TimePoint now, FollowerActions& out) {
  if (polls_.size() >= kMaxPollsInFlight) {
    return;
  }
  last_poll_ = now;
  next_poll_ = now + jitter_.Around(kHeadPollInterval);
  polls_[++last_op_] = now;
  out.push_back(ReadRow{last_op_, kHeadKey});
}

// Runs a round of probes at start-up, so that a restarted instance never applies a head below the
// one that its peers have seen.
void ConfigFollower::StartRoundIfDue(TimePoint now, FollowerActions& out) {
  const bool first = !first_round_done_ && !reachability_.IsOpen();
  const bool hint_overdue =
      hinted_revision_ > head_.revision && now >= hinted_at_ + kHintProbeDelay;
  const bool due = now >= next_round_ && (hint_overdue || now >= ConfirmedOrStart() + kProbeAfter);
  if (!first && !due) {
    return;
  }
  next_round_ = now + kProbeInterval;
  SendProbes probes = reachability_.StartRound(head_.revision, now);
  if (!probes.to.empty()) {
    out.push_back(std::move(probes));
  }
  EvaluateRound(now, out);
}

// The verdict of the round applies only if the configuration in force is the newest one seen.
// Otherwise, after a failed fetch of the newer one, the instance may keep serving with the old one
// if at least half of the probed peers have answered and none has a newer one in force, because the
// object store is then assumed to be down for all instances.
void ConfigFollower::EvaluateRound(TimePoint now, FollowerActions& out) {
  if (!reachability_.EvaluateRound(now)) {
    return;
  }
  first_round_done_ = true;
  if (IsLagging()) {
    const bool may_serve_old_configuration = fetch_failed_ && reachability_.HalfAnswered() &&
                                             reachability_.HighestInForce() <= in_force_.revision;
    table_down_until_ =
        may_serve_old_configuration ? reachability_.round_start() + kVerdictValidity : TimePoint{};
  } else {
    table_down_until_ = reachability_.verdict().table_down_until;
  }
  out.push_back(reachability_.verdict());
  ApplyOrFetch(now, out);
}

// Confirms the configuration as of the start of the read: at that time the table held no revision
// newer than the one returned.
FollowerActions ConfigFollower::OnHead(std::uint64_t op,
                                       const TableReadResult& result,
                                       TimePoint now) {
  FollowerActions out;
  const auto poll = polls_.find(op);
  if (poll == polls_.end()) {
    return out;
  }
  const TimePoint started = poll->second;
  polls_.erase(poll);
  if (result.status == TableStatus::kOk) {
    try {
      const HeadRow head = result.row.version == 0 ? HeadRow{} : ParseHead(result.row.value);
      last_contact_ = std::max(last_contact_, started);
      last_read_ = std::max(last_read_.value_or(started), started);
      if (first_round_done_ && reachability_.OnTableReached()) {
        table_down_until_ = IsLagging() ? table_down_until_ : TimePoint{};
        out.push_back(reachability_.verdict());
      }
      if (head.revision < in_force_.revision && started > ConfirmedOrStart()) {
        out.push_back(FollowerError{"the table has head revision " + std::to_string(head.revision) +
                                    " below the highest revision seen, " +
                                    std::to_string(head_.revision)});
      }
      AcceptHead(head, out);
      Confirm(head.revision, started);
    } catch (const InvalidDocument& error) {
      out.push_back(FollowerError{std::string("malformed head: ") + error.what()});
    }
  }
  ApplyOrFetch(now, out);
  return out;
}

void ConfigFollower::AcceptHead(const HeadRow& head, FollowerActions& out) {
  if (head.revision <= head_.revision) {
    return;
  }
  if (head.data_centres_out != head_.data_centres_out) {
    out.push_back(DataCentresOut{head.data_centres_out});
  }
  head_ = head;
  head_confirmed_at_.reset();
  manifest_sources_.clear();
  next_fetch_ = TimePoint{};
  fetch_failed_ = false;
  table_down_until_ = TimePoint{};
}

// Records that no revision above `newest` had been accepted at time `at`.
void ConfigFollower::Confirm(Revision newest, TimePoint at) {
  if (newest <= head_.revision) {
    head_confirmed_at_ = std::max(head_confirmed_at_.value_or(at), at);
  }
  if (newest <= in_force_.revision && in_force_.revision != 0) {
    confirmed_at_ = std::max(confirmed_at_.value_or(at), at);
  }
}

void ConfigFollower::Apply(const HeadRow& head, FollowerActions& out) {
  in_force_ = head;
  if (!IsLagging()) {
    confirmed_at_ = head_confirmed_at_.has_value() ? head_confirmed_at_ : confirmed_at_;
  }
  out.push_back(ConfigurationInForce{head});
}

// Applies the newest head at once if it names no manifest or the one already in force; otherwise
// fetches its manifest. Does nothing until the first round of probes has been evaluated.
void ConfigFollower::ApplyOrFetch(TimePoint now, FollowerActions& out) {
  if (!IsLagging() || !first_round_done_) {
    return;
  }
  const bool have_manifest =
      head_.manifest_hash.empty() ||
      (in_force_.revision != 0 && head_.manifest_hash == in_force_.manifest_hash);
  if (have_manifest) {
    Apply(head_, out);
  } else if (!fetch_in_flight_ && now >= next_fetch_) {
    fetch_in_flight_ = true;
    fetching_ = head_;
    next_fetch_ = now + jitter_.Around(kFetchRetryInterval);
    out.push_back(
        FetchManifest{head_.manifest_hash, {manifest_sources_.begin(), manifest_sources_.end()}});
  }
}

// Applies the fetched manifest even when a newer head has been seen in the meantime, so that
// frequent changes cannot keep an instance on an old configuration.
FollowerActions ConfigFollower::OnManifest(const std::string& hash, bool fetched, TimePoint now) {
  FollowerActions out;
  if (!fetch_in_flight_ || hash != fetching_.manifest_hash) {
    return out;
  }
  fetch_in_flight_ = false;
  fetch_failed_ = fetch_failed_ || (!fetched && hash == head_.manifest_hash);
  if (fetched && fetching_.revision > in_force_.revision) {
    Apply(fetching_, out);
  }
  ApplyOrFetch(now, out);
  return out;
}

// The answer includes the peer's head if that is newer, so an instance that cannot reach the table,
// or one that starts while the table is down, gets the newest head from its peers.
FollowerActions ConfigFollower::OnProbeAnswer(const TableProbeAnswer& answer, TimePoint now) {
  FollowerActions out;
  const TimePoint confirmed = std::max(ConfirmedOrStart(), head_confirmed_at_.value_or(start_));
  if (!reachability_.OnAnswer(answer, last_contact_, confirmed, now)) {
    return out;
  }
  if (!answer.head.empty()) {
    try {
      AcceptHead(ParseHead(answer.head), out);
    } catch (const InvalidDocument& error) {
      out.push_back(FollowerError{"malformed head from " + answer.from + ": " + error.what()});
    }
  }
  if (answer.in_force == head_.revision) {
    manifest_sources_.insert(answer.from);
  }
  if (answer.reached_table && answer.revision <= head_.revision) {
    // The answer was written after the round started, and reached_ms_ago is rounded down to whole
    // milliseconds.
    Confirm(answer.revision, reachability_.round_start() - milliseconds(answer.reached_ms_ago + 1));
  }
  // The answer may end the previous round's verdict at once.
  if (!IsLagging()) {
    table_down_until_ = std::min(table_down_until_, reachability_.verdict().table_down_until);
  }
  out.push_back(reachability_.verdict());
  EvaluateRound(now, out);
  ApplyOrFetch(now, out);
  return out;
}

FollowerActions ConfigFollower::OnHint(Revision revision, TimePoint now) {
  FollowerActions out;
  if (revision <= head_.revision) {
    return out;
  }
  if (revision > hinted_revision_) {
    hinted_revision_ = revision;
    hinted_at_ = now;
  }
  next_poll_ = std::min(next_poll_, last_poll_ + kHintPollInterval);
  if (now >= next_poll_) {
    Poll(now, out);
  }
  return out;
}

TableProbeAnswer ConfigFollower::AnswerProbe(const TableProbe& probe, TimePoint now) const {
  TableProbeAnswer answer;
  answer.from = self_;
  answer.nonce = probe.nonce;
  answer.reached_table = last_read_.has_value();
  if (last_read_) {
    answer.reached_ms_ago = static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(now - *last_read_).count());
  }
  answer.revision = head_.revision;
  answer.in_force = in_force_.revision;
  if (head_.revision > probe.revision) {
    answer.head = SerializeRow(head_);
  }
  return answer;
}

IsolationState ConfigFollower::Isolation(TimePoint now) const {
  if (in_force_.revision == 0) {
    return IsolationState::kStarting;
  }
  if (confirmed_at_ && now < *confirmed_at_ + kConfigurationDeadline) {
    return IsolationState::kServing;
  }
  return now < table_down_until_ ? IsolationState::kTableDown : IsolationState::kIsolated;
}

bool ConfigFollower::AcceptsWork(TimePoint now) const {
  const IsolationState state = Isolation(now);
  return state == IsolationState::kServing || state == IsolationState::kTableDown;
}

}  // namespace chiverail
