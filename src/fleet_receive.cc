// FleetExchange: the messages that it receives.

#include <algorithm>
#include <utility>

#include "fleet_exchange.h"

namespace chiverail {

bool FleetExchange::AcceptWork(const InstanceWork& work, TimePoint now, bool reported) {
  const FleetRoster::Member* member = roster_.FindByKey(work.key);
  if (member == nullptr || member->info.instance == roster_.self().instance) {
    return false;
  }
  PeerWork& known = work_[work.key];
  if (work.sequence <= known.work.sequence) {
    return false;
  }
  known.work = work;
  known.as_of = now - work.age;
  known.stamp = reported ? ++last_stamp_ : 0;
  roster_.OnHeard(work.key, known.as_of);
  return true;
}

void FleetExchange::RecordSegments(const std::vector<CachedSegment>& segments,
                                   TimePoint now,
                                   bool reported) {
  for (const CachedSegment& segment : segments) {
    if (!hooks_.record_segment(segment, now)) {
      continue;
    }
    all_segments_.Add(segment);
    if (reported) {
      reported_segments_.Add(segment);
    }
  }
}

// The echo was sent by this instance before the receiver of it read it, and that was `held_ms`
// before the message was sent.
std::optional<TimePoint> FleetExchange::EarliestSent(const MessageTiming& timing,
                                                     TimePoint now) const {
  const InstanceInfo& self = roster_.self();
  const TimePoint echo{milliseconds(timing.echo_ms)};
  const Duration held = milliseconds(timing.held_ms);
  if (timing.echo_key != InstanceKey(self.instance, self.start_id) || now < echo ||
      now - echo < held) {
    return std::nullopt;
  }
  return echo + held;
}

void FleetExchange::NoteTiming(std::uint32_t sender, const MessageTiming& timing, TimePoint now) {
  Heard& heard = heard_[sender];
  if (timing.sent_ms >= heard.sent_ms) {
    heard = {timing.sent_ms, now};
  }
}

void FleetExchange::RecordNotices(const std::vector<TableNotice>& notices,
                                  const std::string& from,
                                  bool reported,
                                  const std::optional<TimePoint>& sent_at,
                                  TimePoint now) {
  for (TableNotice notice : notices) {
    const std::string source = notice.source.empty() ? from : notice.source;
    if (source == roster_.self().peer_address) {
      continue;
    }
    notice.dated = sent_at.has_value();
    if (notice.dated && notice.table != kConfigInForce) {
      notice.age += now - *sent_at;
      notice_relay_.OnNotice(source, notice, reported, now);
    }
    hooks_.on_notice(source, notice);
  }
}

void FleetExchange::RecordQuarantine(const QuarantineNews& news, TimePoint sent_at, TimePoint now) {
  QuarantineNews aged = news;
  const auto add_age = [passed = now - sent_at](auto& entries) {
    for (auto& entry : entries) {
      entry.age += passed;
    }
  };
  add_age(aged.crashes);
  add_age(aged.begun);
  add_age(aged.holds);
  hooks_.on_quarantine(aged, now);
}

// Changes are applied without gaps only. If a message is lost, the sender repeats them, since its
// receiver does not acknowledge them. Liveness is judged by this instance's hub or, if it is one,
// by itself: from any other source it learns only of instances that it does not know.
void FleetExchange::ApplyRoster(std::uint32_t source,
                                const RosterChanges& changes,
                                bool trusted,
                                TimePoint now) {
  std::uint64_t& version = roster_versions_[source];
  if (changes.from > version) {
    return;
  }
  for (const RosterEntry& entry : changes.entries) {
    if (trusted || entry.live) {
      roster_.Apply(entry, now);
    }
  }
  version = std::max(version, changes.version);
}

// The first messages of a new hub carry its whole roster. Instances that it does not list have
// ended without this instance hearing of it.
void FleetExchange::ApplyHubRoster(std::uint32_t hub, const RosterChanges& changes, TimePoint now) {
  if (AckFor(hub).version == 0 && changes.version > 0) {
    full_roster_source_ = hub;
    full_roster_listed_.clear();
  }
  ApplyRoster(hub, changes, true, now);
  if (full_roster_source_ != hub) {
    return;
  }
  for (const RosterEntry& entry : changes.entries) {
    full_roster_listed_.insert(entry.info.instance);
  }
  if (!changes.more) {
    full_roster_source_ = 0;
    roster_.RetainLive(full_roster_listed_);
  }
}

std::optional<DropReason> FleetExchange::OnMessage(const FleetMessage& message,
                                                   const std::string& from,
                                                   TimePoint now,
                                                   std::vector<Outgoing>& outgoing) {
  const auto dropped = Dispatch(message, from, now, outgoing);
  if (!dropped) {
    heard_at_ = now;
  }
  return dropped;
}

std::optional<DropReason> FleetExchange::Dispatch(const FleetMessage& message,
                                                  const std::string& from,
                                                  TimePoint now,
                                                  std::vector<Outgoing>& outgoing) {
  if (const auto* report = std::get_if<InstanceReport>(&message)) {
    return OnReport(*report, from, now, outgoing);
  }
  if (const auto* forward = std::get_if<HubForward>(&message)) {
    return OnForward(*forward, from, now);
  }
  return OnSummary(std::get<HubSummary>(message), from, now, outgoing);
}

std::optional<DropReason> FleetExchange::OnReport(const InstanceReport& report,
                                                  const std::string& from,
                                                  TimePoint now,
                                                  std::vector<Outgoing>& out) {
  const auto known = reporters_.find(report.info.instance);
  if (known != reporters_.end() && known->second.key == report.work.key &&
      report.work.sequence <= known->second.sequence) {
    return DropReason::kReplayed;
  }
  const std::optional<TimePoint> dated = EarliestSent(report.timing, now);
  const TimePoint sent_at = dated.value_or(now);
  if (!roster_.OnHeard(report.info, sent_at, now)) {
    return DropReason::kEarlierRun;
  }
  NoteTiming(report.work.key, report.timing, now);
  AcceptWork(report.work, sent_at, true);
  RecordQuarantine(report.quarantine, sent_at, now);
  hooks_.on_terms(report.terms, sent_at);
  RecordSegments(report.segments, now, true);
  RecordNotices(report.notices, from, true, dated, now);
  NoteContact(now);
  const auto [reporter, added] = reporters_.try_emplace(report.info.instance);
  if (added) {
    reporter->second.segment_cursor = all_segments_.end;
    // The other hubs may know it only through the hub that it used before.
    roster_.MarkChanged(report.info.instance);
  }
  reporter->second.reported_at = now;
  reporter->second.key = report.work.key;
  reporter->second.sequence = report.work.sequence;
  ReplyTo(report, from, now, out);
  return std::nullopt;
}

std::optional<DropReason> FleetExchange::OnForward(const HubForward& forward,
                                                   const std::string& from,
                                                   TimePoint now) {
  const std::optional<TimePoint> dated = EarliestSent(forward.timing, now);
  const TimePoint sent_at = dated.value_or(now);
  if (!roster_.OnHeard(forward.hub, sent_at, now)) {
    return DropReason::kEarlierRun;
  }
  HubLink& link = hubs_[forward.hub.instance];
  if (link.start_id != forward.hub.start_id) {
    link = {};
    link.start_id = forward.hub.start_id;
    link.segment_cursor = reported_segments_.end;
  }
  if (forward.sequence < link.sequence) {
    return DropReason::kReplayed;
  }
  NoteContact(now);
  NoteTiming(InstanceKey(forward.hub.instance, forward.hub.start_id), forward.timing, now);
  link.sequence = forward.sequence;
  if (forward.acts_as_hub) {
    link.heard_at = now;
  }
  link.unanswered_since = {};
  suspected_until_.erase(forward.hub.instance);
  const FleetRoster::Member* self = roster_.Find(roster_.self().instance);
  if (forward.ack.source == self->key && forward.ack.version <= roster_.version()) {
    link.acked = std::max(link.acked, forward.ack.version);
  }
  if (is_hub_ || !HasSummary(now)) {
    ApplyRoster(InstanceKey(forward.hub.instance, forward.hub.start_id), forward.roster, false,
                now);
  }
  for (const InstanceWork& work : forward.work) {
    AcceptWork(work, sent_at, false);
  }
  RecordSegments(forward.segments, now, false);
  RecordNotices(forward.notices, from, false, dated, now);
  RecordQuarantine(forward.quarantine, sent_at, now);
  hooks_.on_terms(forward.terms, sent_at);
  return std::nullopt;
}

std::optional<DropReason> FleetExchange::OnSummary(const HubSummary& summary,
                                                   const std::string& from,
                                                   TimePoint now,
                                                   std::vector<Outgoing>& out) {
  const auto asked = asked_.find(from);
  if (asked == asked_.end() || asked->second + timing_.silence < now) {
    return DropReason::kUnasked;
  }
  const std::optional<TimePoint> dated = EarliestSent(summary.timing, now);
  const TimePoint sent_at = dated.value_or(now);
  if (!roster_.OnHeard(summary.hub, sent_at, now)) {
    return DropReason::kEarlierRun;
  }
  const std::uint32_t key = InstanceKey(summary.hub.instance, summary.hub.start_id);
  std::uint64_t& last = last_summary_[key];
  if (summary.sequence <= last) {
    return DropReason::kReplayed;
  }
  last = summary.sequence;
  NoteContact(now);
  NoteTiming(key, summary.timing, now);
  suspected_until_.erase(summary.hub.instance);
  const bool from_hub = summary.hub.instance == hub_;
  if (from_hub) {
    ApplyHubRoster(key, summary.roster, now);
  } else if (is_hub_ || !HasSummary(now)) {
    ApplyRoster(key, summary.roster, false, now);
  }
  RecordSegments(summary.segments, now, false);
  RecordNotices(summary.notices, from, false, dated, now);
  RecordQuarantine(summary.quarantine, sent_at, now);
  hooks_.on_terms(summary.terms, sent_at);
  if (summary.roster.more && (from_hub || is_hub_)) {
    // The rest of the roster is asked for at once: a new instance knows few others so far.
    SendReport(from, key, AckFor(key), now, out);
  }
  if (!from_hub) {
    return std::nullopt;
  }
  unanswered_since_ = {};
  KeepTotals(summary, sent_at, now);
  return std::nullopt;
}

}  // namespace chiverail
