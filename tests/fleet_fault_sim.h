#ifndef CHIVERAIL_TESTS_FLEET_FAULT_SIM_H_
#define CHIVERAIL_TESTS_FLEET_FAULT_SIM_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "config_publisher.h"
#include "sim_instances.h"
#include "sim_report.h"

namespace chiverail {

// A fleet with six engines and, by default, four instances in dc1 and two in dc2, subject to a
// schedule of faults and to configuration changes by operators. Checks the invariants after every
// event.
class FleetFaultSim : public SimInstances {
 public:
  explicit FleetFaultSim(std::uint64_t seed, int dc1 = 4, int dc2 = 2) : SimInstances(seed, 6) {
    for (int engines = 0; engines < 10; ++engines) {
      manifests_by_size_.push_back(ManifestWith(engines));
    }
    table_.on_commit = [this](const TableTransaction& written) { OnCommit(written); };
    for (int i = 0; i < dc1 + dc2; ++i) {
      Add("i" + std::to_string(i), i < dc1 ? "dc1" : "dc2");
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      events_.At(At(0.3 * static_cast<double>(i)), [this, i] { StartNode(i); });
    }
    events_.At(At(0.1), [this] { SubmitChange(SetManifest{"m6.0"}, "operator0"); });
  }

  // Runs up to `end` seconds and returns the report so far.
  SimReport Run(double end) {
    events_.RunUntil(At(end), [this] { CheckInvariants(); });
    for (Revision revision = 1; revision <= report_.revisions; ++revision) {
      const std::string audit = table_.Value(AuditKey(revision));
      if (audit.empty() || ParseAudit(audit).nonce != commits_[revision].nonce) {
        ++report_.missing_audits;
      }
    }
    return report_;
  }

  // Schedules configuration changes by operators every few seconds, sometimes two at once.
  void ScheduleChangesUntil(double end) {
    for (double time = 12; time < end; time += 3 + RandomUnit() * 6) {
      events_.At(At(time), [this] { SubmitRandomChange("operator1"); });
      if (random_.Below(3) == 0) {
        events_.At(At(time + RandomUnit() * 0.01), [this] { SubmitRandomChange("operator2"); });
      }
    }
  }

  // Schedules a fault that begins at `start` and lasts `length` seconds.
  void Schedule(Fault fault, double start, double length) {
    const std::size_t victim = random_.Below(nodes_.size());
    schedule_ += std::string(NameOf(kFaultNames, fault)) + "(i" + std::to_string(victim) + " " +
                 std::to_string(start).substr(0, 5) + "+" + std::to_string(length).substr(0, 5) +
                 ") ";
    events_.At(At(start), [=] { Begin(fault, victim); });
    events_.At(At(start + length), [=] { End(fault, victim); });
    for (double time = start; fault == Fault::kTableFlaps && time < start + length; time += 2) {
      events_.At(At(time), [=] { Begin(Fault::kTableDown, victim); });
      events_.At(At(time + 1), [=] { End(Fault::kTableDown, victim); });
    }
  }

  // Schedules the faults of a seed: a single one, three that begin within 12 s, or one fault twice
  // together with another.
  void ScheduleFaults() {
    const auto pick = [this] {
      return static_cast<Fault>(random_.Below(static_cast<std::uint64_t>(Fault::kCount)));
    };
    const std::uint64_t style = random_.Below(3);
    const Fault first = pick();
    const double start = 30 + RandomUnit() * 4;
    Schedule(first, start, RandomLength());
    if (style >= 1) {
      Schedule(pick(), start + RandomUnit() * 12, RandomLength());
    }
    if (style == 1) {
      Schedule(pick(), start + RandomUnit() * 12, RandomLength());
    }
    if (style == 2) {
      Schedule(first, start + 3 + RandomUnit() * 25, RandomLength());
    }
  }

  // Schedules two pauses while the table is slow: the answer to a renewal may reach the paused
  // holder only after the lease has lapsed.
  void SchedulePausesWhileTableIsSlow() {
    Schedule(Fault::kTableSlow, 25, 60);
    Schedule(Fault::kPause, 30 + RandomUnit() * 5, 18 + RandomUnit() * 16);
    Schedule(Fault::kPause, 32 + RandomUnit() * 12, 18 + RandomUnit() * 16);
  }

  // Lists started instances (including paused ones) that are not members, lack the newest
  // configuration or refuse work, and engines without a sole owner that holds its lease. Engines of
  // data centres in which every instance is leaving are left out. Empty when the fleet has
  // recovered.
  std::string DescribeUnrecovered() {
    std::string unrecovered;
    std::set<std::size_t> owned;
    std::set<DataCentreId> served;  // data centres with an instance that is not leaving
    for (Node& node : nodes_) {
      if (!node.alive) {
        continue;
      }
      if (node.membership->self().state == MemberState::kLive) {
        served.insert(node.self.data_centre);
      }
      const bool member = node.membership->HoldsLease(events_.now());
      const bool newest = node.follower->InForce().revision == report_.revisions;
      unrecovered +=
          member && newest && node.follower->AcceptsWork(events_.now())
              ? ""
              : node.self.id + (member ? " lacks the newest configuration or refuses work; "
                                       : " is not a member; ");
      for (std::size_t engine = 0; engine < 6; ++engine) {
        if (member && Owns(node, engine)) {
          owned.insert(engine);
        }
      }
    }
    for (std::size_t engine = 0; engine < 6; ++engine) {
      const Upstream& upstream = manifests_by_size_.back()->upstreams[engine];
      const bool has_owner = owned.count(engine) > 0 || served.count(upstream.data_centre) == 0;
      unrecovered += has_owner ? "" : upstream.id + " has no owner; ";
    }
    return unrecovered;
  }

  const std::string& schedule() const { return schedule_; }
  double now() const {
    return std::chrono::duration<double>(events_.now().time_since_epoch()).count();
  }

 private:
  struct Commit {
    TimePoint time;
    std::string nonce;
    std::set<DataCentreId> data_centres_out;
  };

  double RandomLength() { return 2 + RandomUnit() * 34; }

  // Counter of the active faults of this kind; null for faults that Schedule, Begin and End handle
  // without a counter.
  int* ActiveCount(Fault fault, Node& node) {
    switch (fault) {
      case Fault::kPause:
        return &node.paused;
      case Fault::kCutTable:
        return &node.cut_table;
      case Fault::kCutPeers:
        return &node.cut_peers;
      case Fault::kTableDown:
        return &down_;
      case Fault::kTableSlow:
        return &slow_;
      case Fault::kLostAnswers:
        return &lost_answers_;
      case Fault::kLostMessages:
        return &lost_messages_;
      case Fault::kObjectsDown:
        return &objects_down_;
      case Fault::kCutMajority:
        return &majority_cut_;
      case Fault::kCutDataCentre:
        return &data_centre_cut_;
      default:
        return nullptr;
    }
  }

  void Begin(Fault fault, std::size_t victim) {
    Node& node = nodes_[victim];
    if (fault == Fault::kKill || fault == Fault::kRestart) {
      node.alive = false;
    } else if (fault == Fault::kCutBoth) {
      ++node.cut_table;
      ++node.cut_peers;
    } else if (fault == Fault::kJoin) {
      Add("j" + std::to_string(nodes_.size()), random_.Below(2) == 0 ? "dc1" : "dc2");
      StartNode(nodes_.size() - 1);
    } else if (fault == Fault::kLeave && IsRunning(node)) {
      Perform(victim, node.membership->Leave(events_.now()));
    } else if (int* active = ActiveCount(fault, node)) {
      ++*active;
    }
    UpdatePlatform();
  }

  void End(Fault fault, std::size_t victim) {
    Node& node = nodes_[victim];
    if (fault == Fault::kRestart && !node.alive) {
      StartNode(victim);
    } else if (fault == Fault::kCutBoth) {
      --node.cut_table;
      --node.cut_peers;
    } else if (int* active = ActiveCount(fault, node)) {
      --*active;
    }
    UpdatePlatform();
    if (fault == Fault::kPause && IsRunning(node)) {
      Resume(node);
    }
  }

  void UpdatePlatform() {
    table_.down = down_ > 0;
    table_.lost_answers = lost_answers_ > 0 ? 0.5 : 0.0;
    objects_.down = objects_down_ > 0;
  }

  // The invariants must hold right after a pause, before any of the held-back events is handled.
  void Resume(Node& node) {
    CheckInvariants();
    while (!node.inbox.empty()) {
      const std::function<void()> event = std::move(node.inbox.front());
      node.inbox.pop_front();
      event();
      CheckInvariants();
    }
  }

  void SubmitRandomChange(const std::string& author) {
    switch (random_.Below(3)) {
      case 0:
        SubmitChange(TakeOutDataCentre{"dc2"}, author);
        break;
      case 1:
        SubmitChange(RestoreDataCentre{"dc2"}, author);
        break;
      default:
        // The number of engines grows with the number of changes, up to nine. The counter also
        // numbers the nonces, so a change of the manifest advances it by two and any other by one.
        ++last_id_;
        SubmitChange(
            SetManifest{"m" + std::to_string(std::min<std::uint64_t>(6 + last_id_ / 3, 9)) + "." +
                        std::to_string(last_id_)},
            author);
        break;
    }
  }

  void SubmitChange(ConfigChange change, const std::string& author) {
    ChangeRequest request;
    request.change = std::move(change);
    request.author = author;
    request.nonce = "nonce" + std::to_string(++last_id_);
    request.seed = random_.Next();
    auto publisher = std::make_shared<ConfigPublisher>(request, events_.now());
    PublishTick(publisher);
  }

  void PublishTick(const std::shared_ptr<ConfigPublisher>& publisher) {
    Publish(publisher, publisher->Tick(events_.now()));
    if (!publisher->IsDone()) {
      events_.After(milliseconds(100), [=] { PublishTick(publisher); });
    }
  }

  void Publish(const std::shared_ptr<ConfigPublisher>& publisher, const PublishActions& actions) {
    for (const PublishAction& action : actions) {
      if (const auto* write_objects = std::get_if<WriteManifestObjects>(&action)) {
        const bool written = objects_.Put(write_objects->hash, "manifest");
        events_.After(milliseconds(5),
                      [=] { Publish(publisher, publisher->OnObjects(written, events_.now())); });
      } else if (const auto* read = std::get_if<ReadRow>(&action)) {
        const ReadRow copy = *read;
        events_.After(Latency(), [=] {
          const TableReadResult result = table_.Read(copy.key);
          events_.After(Latency(), [=] {
            Publish(publisher, publisher->OnRead(copy.op, result, events_.now()));
          });
        });
      } else if (const auto* write = std::get_if<WriteRows>(&action)) {
        const WriteRows copy = *write;
        events_.After(Latency(), [=] {
          const TableWriteResult result = table_.Write(copy.transaction);
          events_.After(Latency(), [=] {
            Publish(publisher, publisher->OnWrite(copy.op, result, events_.now()));
          });
        });
      }
    }
  }

  void OnCommit(const TableTransaction& written) {
    for (const TablePut& put : written.puts) {
      if (put.key == kHeadKey) {
        const HeadRow head = ParseHead(put.value);
        commits_[head.revision] = {events_.now(), head.nonce, head.data_centres_out};
        report_.revisions = std::max(report_.revisions, head.revision);
      }
    }
  }

  void NaiveApply(std::size_t i, Revision revision) override {
    Node& node = nodes_[i];
    if (revision < node.naive_highest) {
      ++report_.naive_reverts;
    }
    node.naive_revision = revision;
    node.naive_highest = std::max(node.naive_highest, revision);
  }

  // Manifests are named m<engines>.<counter>.
  std::shared_ptr<const Manifest> ManifestOf(const std::string& hash) override {
    return manifests_by_size_[static_cast<std::size_t>(hash[1] - '0')];
  }

  bool IsRunning(const Node& node) const { return node.alive && node.paused == 0; }

  // Whether more than half of the started instances, in the node's data centre or in the whole
  // fleet, were unable to reach the table within the last kVerdictValidity. Paused instances count
  // as unable to reach it.
  bool IsMajorityCut(const Node& node, bool whole_fleet) const {
    const TimePoint recently = events_.now() - kVerdictValidity;
    std::size_t instances = 0;
    std::size_t cut = 0;
    for (const Node& other : nodes_) {
      if (other.alive && (whole_fleet || other.self.data_centre == node.self.data_centre)) {
        ++instances;
        cut += (whole_fleet && WasDownRecently()) || other.last_unreachable > recently ? 1 : 0;
      }
    }
    return 2 * cut > instances;
  }

  bool WasDownRecently() const { return last_down_ + kVerdictValidity > events_.now(); }

  bool IsSeenByAny(Revision revision) const {
    return std::any_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
      return IsRunning(node) && node.follower->HighestSeen() >= revision;
    });
  }

  void RecordViolation(int& counter, const std::string& text) {
    ++counter;
    if (report_.first_violation.empty()) {
      report_.first_violation = text + " at " + std::to_string(now()) + " s";
    }
  }

  void CheckInvariants() {
    last_down_ = table_.down ? events_.now() : last_down_;
    last_objects_down_ = objects_.down ? events_.now() : last_objects_down_;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!IsRunning(nodes_[i]) || CutFromTable(i)) {
        nodes_[i].last_unreachable = events_.now();
      }
    }
    CheckGrants();
    CheckConfiguration();
  }

  // Whether the instance is the sole owner of the engine; cached until its next event.
  bool Owns(Node& node, std::size_t engine) {
    if (!node.owned_valid) {
      node.owned_valid = true;
      node.owned = 0;
      const auto& engines = manifests_by_size_.back()->upstreams;
      for (std::size_t i = 0; i < engines.size(); ++i) {
        node.owned |= node.ownership->IsSoleOwner(engines[i].id) ? 1U << i : 0U;
      }
    }
    return (node.owned >> engine & 1U) != 0;
  }

  // Checks that at most one instance may grant slots of an engine. For comparison, it also counts
  // the engines whose slots several owners would grant if a lease were valid for kLeaseValidity
  // from the arrival of the answer to its renewal (the naive lease).
  void CheckGrants() {
    const auto& engines = manifests_by_size_.back()->upstreams;
    for (std::size_t engine = 0; engine < engines.size(); ++engine) {
      const Node* granter = nullptr;
      int naive_granters = 0;
      bool granted = false;
      for (Node& node : nodes_) {
        if (!IsRunning(node) || !Owns(node, engine)) {
          continue;
        }
        naive_granters += events_.now() < node.naive_valid_until ? 1 : 0;
        if (!node.membership->MayGrant(events_.now()) ||
            !node.follower->AcceptsWork(events_.now())) {
          continue;
        }
        granted = true;
        report_.frozen_grants += node.membership->IsFrozen(events_.now()) ? 1 : 0;
        if (granter != nullptr) {
          RecordDualGrant(*granter, node, engines[engine].id);
        }
        granter = &node;
      }
      report_.naive_dual_grants += naive_granters > 1 ? 1 : 0;
      const bool always_declared = engine < 6;
      report_.grant_checks += always_declared ? 1 : 0;
      report_.granted += always_declared && granted ? 1 : 0;
    }
  }

  // Dual grants are a known limitation, and counted separately, if one of the instances relies on
  // its frozen view while most instances of its data centre cannot reach the table (see SimReport).
  void RecordDualGrant(const Node& one, const Node& other, const UpstreamId& engine) {
    const auto in_majority_cut = [&](const Node& node) {
      return node.membership->IsFrozen(events_.now()) && IsMajorityCut(node, false);
    };
    if (in_majority_cut(one) || in_majority_cut(other)) {
      ++report_.dual_grants_in_gap;
    } else {
      RecordViolation(report_.dual_grants,
                      one.self.id + " and " + other.self.id + " both grant for " + engine);
    }
  }

  void CheckConfiguration() {
    Revision required_revision = 0;
    for (auto commit = commits_.rbegin(); commit != commits_.rend(); ++commit) {
      if (commit->second.time + kConfigurationDeadline <= events_.now()) {
        required_revision = commit->first;
        break;
      }
    }
    for (Node& node : nodes_) {
      if (!IsRunning(node)) {
        continue;
      }
      report_.naive_stale +=
          node.naive_revision != 0 && node.naive_revision < required_revision ? 1 : 0;
      if (!node.follower->AcceptsWork(events_.now())) {
        continue;
      }
      const Revision in_force = node.follower->InForce().revision;
      // A revision whose only reader has stopped cannot be found while the table is down. This is
      // tolerated until kVerdictValidity after the table is back, because the next poll follows
      // within 2.2 s.
      const bool only_reader_stopped =
          WasDownRecently() && (!table_.down || !IsSeenByAny(node.highest_served));
      if (in_force < node.highest_served && only_reader_stopped) {
        ++report_.reverts_in_gap;
      } else if (in_force < node.highest_served) {
        RecordViolation(report_.reverts,
                        node.self.id + " reverted to revision " + std::to_string(in_force));
      }
      node.highest_served = std::max(node.highest_served, in_force);
      const bool table_down = node.follower->Isolation(events_.now()) == IsolationState::kTableDown;
      const bool majority_cut = table_down && IsMajorityCut(node, true);
      const bool unfetchable = table_down && node.follower->HighestSeen() >= required_revision &&
                               last_objects_down_ + seconds(2) > events_.now();
      if (in_force < required_revision && majority_cut) {
        ++report_.stale_in_gap;
      } else if (in_force < required_revision && unfetchable) {
        ++report_.stale_unfetchable;
      } else if (in_force < required_revision) {
        RecordViolation(report_.stale, node.self.id + " serves with revision " +
                                           std::to_string(in_force) + " instead of " +
                                           std::to_string(required_revision));
      }
      const bool seen_or_excused =
          node.follower->HighestSeen() >= required_revision || majority_cut;
      if (required_revision != 0 && seen_or_excused && !majority_cut &&
          commits_[node.follower->HighestSeen()].data_centres_out != node.data_centres_out) {
        RecordViolation(report_.out_ignored,
                        node.self.id + " does not treat the right data centres as out of service");
      }
    }
  }

  std::map<Revision, Commit> commits_;
  SimReport report_;
  std::uint64_t last_id_ = 0;  // number in the last manifest name or nonce
  std::vector<std::shared_ptr<const Manifest>> manifests_by_size_;
  std::string schedule_;
  TimePoint last_objects_down_{};
  TimePoint last_down_{};  // last time at which the table was down for everyone
  int down_ = 0;
  int lost_answers_ = 0;
  int objects_down_ = 0;
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_FLEET_FAULT_SIM_H_
