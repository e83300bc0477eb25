// The platform's store is away for a moment and comes back from an older copy. The feeds of several
// instances follow one table of it over real connections.

#include <catch2/catch.hpp>

#include "fake_store.h"
#include "row_feed.h"
#include "table_sim.h"

namespace chiverail {
namespace {

constexpr int kStorePort = 18501;
constexpr const char* kTable = "t";

// What one instance knows of the table, as the users of its feed do.
struct Follower {
  Follower(boost::asio::io_context& io, int port, const FakeStore& store, std::uint64_t seed)
      : address("127.0.0.1:" + std::to_string(port)),
        mirror(io, address),
        client(io, store.address(), metrics),
        log(io, "i", -1, {}),
        sources(
            io,
            client,
            metrics,
            [this] { return view; },
            [] {}),
        feed(
            io,
            sources,
            mirror,
            log,
            {kTable, milliseconds(300), {}, milliseconds(50), seed},
            [this](const StoreResponse& response) {
              rows.clear();
              Take(response.rows);
            },
            [this](const StoreResponse& response) { Take(response.rows); }) {}

  void Take(const std::vector<StoreRow>& changed) {
    for (const StoreRow& row : changed) {
      row.deleted ? (void)rows.erase(row.key) : (void)(rows[row.key] = row.value);
    }
  }

  std::string address;
  Metrics metrics;
  RowMirror mirror;
  StoreClient client;
  DecisionLog log;
  SourceView view;
  RowSources sources;
  RowFeed feed;
  std::map<std::string, std::string> rows;
};

// Instances of which the first `readers` read the store; the others follow their notices.
struct FeedFleet {
  FeedFleet(std::size_t size, std::size_t readers) : store(io, kStorePort) {
    store.Skip(40);
    store.Put("config", "1");
    store.Put("leaves", "ready");
    store.Put("stays", "ready");
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < size; ++i) {
      followers.push_back(
          std::make_unique<Follower>(io, kStorePort + 1 + static_cast<int>(i), store, i + 1));
      if (i < readers) {
        addresses.push_back(followers.back()->address);
      }
    }
    for (std::size_t i = 0; i < size; ++i) {
      followers[i]->view = {addresses, size, static_cast<double>(i) / static_cast<double>(size)};
      if (i < readers) {
        followers[i]->view.readers = {SourceChoice::kStore};
      }
    }
    for (const auto& follower : followers) {
      follower->feed.Start();
    }
    REQUIRE(RunUntilCurrent(seconds(2)));
  }

  // Runs in steps, and after each passes on the notices of those that read the store.
  void Run(Duration time) {
    for (const TimePoint end = BootTimeNow() + time; BootTimeNow() < end;) {
      io.restart();
      io.run_for(milliseconds(20));
      for (const auto& from : followers) {
        if (!from->feed.FromStore()) {
          continue;
        }
        for (const TableNotice& notice : from->mirror.Notices(BootTimeNow())) {
          Tell(from->address, notice);
        }
      }
    }
  }

  void Tell(const std::string& from, const TableNotice& notice) {
    for (const auto& to : followers) {
      if (to->address != from) {
        to->feed.OnNotice(from, notice);
      }
    }
  }

  bool IsCurrent() const {
    for (const auto& follower : followers) {
      if (follower->rows != store.Rows()) {
        return false;
      }
    }
    return true;
  }

  // Returns whether all have the store's rows in time.
  bool RunUntilCurrent(Duration limit) {
    const TimePoint end = BootTimeNow() + limit;
    while (BootTimeNow() < end && !IsCurrent()) {
      Run(milliseconds(20));
    }
    return IsCurrent();
  }

  // Takes the store away for a moment; it comes back with the contents of a copy.
  void Restore(const FakeStore::Copy& copy, Duration away = milliseconds(400)) {
    store.fault = FakeStore::Fault::kAway;
    Run(away);
    store.fault = FakeStore::Fault::kNone;
    store.Restore(copy);
  }

  // Writes that the restored copy will lack.
  void WriteWhatIsLost() {
    store.Put("config", "2");
    store.Put("added", "ready");
    store.Delete("leaves");
    REQUIRE(RunUntilCurrent(seconds(2)));
  }

  boost::asio::io_context io{1};
  FakeStore store;
  std::vector<std::unique_ptr<Follower>> followers;
};

struct FleetSize {
  std::size_t instances;
  std::size_t readers;
};

// Time in which a change has to be in force.
constexpr Duration kBound = seconds(2);

}  // namespace

// Guards against rows that never arrive after the store's versions went back (cdsaa-rail, day
// restored, CONFIG): feeds asked for the changes after a version that was given out again.
TEST_CASE("Feeds follow a store that comes back from an older copy", "[restored-store]") {
  const FleetSize size = GENERATE(FleetSize{1, 1}, FleetSize{3, 1}, FleetSize{13, 3});
  FeedFleet fleet(size.instances, size.readers);
  const FakeStore::Copy copy = fleet.store.TakeCopy();
  fleet.WriteWhatIsLost();

  SECTION("whose versions are below those before") {
    fleet.Restore(copy);
    CHECK(fleet.RunUntilCurrent(kBound));
    fleet.store.Put("config", "3");
    CHECK(fleet.RunUntilCurrent(kBound));
  }
  SECTION("whose versions have been given out again before anybody reads it") {
    fleet.Restore(copy);
    fleet.store.Put("config", "3");
    fleet.store.Skip(20);
    CHECK(fleet.RunUntilCurrent(kBound));
    fleet.store.Put("config", "4");
    CHECK(fleet.RunUntilCurrent(kBound));
  }
  SECTION("whose newest version is the same as before") {
    fleet.Restore(copy);
    fleet.store.Put("config", "3");
    fleet.store.Skip(2);
    CHECK(fleet.RunUntilCurrent(kBound));
  }
  SECTION("twice in a row") {
    fleet.Restore(copy);
    fleet.store.Put("config", "3");
    fleet.store.Put("between", "ready");
    fleet.store.Skip(20);
    fleet.Run(milliseconds(100));
    fleet.Restore(copy);
    fleet.store.Put("config", "4");
    fleet.store.Skip(20);
    CHECK(fleet.RunUntilCurrent(kBound));
  }
  SECTION("without having been missed") {
    fleet.Restore(copy, Duration::zero());
    fleet.store.Put("config", "3");
    fleet.store.Skip(20);
    CHECK(fleet.RunUntilCurrent(kBound));
  }
  SECTION("whose answers are late or lost at first") {
    const int first = fleet.store.calls;
    fleet.store.fault_of = [first](int call) {
      return call > first + 12         ? FakeStore::Fault::kNone
             : (call - first) % 2 == 0 ? FakeStore::Fault::kLate
                                       : FakeStore::Fault::kLost;
    };
    fleet.store.Restore(copy);
    fleet.store.Put("config", "3");
    fleet.store.Skip(20);
    CHECK(fleet.RunUntilCurrent(seconds(6)));
  }
}

// Guards against a table that is put together from pages of two eras of the store.
TEST_CASE("A listing in pages begins anew if the store is restored between them",
          "[restored-store]") {
  FeedFleet fleet(1, 1);
  fleet.store.page = 2;
  const FakeStore::Copy first = fleet.store.TakeCopy();
  fleet.WriteWhatIsLost();
  const FakeStore::Copy second = fleet.store.TakeCopy();
  bool restored = false;
  fleet.store.after_page = [&] {
    if (!std::exchange(restored, true)) {
      fleet.store.Restore(second);
      fleet.store.Put("config", "3");
      fleet.store.Delete("added");
      fleet.store.Skip(20);
    }
  };
  fleet.Restore(first);
  CHECK(fleet.RunUntilCurrent(kBound));
  CHECK(restored);
}

// Guards against rows that an instance confirms by what was known before the restore (hypothesis B
// of docs/incidents/restored-store.md).
TEST_CASE("A notice of the former era of the store confirms nothing", "[restored-store]") {
  FeedFleet fleet(2, 1);
  const FakeStore::Copy copy = fleet.store.TakeCopy();
  fleet.WriteWhatIsLost();
  Follower& reader = *fleet.followers[0];
  Follower& other = *fleet.followers[1];
  const std::vector<TableNotice> before = reader.mirror.Notices(BootTimeNow());
  REQUIRE(before.size() == 1);
  fleet.Restore(copy);
  fleet.store.Put("config", "3");
  REQUIRE(fleet.RunUntilCurrent(kBound));
  const TimePoint as_of = other.mirror.Table(kTable).as_of();
  fleet.io.run_for(milliseconds(50));
  other.feed.OnNotice(reader.address, before.front());
  CHECK(other.mirror.Table(kTable).as_of() == as_of);
  CHECK(fleet.IsCurrent());
}

// Guards against large fleets in which some instances keep the rows of before.
TEST_CASE("A fleet follows a store that comes back from an older copy") {
  struct Size {
    int instances;
    int data_centres;
    Duration bound;
  };
  const Size size = GENERATE(Size{1, 1, seconds(2)}, Size{13, 3, seconds(2)},
                             Size{114, 4, seconds(3)}, Size{295, 5, seconds(4)});
  constexpr ReadTiming kOperatorRows{milliseconds(600), {}, milliseconds(300), milliseconds(1500)};
  TableSim sim(size.instances, size.data_centres, kOperatorRows, 7);
  for (int i = 0; i < 3; ++i) {
    sim.Commit();
    sim.fleet.Run(milliseconds(700));
  }
  for (std::size_t i = 0; i < sim.fleet.nodes.size(); ++i) {
    sim.silenced.insert(i);
  }
  sim.fleet.Run(milliseconds(600));
  sim.silenced.clear();
  const std::uint64_t lost = GENERATE(1u, 3u);
  sim.Restore(lost);
  for (std::uint64_t i = 0; i <= lost; ++i) {
    sim.Commit();
  }
  CHECK(sim.UntilInForce(seconds(8)) <= size.bound);
  sim.Restore(lost);
  CHECK(sim.UntilInForce(seconds(8)) <= size.bound);
  CHECK(sim.false_confirmations == 0);
}

// Guards against differences that leave out what only the reader of a copy knows.
TEST_CASE("A copy that passes into a later era tells its readers what changed") {
  const auto row = [](const std::string& key, std::uint64_t era, std::uint64_t counter) {
    return StoreRow{key, key, VersionIn(era, counter), false};
  };
  const TimePoint now{seconds(1000)};
  TableCopy copy;
  copy.Replace({row("a", 3, 3), row("b", 3, 5)}, VersionIn(3, 10), now);
  copy.ApplyChanges({row("c", 3, 12)}, VersionIn(3, 12), now);
  copy.Replace({row("a", 4, 3), row("d", 4, 4)}, VersionIn(4, 4), now);
  CHECK(copy.version() == VersionIn(4, 4));
  CHECK(copy.changed_version() == VersionIn(4, 4));

  SECTION("if they were not ahead of it") {
    const auto changes = copy.ChangesAfter(VersionIn(3, 10));
    REQUIRE(changes);
    REQUIRE(changes->size() == 3);
    CHECK(copy.ChangesAfter(VersionIn(3, 12))->size() == 3);
    CHECK(copy.ChangesAfter(VersionIn(4, 4))->empty());
  }
  SECTION("and has them list the table if they were, or have seen another era") {
    CHECK_FALSE(copy.ChangesAfter(VersionIn(3, 13)));
    CHECK_FALSE(copy.ChangesAfter(VersionIn(4, 3)));
    CHECK_FALSE(copy.ChangesAfter(VersionIn(3, 9)));
  }
  SECTION("through two restores in a row") {
    copy.Replace({row("a", 6, 3)}, VersionIn(6, 3), now);
    CHECK(copy.ChangesAfter(VersionIn(4, 4))->size() == 1);
    CHECK_FALSE(copy.ChangesAfter(VersionIn(5, 1)));
    CHECK_FALSE(copy.ChangesAfter(VersionIn(3, 12)));
  }
}

// Guards against upgrades: processes of the build before know nothing of eras.
TEST_CASE("Notices state the era of the store beside a version that the former build can read") {
  InstanceReport report;
  report.info.instance = "i";
  report.info.data_centre = "dc0";
  report.info.caller_address = "10.0.0.1:80";
  report.info.peer_address = "10.0.0.1:7000";
  report.work.key = InstanceKey("i", report.info.start_id);
  report.notices = {{"t", VersionIn(5, 41), milliseconds(10), {}}};
  const std::string bytes = EncodeFleetMessage(report);
  nlohmann::json message = nlohmann::json::from_msgpack(bytes);
  CHECK(message.at(7).at(1) == 41);

  const auto decoded = std::get<FleetMessage>(DecodeFleetMessage(bytes, {}));
  CHECK(std::get<InstanceReport>(decoded).notices.at(0).version == VersionIn(5, 41));

  SECTION("and of that build they are taken for the era that the receiver knows") {
    message.erase(11);
    std::string former;
    nlohmann::json::to_msgpack(message, former);
    const auto read = std::get<FleetMessage>(DecodeFleetMessage(former, {}));
    const TableNotice notice = std::get<InstanceReport>(read).notices.at(0);
    CHECK_FALSE(notice.has_era);
    TableFollower follower({milliseconds(600), {}, {}, milliseconds(1500)}, 1);
    const TimePoint now{seconds(1000)};
    const SourceView view{{"10.0.0.1:7000"}, 2, 0};
    follower.Start(now);
    REQUIRE(follower.Next(view, now));
    follower.OnRead(ReadResult::kRows, VersionIn(5, 41), false, now);
    CHECK(follower.OnNotice("10.0.0.1:7000", notice, view, now));
    TableNotice newer = notice;
    newer.version = 42;
    CHECK_FALSE(follower.OnNotice("10.0.0.1:7000", newer, view, now));
    TableNotice earlier = notice;
    earlier.has_era = true;
    earlier.version = VersionIn(4, 41);
    CHECK_FALSE(follower.OnNotice("10.0.0.1:7000", earlier, view, now));
  }
}

}  // namespace chiverail
