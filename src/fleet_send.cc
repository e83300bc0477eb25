// FleetExchange: the messages that it sends.

#include <algorithm>
#include <utility>

#include "fleet_exchange.h"

namespace chiverail {
namespace {

std::uint64_t ClockMilliseconds(TimePoint time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count());
}

// Addresses that are tried at once, and those of instances that have fallen silent among them.
constexpr std::size_t kProbesAtOnce = 6;
constexpr std::size_t kProbesOfSilent = 2;

// Instances in one message of a forward, so that it fits into a few packets.
constexpr std::size_t kMaxWorkEntries = 24;

// Own reports kept until a summary includes them.
constexpr std::size_t kMaxOwnReports = 16;

}  // namespace

InstanceWork FleetExchange::OwnWork() {
  InstanceWork work;
  work.key = InstanceKey(roster_.self().instance, roster_.self().start_id);
  work.sequence = ++sequence_;
  work.loads = hooks_.loads();
  work.services = hooks_.services();
  return work;
}

RosterAck FleetExchange::AckFor(std::uint32_t source) const {
  const auto found = roster_versions_.find(source);
  return {source, found == roster_versions_.end() ? 0 : found->second};
}

MessageTiming FleetExchange::StampFor(std::uint32_t receiver, TimePoint now) const {
  MessageTiming timing;
  timing.sent_ms = ClockMilliseconds(now);
  const auto heard = heard_.find(receiver);
  if (heard != heard_.end()) {
    timing.echo_key = receiver;
    timing.echo_ms = heard->second.sent_ms;
    timing.held_ms = ClockMilliseconds(TimePoint(now - heard->second.read_at));
  }
  return timing;
}

void FleetExchange::CollectOwnSegments() {
  for (const CachedSegment& segment : hooks_.take_segments()) {
    reported_segments_.Add(segment);
    all_segments_.Add(segment);
  }
}

void FleetExchange::SendReport(const std::string& address,
                               std::uint32_t receiver,
                               RosterAck ack,
                               TimePoint now,
                               std::vector<Outgoing>& out) {
  InstanceReport report;
  report.info = roster_.self();
  report.work = OwnWork();
  own_reports_.push_back({report.work.sequence, report.work.loads, report.work.services});
  if (own_reports_.size() > kMaxOwnReports) {
    own_reports_.pop_front();
  }
  report.notices = hooks_.notices();
  report.quarantine = hooks_.quarantine(now);
  report.terms = hooks_.terms(now);
  report.ack = ack;
  report.upstream_set = upstream_set_;
  report.timing = StampFor(receiver, now);
  asked_[address] = now;
  out.push_back({address, std::move(report)});
}

void FleetExchange::ReportToHub(TimePoint now, std::vector<Outgoing>& out) {
  const FleetRoster::Member* hub = roster_.Find(hub_);
  if (hub == nullptr) {
    return;
  }
  unanswered_since_ = unanswered_since_ == TimePoint{} ? now : unanswered_since_;
  SendReport(hub->info.peer_address, hub->key, AckFor(hub->key), now, out);
  std::get<InstanceReport>(out.back().message).segments = hooks_.take_segments();
}

// Sends a hub the work that has arrived since the last forward to it.
void FleetExchange::SendForward(const FleetRoster::Member& hub,
                                TimePoint now,
                                std::vector<Outgoing>& out) {
  HubLink& link = hubs_[hub.info.instance];
  if (link.unanswered_since == TimePoint{}) {
    link.unanswered_since = now;
  }
  const auto is_reported = [&](const FleetRoster::Member& member) {
    if (member.info.instance == roster_.self().instance) {
      return true;
    }
    const auto reporter = reporters_.find(member.info.instance);
    return reporter != reporters_.end() && now < reporter->second.reported_at + timing_.silence;
  };
  HubForward first;
  first.hub = roster_.self();
  first.acts_as_hub = ActsAsHub(now);
  first.roster = roster_.ChangesAfter(link.acked, kMaxRosterEntries, is_reported);
  first.ack = AckFor(hub.key);
  first.segments = reported_segments_.Take(link.segment_cursor);
  first.notices = hooks_.notices();
  notice_relay_.AddReported(first.notices, now);
  first.quarantine = hooks_.quarantine(now);
  first.terms = hooks_.terms(now);
  first.timing = StampFor(hub.key, now);
  first.work.push_back(OwnWork());
  std::vector<HubForward> forwards{std::move(first)};
  for (const auto& [key, peer] : work_) {
    if (peer.stamp <= link.work_stamp) {
      continue;
    }
    if (forwards.back().work.size() == kMaxWorkEntries) {
      HubForward next;
      next.hub = roster_.self();
      next.acts_as_hub = ActsAsHub(now);
      next.ack = AckFor(hub.key);
      next.timing = StampFor(hub.key, now);
      // No roster: an empty range that starts at the receiver's version changes nothing.
      next.roster.from = next.roster.version = link.acked;
      forwards.push_back(std::move(next));
    }
    InstanceWork work = peer.work;
    work.age = now - peer.as_of;
    forwards.back().work.push_back(std::move(work));
  }
  link.work_stamp = last_stamp_;
  // Datagrams of one forward may overtake each other, so they share a sequence number.
  const std::uint64_t sequence = ++sequence_;
  for (HubForward& forward : forwards) {
    forward.sequence = sequence;
    out.push_back({hub.info.peer_address, std::move(forward)});
  }
}

void FleetExchange::SendForwards(TimePoint now, std::vector<Outgoing>& out) {
  if (is_hub_) {
    CollectOwnSegments();
  }
  const bool acts_as_hub = ActsAsHub(now);
  const std::set<InstanceId> targets = ForwardTargets(now);
  for (auto& [id, link] : hubs_) {
    if (!acts_as_hub || targets.count(id) == 0) {
      link.unanswered_since = {};  // no answer is expected
    } else if (link.unanswered_since != TimePoint{} &&
               link.unanswered_since + timing_.hub_timeout <= now) {
      suspected_until_[id] = now + kSuspicionTime;
      link.unanswered_since = {};
    }
  }
  for (const InstanceId& id : targets) {
    if (const FleetRoster::Member* hub = roster_.Find(id)) {
      SendForward(*hub, now, out);
    }
  }
}

const FleetRoster::Member* FleetExchange::FindByAddress(const std::string& address) const {
  for (const auto& [id, member] : roster_.members()) {
    if (member.live && member.info.peer_address == address) {
      return &member;
    }
  }
  return nullptr;
}

std::size_t FleetExchange::Draw(std::size_t count) {
  random_ = random_ * 6364136223846793005u + 1442695040888963407u;
  return static_cast<std::size_t>(random_ >> 33) % count;
}

std::vector<std::string> FleetExchange::TakeSome(std::vector<std::string> addresses,
                                                 std::size_t count) {
  count = std::min(count, addresses.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(addresses[i], addresses[i + Draw(addresses.size() - i)]);
  }
  addresses.resize(count);
  return addresses;
}

// Reports to addresses at which there may be instances that this one does not know: those that the
// platform lists, the seeds at first, and for a hub instances that have fallen silent, since they
// may be the other side of a network partition that has ended.
void FleetExchange::ProbeAddresses(TimePoint now, std::vector<Outgoing>& out) {
  std::vector<std::string> unknown;
  for (auto entry = probes_left_.begin(); entry != probes_left_.end();) {
    if (entry->second == 0 || FindByAddress(entry->first) != nullptr) {
      entry = probes_left_.erase(entry);
    } else {
      unknown.push_back(entry->first);
      ++entry;
    }
  }
  std::vector<std::string> probed = TakeSome(std::move(unknown), kProbesAtOnce);
  for (const std::string& address : probed) {
    --probes_left_.at(address);
  }
  const bool alone = roster_.live_count() == 1;
  const bool finds_others = now < started_at_ + kSeedTime && (is_hub_ || !HasSummary(now));
  if (!seeds_.empty() && (alone || finds_others)) {
    probed.push_back(seeds_[Draw(seeds_.size())]);
  }
  if (is_hub_) {
    std::vector<std::string> silent;
    for (const auto& [id, member] : roster_.members()) {
      if (!member.live && !member.info.leaving) {
        silent.push_back(member.info.peer_address);
      }
    }
    const auto some = TakeSome(std::move(silent), alone ? kProbesAtOnce : kProbesOfSilent);
    probed.insert(probed.end(), some.begin(), some.end());
  }
  for (const std::string& address : probed) {
    const FleetRoster::Member* known = FindByAddress(address);
    SendReport(address, known == nullptr ? 0 : known->key,
               known == nullptr ? RosterAck{} : AckFor(known->key), now, out);
  }
}

void FleetExchange::ReplyTo(const InstanceReport& report,
                            const std::string& address,
                            TimePoint now,
                            std::vector<Outgoing>& out) {
  const Totals& totals = CurrentTotals(now);
  const FleetRoster::Member* self = roster_.Find(roster_.self().instance);
  HubSummary summary;
  summary.hub = roster_.self();
  summary.sequence = ++sequence_;
  summary.answers = report.work.sequence;
  summary.age = totals.age + (now - totals_at_);
  for (const auto& [tag, requests] : totals.loads) {
    summary.loads.push_back({tag, requests});
  }
  for (const auto& [service, use] : totals.services) {
    summary.services.push_back(use);
  }
  const std::uint64_t acked = report.ack.source == self->key ? report.ack.version : 0;
  const bool settled = IsSettled(now);
  summary.roster = roster_.ChangesAfter(
      acked, kMaxRosterEntries,
      [settled](const FleetRoster::Member& member) { return settled || member.live; });
  if (!settled && !summary.roster.more) {
    summary.roster.version = acked;  // sent again once this instance is settled
  }
  summary.segments = all_segments_.Take(reporters_.at(report.info.instance).segment_cursor);
  summary.notices = hooks_.notices();
  notice_relay_.AddForReporter(summary.notices, InstanceRank(report.info.instance), now);
  summary.quarantine = hooks_.quarantine(now);
  summary.terms = hooks_.terms(now);
  summary.timing = StampFor(report.work.key, now);
  out.push_back({address, std::move(summary), report.upstream_set == upstream_set_});
}

}  // namespace chiverail
