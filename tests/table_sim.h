#ifndef CHIVERAIL_TESTS_TABLE_SIM_H_
#define CHIVERAIL_TESTS_TABLE_SIM_H_

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "exchange_fleet.h"
#include "table_follower.h"
#include "table_version.h"

namespace chiverail {

// A fleet whose instances follow one table of the platform's store, in virtual time. The store
// holds responses back until there is a change, and may leave some instances without an answer.
class TableSim {
 public:
  static constexpr const char* kTable = "t";

  TableSim(int instances, int data_centres, ReadTiming timing, std::uint64_t seed)
      : fleet(instances, data_centres, seed), timing_(timing) {
    fleet.notices = [this](std::size_t i) { return Notices(i); };
    fleet.on_notice = [this](std::size_t i, const std::string& source, const TableNotice& notice) {
      if (followers_[i]->OnNotice(source, notice, View(i), fleet.now())) {
        Confirm(i, fleet.now() - notice.age);
      }
      Advance(i);
    };
    fleet.on_received = [this](std::size_t i) { FollowRoster(i); };
    copies_.resize(fleet.nodes.size());
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
      followers_.push_back(std::make_unique<TableFollower>(timing, seed * 1000 + i));
    }
    fleet.StartAll();
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
      fleet.queue().After(milliseconds(1000), [this, i] {
        followers_[i]->Start(fleet.now());
        Advance(i);
      });
    }
    fleet.Run(seconds(4));
  }

  // Commits a change. Polls that the store holds back are answered, except those of silenced
  // instances.
  void Commit() { SetStoreVersion(store_version_ + 1); }

  // The store comes back from an older copy: its counter goes back, and a new era begins. Polls
  // that it holds back get no answer.
  void Restore(std::uint64_t commits_lost) {
    held_.clear();
    SetStoreVersion(VersionIn(EraOf(store_version_) + 1, CounterOf(store_version_) - commits_lost));
  }

  // Stops an instance. What arrives meanwhile waits for it.
  void Pause(std::size_t i) { fleet.Pause(i); }

  // Lets an instance go on: it reads the datagrams and the responses that have arrived, in this
  // order, before its timers run.
  void Resume(std::size_t i) {
    fleet.Resume(i);
    for (const auto& end : std::exchange(ends_[i], {})) {
      end();
    }
    Advance(i);
  }

  // Time as of which an instance takes its rows for the newest ones.
  TimePoint AsOf(std::size_t i) const { return copies_[i].as_of; }

  // Runs until an instance has confirmed its rows as of `time` or later; returns how long it took.
  Duration UntilConfirmed(std::size_t i, TimePoint time, Duration limit) {
    const TimePoint start = fleet.now();
    while (fleet.now() < start + limit && copies_[i].as_of < time) {
      fleet.Run(milliseconds(1));
    }
    return fleet.now() - start;
  }

  // Runs until all running instances have the newest rows; returns how long ago these were
  // committed.
  Duration UntilInForce(Duration limit) {
    while (fleet.now() < committed_at_ + limit && Lagging() > 0) {
      fleet.Run(milliseconds(1));
    }
    return fleet.now() - committed_at_;
  }

  // Running instances without the newest rows.
  std::size_t Lagging() const {
    std::size_t lagging = 0;
    for (std::size_t i = 0; i < copies_.size(); ++i) {
      lagging += fleet.nodes[i].exchange && copies_[i].version < store_version_ ? 1 : 0;
    }
    return lagging;
  }

  // Instances that read the store itself at present.
  std::vector<std::size_t> Readers() const {
    std::vector<std::size_t> readers;
    for (std::size_t i = 0; i < copies_.size(); ++i) {
      if (fleet.nodes[i].exchange && followers_[i]->FromStore()) {
        readers.push_back(i);
      }
    }
    return readers;
  }

  ExchangeFleet fleet;
  std::set<std::size_t> silenced;  // get no answers from the store
  int store_calls = 0;
  int false_confirmations = 0;  // rows taken for the newest ones as of a time when they were not

 private:
  struct Copy {
    std::uint64_t version = 0;
    TimePoint as_of{};
  };

  void Confirm(std::size_t i, TimePoint as_of) {
    Copy& copy = copies_[i];
    copy.as_of = std::max(copy.as_of, as_of);
    const auto superseded = superseded_at_.find(copy.version);
    const bool newest = superseded == superseded_at_.end() || superseded->second > copy.as_of;
    false_confirmations += newest ? 0 : 1;
  }

  SourceView View(std::size_t i) const {
    const FleetRoster& roster = fleet.nodes[i].exchange->roster();
    return {roster.StoreReaders(), roster.live_count(), roster.DirectReadTurn()};
  }

  std::vector<TableNotice> Notices(std::size_t i) const {
    const Copy& copy = copies_[i];
    if (!followers_[i]->FromStore() || copy.as_of + timing_.max_age < fleet.now()) {
      return {};
    }
    return {{kTable, copy.version, fleet.now() - copy.as_of, {}}};
  }

  void FollowRoster(std::size_t i) {
    const FleetRoster& roster = fleet.nodes[i].exchange->roster();
    std::uint64_t& known = roster_versions_[i];
    if (known == roster.version()) {
      return;
    }
    known = roster.version();
    for (const auto& [id, member] : roster.members()) {
      if (!member.live || !member.info.store_reachable) {
        followers_[i]->OnSourceLost(member.info.peer_address, fleet.now());
      }
    }
    followers_[i]->OnRosterChange(View(i), fleet.now());
    Advance(i);
  }

  void Advance(std::size_t i) {
    if (!fleet.nodes[i].exchange || fleet.nodes[i].paused) {
      return;
    }
    if (const auto read = followers_[i]->Next(View(i), fleet.now())) {
      const std::uint64_t call = followers_[i]->call();
      const std::uint64_t after = followers_[i]->version();
      fleet.queue().After(read->timeout,
                          [this, i, call] { End(i, call, ReadResult::kSilent, {}); });
      if (read->source == SourceChoice::kStore) {
        CallStore(i, call, after, *read);
      } else {
        fleet.queue().After(milliseconds(2), [this, i, call, source = read->source] {
          CallInstance(i, call, source);
        });
      }
      return;
    }
    const TimePoint next = followers_[i]->next_at();
    if (next != TimePoint::max()) {
      fleet.queue().At(next, [this, i] { Advance(i); });
    }
  }

  void SetStoreVersion(std::uint64_t version) {
    committed_at_ = fleet.now();
    superseded_at_[store_version_] = committed_at_;
    store_version_ = version;
    for (auto& poll : std::exchange(held_, {})) {
      poll();
    }
  }

  void CallStore(std::size_t i, std::uint64_t call, std::uint64_t after, const TableRead& read) {
    ++store_calls;
    const TimePoint sent_at = fleet.now();
    const auto answer = [this, i, call, sent_at, after, listing = read.listing] {
      if (silenced.count(i) == 0) {
        const Copy rows{store_version_, sent_at};
        const bool history_gone = !listing && EraOf(after) != EraOf(store_version_);
        const ReadResult result = history_gone ? ReadResult::kHistoryGone : ReadResult::kRows;
        fleet.queue().After(milliseconds(4), [=] { End(i, call, result, rows); });
      }
    };
    if (read.listing || after < store_version_) {
      answer();
      return;
    }
    auto answered = std::make_shared<bool>(false);
    const auto once = [answer, answered] {
      if (!std::exchange(*answered, true)) {
        answer();
      }
    };
    held_.emplace_back(once);
    fleet.queue().After(read.hold, once);
  }

  void CallInstance(std::size_t i, std::uint64_t call, const std::string& source) {
    for (std::size_t j = 0; j < fleet.nodes.size(); ++j) {
      const ExchangeFleet::Node& node = fleet.nodes[j];
      if (node.address != source || !node.exchange || node.paused) {
        continue;
      }
      const bool recent = fleet.now() <= copies_[j].as_of + timing_.max_age;
      End(i, call, recent ? ReadResult::kRows : ReadResult::kRefused, copies_[j]);
    }
  }

  void End(std::size_t i, std::uint64_t call, ReadResult result, Copy rows) {
    TableFollower& follower = *followers_[i];
    if (fleet.nodes[i].paused) {
      ends_[i].emplace_back([=] { End(i, call, result, rows); });
      return;
    }
    if (!fleet.nodes[i].exchange || !follower.IsCurrent(call)) {
      return;
    }
    if (result == ReadResult::kRows && rows.version < copies_[i].version) {
      result = ReadResult::kRefused;
    }
    const bool from_store = follower.source() == SourceChoice::kStore;
    const bool changed = rows.version > copies_[i].version;
    follower.OnRead(result, rows.version, changed, fleet.now());
    if (result == ReadResult::kRows) {
      copies_[i].version = std::max(copies_[i].version, rows.version);
      Confirm(i, rows.as_of);
    }
    const bool healthy = follower.StoreHealthy(fleet.now());
    ExchangeFleet::Node& node = fleet.nodes[i];
    const bool lost = node.store_reachable && !healthy;
    node.store_reachable = healthy;
    if (lost || (from_store && changed && result == ReadResult::kRows)) {
      fleet.Announce(i);
    }
    Advance(i);
  }

  ReadTiming timing_;
  std::vector<std::unique_ptr<TableFollower>> followers_;
  std::vector<Copy> copies_;
  std::map<std::size_t, std::uint64_t> roster_versions_;
  std::vector<std::function<void()>> held_;
  std::map<std::size_t, std::vector<std::function<void()>>> ends_;  // of calls of paused instances
  std::map<std::uint64_t, TimePoint> superseded_at_;  // when versions ceased to be the newest
  std::uint64_t store_version_ = VersionIn(3, 1);
  TimePoint committed_at_{};
};

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_TABLE_SIM_H_
