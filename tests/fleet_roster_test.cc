#include "fleet_roster.h"

#include <set>

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};
constexpr Duration kSilence = milliseconds(2500);

InstanceInfo Info(const std::string& name, std::uint64_t revision = 1) {
  InstanceInfo info;
  info.instance = name;
  info.start_id = 5;
  info.revision = revision;
  info.peer_address = name + ":7000";
  info.caller_address = name + ":80";
  info.data_centre = "west";
  info.accepting = true;
  info.store_reachable = true;
  return info;
}

std::set<std::string> CallerAddresses(const FleetRoster& roster) {
  std::set<std::string> addresses;
  for (const DirectoryEntry& entry : roster.CallerEntries()) {
    addresses.insert(entry.address);
  }
  return addresses;
}

using Addresses = std::set<std::string>;

}  // namespace

TEST_CASE("Callers get the addresses of instances that accept requests") {
  FleetRoster roster(Info("self"));
  roster.OnHeard(Info("a"), kStart, kStart);
  CHECK(CallerAddresses(roster) == Addresses{"self:80", "a:80"});

  SECTION("an instance that was not heard of is not listed") {
    roster.MarkSilent(kStart + kSilence, kSilence);
    CHECK(CallerAddresses(roster) == Addresses{"self:80"});
    CHECK(roster.live_count() == 1);
  }
  SECTION("a leaving instance is no longer listed") {
    InstanceInfo leaving = Info("a", 2);
    leaving.leaving = true;
    roster.OnHeard(leaving, kStart, kStart);
    CHECK(CallerAddresses(roster) == Addresses{"self:80"});
  }
  SECTION("this instance is not listed while it does not accept requests and another does") {
    InstanceInfo not_accepting = Info("self");
    not_accepting.accepting = false;
    roster.SetSelf(not_accepting);
    CHECK(CallerAddresses(roster) == Addresses{"a:80"});
  }
  SECTION("if none accepts requests, all that are not leaving are listed rather than none") {
    InstanceInfo not_accepting = Info("self");
    not_accepting.accepting = false;
    roster.SetSelf(not_accepting);
    InstanceInfo other = Info("a", 2);
    other.accepting = false;
    roster.OnHeard(other, kStart, kStart);
    CHECK(CallerAddresses(roster).size() == 2);
  }
}

TEST_CASE("Messages about an instance may arrive out of order") {
  FleetRoster roster(Info("self"));
  InstanceInfo leaving = Info("a", 7);
  leaving.leaving = true;
  CHECK(roster.OnHeard(leaving, kStart, kStart));
  SECTION("an older state of the same run does not replace a newer one") {
    CHECK(roster.OnHeard(Info("a", 6), kStart, kStart));
    CHECK(roster.Find("a")->info.leaving);
  }
  SECTION("a message of an earlier run does not replace that of a restarted instance") {
    InstanceInfo earlier = Info("a", 900);
    earlier.start_id = 4;
    CHECK_FALSE(roster.OnHeard(earlier, kStart, kStart));
    CHECK(roster.Find("a")->info.leaving);
  }
  SECTION("an instance that restarts after its clock was set back is accepted after the timeout") {
    roster.MarkSilent(kStart + kSilence, kSilence);
    InstanceInfo restarted = Info("a");
    restarted.start_id = 4;
    CHECK(roster.OnHeard(restarted, kStart + kSilence, kStart + kSilence));
    CHECK_FALSE(roster.Find("a")->info.leaving);
    CHECK(roster.FindByKey(InstanceKey("a", 5)) == nullptr);
  }
  SECTION("what another instance says about this one is ignored") {
    InstanceInfo forged = Info("self", 100);
    forged.leaving = true;
    CHECK_FALSE(roster.OnHeard(forged, kStart, kStart));
    roster.Apply({forged, false}, kStart);
    CHECK_FALSE(roster.self().leaving);
    CHECK(roster.live_count() == 2);
  }
}

TEST_CASE("Another instance is sent the entries that it lacks") {
  FleetRoster roster(Info("self"));
  for (int i = 0; i < 10; ++i) {
    roster.OnHeard(Info("a" + std::to_string(i)), kStart, kStart);
  }
  const auto all = [](const FleetRoster::Member&) { return true; };
  FleetRoster copy(Info("other"));
  std::uint64_t version = 0;
  int messages = 0;
  for (bool more = true; more; ++messages) {
    const RosterChanges changes = roster.ChangesAfter(version, 4, all);
    for (const RosterEntry& entry : changes.entries) {
      copy.Apply(entry, kStart);
    }
    version = changes.version;
    more = changes.more;
  }
  CHECK(messages == 3);
  CHECK(copy.live_count() == 12);
  CHECK(roster.ChangesAfter(version, 4, all).entries.empty());
  roster.MarkSilent(kStart + kSilence, kSilence);
  CHECK(roster.ChangesAfter(version, 100, all).entries.size() == 10);
}

TEST_CASE("A few instances read the store for the others") {
  constexpr int kInstances = 40;
  std::vector<FleetRoster> rosters;
  std::vector<InstanceInfo> infos;
  for (int i = 0; i < kInstances; ++i) {
    infos.push_back(Info("front-" + std::to_string(i)));
    rosters.emplace_back(infos.back());
  }
  const auto tell = [&](int index) {
    ++infos[index].revision;
    for (int i = 0; i < kInstances; ++i) {
      i == index ? rosters[i].SetSelf(infos[index])
                 : (void)rosters[i].OnHeard(infos[index], kStart, kStart);
    }
  };
  for (int i = 0; i < kInstances; ++i) {
    tell(i);
  }
  std::set<std::string> sources;
  int readers = 0;
  for (const FleetRoster& roster : rosters) {
    const auto choices = roster.StoreReaders();
    REQUIRE_FALSE(choices.empty());
    readers += choices.front().empty() ? 1 : 0;
    if (!choices.front().empty()) {
      sources.insert(choices.front());
      CHECK(choices.size() == 3);
      CHECK(std::set<std::string>(choices.begin(), choices.end()).size() == 3);
    }
  }
  CHECK(readers == 3);
  CHECK(sources.size() <= 3);

  // Guards against calls to a mirror reader that cannot read the store itself (cdsaa-rail scale-2):
  // the store rejected the reader of a data centre, and the other instances kept calling it.
  SECTION("a mirror reader disconnected from the store is replaced and uses another one itself") {
    int disconnected = 0;
    while (!rosters[disconnected].StoreReaders().front().empty()) {
      ++disconnected;
    }
    infos[disconnected].store_reachable = false;
    tell(disconnected);
    for (const FleetRoster& roster : rosters) {
      for (const std::string& address : roster.StoreReaders()) {
        CHECK(address != infos[disconnected].peer_address);
      }
    }
    CHECK_FALSE(rosters[disconnected].StoreReaders().front().empty());
  }
  // Guards against slow mirror readers (gge-chiverail-grown quiet-1): a reader with a link of
  // 10 Mbit/s took over a second to send a new configuration to 15 others, which then all read the
  // store themselves.
  SECTION("the instances with the most capacity are selected") {
    for (int i = 0; i < kInstances; ++i) {
      infos[i].capacity = i == 7 || i == 8 || i == 30 ? 30 : 10;
      tell(i);
    }
    for (int i = 0; i < kInstances; ++i) {
      const bool is_reader = rosters[i].StoreReaders().front().empty();
      CHECK(is_reader == (i == 7 || i == 8 || i == 30));
    }
    SECTION("and one with much capacity serves more of the others") {
      infos[7].capacity = 200;
      tell(7);
      for (int i = 0; i < kInstances; ++i) {
        CHECK(rosters[i].StoreReaders().front().empty() == (i == 7));
      }
    }
  }
  // Guards against withdrawn keys that are served for too long (gge-chiverail-now-grown scale-2):
  // the store rejected the two strong instances of a data centre, and the others waited for rows
  // from weak ones.
  SECTION("weak readers of a data centre are not used beside strong ones of another") {
    for (int i = 0; i < kInstances; ++i) {
      infos[i].data_centre = i < 20 ? "east" : "west";
      infos[i].capacity = i == 0 || i == 1 || i == 20 || i == 21 ? 200 : 10;
      infos[i].store_reachable = i > 1;
      tell(i);
    }
    const std::set<std::string> strong{infos[20].peer_address, infos[21].peer_address};
    for (int i = 0; i < 20; ++i) {
      CHECK(strong.count(rosters[i].StoreReaders().front()) == 1);
    }
    SECTION("until one of the strong ones is back") {
      infos[1].store_reachable = true;
      tell(1);
      CHECK(rosters[1].StoreReaders().front().empty());
      CHECK(rosters[5].StoreReaders().front() == infos[1].peer_address);
    }
  }
  SECTION("if the store rejects a whole data centre, its instances read from another one") {
    for (int i = 0; i < kInstances; ++i) {
      infos[i].data_centre = i < 10 ? "east" : "west";
      infos[i].store_reachable = i >= 10;
      tell(i);
    }
    for (int i = 0; i < 10; ++i) {
      CHECK_FALSE(rosters[i].StoreReaders().front().empty());
    }
  }
  SECTION("an instance that knows no other reads the store itself") {
    CHECK(FleetRoster(infos[0]).StoreReaders() == std::vector<std::string>{""});
  }
}

}  // namespace chiverail
