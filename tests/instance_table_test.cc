#include "instance_table.h"

#include <catch2/catch.hpp>

#include "peer_datagrams.h"

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};

InstanceDigest Digest(const std::string& name, std::uint64_t sequence = 1) {
  InstanceDigest digest;
  digest.instance = name;
  digest.start_id = 5;
  digest.sequence = sequence;
  digest.caller_address = name + ":80";
  digest.data_centre = "west";
  digest.accepting = true;
  digest.reads_store = true;
  return digest;
}

}  // namespace

TEST_CASE("Callers are told of instances that serve") {
  InstanceTable table;
  const InstanceDigest self = Digest("self");
  table.OnDigest(Digest("a"), "10.0.0.1:7000", kStart);
  CHECK(table.CallerAddresses(self, kStart) == std::vector<std::string>{"self:80", "a:80"});

  SECTION("one that has been silent is left out") {
    const TimePoint later = kStart + InstanceTable::kSilenceLimit;
    CHECK(table.CallerAddresses(self, later) == std::vector<std::string>{"self:80"});
  }
  SECTION("one that leaves is left out at once") {
    InstanceDigest leaving = Digest("a", 2);
    leaving.leaving = true;
    table.OnDigest(leaving, "10.0.0.1:7000", kStart);
    CHECK(table.CallerAddresses(self, kStart) == std::vector<std::string>{"self:80"});
  }
  SECTION("this one is left out while it can't accept and another can") {
    InstanceDigest cut_off = self;
    cut_off.accepting = false;
    CHECK(table.CallerAddresses(cut_off, kStart) == std::vector<std::string>{"a:80"});
  }
  SECTION("when none accepts, all that stay are named: an empty answer helps nobody") {
    InstanceDigest cut_off = self;
    cut_off.accepting = false;
    InstanceDigest other = Digest("a", 2);
    other.accepting = false;
    table.OnDigest(other, "10.0.0.1:7000", kStart);
    CHECK(table.CallerAddresses(cut_off, kStart).size() == 2);
  }
}

TEST_CASE("Digests overtake each other") {
  InstanceTable table;
  CHECK(table.OnDigest(Digest("a", 5), "10.0.0.1:7000", kStart));
  CHECK_FALSE(table.OnDigest(Digest("a", 4), "10.0.0.1:7000", kStart));
  SECTION("one of an earlier run doesn't bring a restarted instance's load back") {
    InstanceDigest earlier = Digest("a", 900);
    earlier.start_id = 4;
    CHECK_FALSE(table.OnDigest(earlier, "10.0.0.1:7000", kStart));
  }
  SECTION("a clock that was set back doesn't shut a restarted instance out for ever") {
    InstanceDigest restarted = Digest("a", 1);
    restarted.start_id = 4;
    CHECK(table.OnDigest(restarted, "10.0.0.1:7000", kStart + InstanceTable::kSilenceLimit));
  }
}

TEST_CASE("Loads of the other instances add up") {
  InstanceTable table;
  for (const std::string name : {"a", "b"}) {
    InstanceDigest digest = Digest(name);
    digest.loads = {{17, 2}};
    table.OnDigest(digest, name, kStart);
  }
  CHECK(table.Loads(kStart).at(17) == 4);
  CHECK(table.Loads(kStart + InstanceTable::kSilenceLimit).empty());
}

TEST_CASE("Few instances read the store for the others") {
  constexpr int kInstances = 40;
  std::vector<InstanceTable> tables(kInstances);
  const auto hear = [&](int from, const InstanceDigest& digest, TimePoint now) {
    for (int to = 0; to < kInstances; ++to) {
      if (to != from) {
        tables[to].OnDigest(digest, "10.0.0." + std::to_string(from) + ":7000", now);
      }
    }
  };
  std::vector<InstanceDigest> digests;
  for (int i = 0; i < kInstances; ++i) {
    digests.push_back(Digest("front-" + std::to_string(i)));
    hear(i, digests.back(), kStart);
  }
  std::set<std::string> sources;
  int readers = 0;
  for (int i = 0; i < kInstances; ++i) {
    const std::string source = tables[i].ReaderFor(digests[i], kStart);
    readers += source.empty() ? 1 : 0;
    if (!source.empty()) {
      sources.insert(source);
    }
  }
  CHECK(readers == 3);
  CHECK(sources.size() <= 3);

  // cdsaa-rail scale-2: the store turned the reader of a data centre away, and its followers went
  // on asking it.
  SECTION("one whose way to the store is cut is replaced, and reads from another itself") {
    int cut = 0;
    while (!tables[cut].ReaderFor(digests[cut], kStart).empty()) {
      ++cut;
    }
    InstanceDigest digest = digests[cut];
    digest.reads_store = false;
    digest.sequence = 2;
    hear(cut, digest, kStart);
    const std::string address = "10.0.0." + std::to_string(cut) + ":7000";
    for (int i = 0; i < kInstances; ++i) {
      CHECK(tables[i].ReaderFor(i == cut ? digest : digests[i], kStart) != address);
    }
    CHECK_FALSE(tables[cut].ReaderFor(digest, kStart).empty());
  }
  // gge-chiverail-grown quiet-1: a reader with a link of 10 Mbit/s needed over a second to pass a
  // new configuration to 15 others, which then all read the store.
  SECTION("those with the most capacity are taken") {
    for (int i = 0; i < kInstances; ++i) {
      digests[i].capacity = i == 7 || i == 8 || i == 30 ? 80 : 10;
      digests[i].sequence = 3;
      hear(i, digests[i], kStart);
    }
    for (int i = 0; i < kInstances; ++i) {
      const bool reads = tables[i].ReaderFor(digests[i], kStart).empty();
      CHECK(reads == (i == 7 || i == 8 || i == 30));
    }
  }
  SECTION("an instance that hears nobody reads the store itself") {
    CHECK(InstanceTable().ReaderFor(digests[0], kStart).empty());
  }
}

TEST_CASE("A digest survives its way over the network") {
  InstanceDigest digest = Digest("a", 9);
  digest.leaving = true;
  digest.loads = {{17, 2}, {4'000'000'000u, 1}};
  digest.reads = {{3, 17}};
  digest.instances = {"10.0.0.2:7000"};
  const auto decoded = DecodeDigest(EncodeDigest(digest));
  REQUIRE(decoded);
  CHECK(decoded->instance == "a");
  CHECK(decoded->sequence == 9);
  CHECK(decoded->leaving);
  CHECK(decoded->reads_store);
  CHECK(decoded->data_centre == "west");
  CHECK(decoded->loads.at(1).tag == 4'000'000'000u);
  CHECK(decoded->reads.at(0).upstream == 17);
  CHECK(decoded->instances == digest.instances);
  SECTION("and bytes that are none are dropped") {
    CHECK_FALSE(DecodeDigest("hello"));
    CHECK_FALSE(DecodeDigest(EncodeDigest(digest).substr(0, 20)));
  }
}

}  // namespace chiverail
