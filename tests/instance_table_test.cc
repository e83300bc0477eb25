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
  digest.store_reachable = true;
  return digest;
}

std::vector<std::string> CallerAddresses(const InstanceTable& table,
                                         const InstanceDigest& self,
                                         TimePoint now) {
  std::vector<std::string> addresses;
  for (const DirectoryEntry& entry : table.CallerEntries(self, now)) {
    addresses.push_back(entry.address);
  }
  return addresses;
}

}  // namespace

TEST_CASE("Callers get the addresses of instances that accept requests") {
  InstanceTable table;
  const InstanceDigest self = Digest("self");
  table.OnDigest(Digest("a"), "10.0.0.1:7000", kStart);
  CHECK(CallerAddresses(table, self, kStart) == std::vector<std::string>{"self:80", "a:80"});

  SECTION("an instance without a recent digest is not listed") {
    const TimePoint later = kStart + InstanceTable::kDigestTimeout;
    CHECK(CallerAddresses(table, self, later) == std::vector<std::string>{"self:80"});
  }
  SECTION("a leaving instance is no longer listed") {
    InstanceDigest leaving = Digest("a", 2);
    leaving.leaving = true;
    table.OnDigest(leaving, "10.0.0.1:7000", kStart);
    CHECK(CallerAddresses(table, self, kStart) == std::vector<std::string>{"self:80"});
  }
  SECTION("this instance is not listed while it does not accept requests and another does") {
    InstanceDigest not_accepting = self;
    not_accepting.accepting = false;
    CHECK(CallerAddresses(table, not_accepting, kStart) == std::vector<std::string>{"a:80"});
  }
  SECTION("if none accepts requests, all that are not leaving are listed rather than none") {
    InstanceDigest not_accepting = self;
    not_accepting.accepting = false;
    InstanceDigest other = Digest("a", 2);
    other.accepting = false;
    table.OnDigest(other, "10.0.0.1:7000", kStart);
    CHECK(CallerAddresses(table, not_accepting, kStart).size() == 2);
  }
}

TEST_CASE("Reordered digests are ignored") {
  InstanceTable table;
  CHECK(table.OnDigest(Digest("a", 5), "10.0.0.1:7000", kStart));
  CHECK_FALSE(table.OnDigest(Digest("a", 4), "10.0.0.1:7000", kStart));
  SECTION("a digest of an earlier run does not replace that of a restarted instance") {
    InstanceDigest earlier = Digest("a", 900);
    earlier.start_id = 4;
    CHECK_FALSE(table.OnDigest(earlier, "10.0.0.1:7000", kStart));
  }
  SECTION("an instance that restarts after its clock was set back is accepted after the timeout") {
    InstanceDigest restarted = Digest("a", 1);
    restarted.start_id = 4;
    CHECK(table.OnDigest(restarted, "10.0.0.1:7000", kStart + InstanceTable::kDigestTimeout));
  }
}

TEST_CASE("Loads of the other instances are summed up") {
  InstanceTable table;
  for (const std::string name : {"a", "b"}) {
    InstanceDigest digest = Digest(name);
    digest.loads = {{17, 2}};
    table.OnDigest(digest, name, kStart);
  }
  CHECK(table.PeerLoads(kStart).at(17) == 4);
  CHECK(table.PeerLoads(kStart + InstanceTable::kDigestTimeout).empty());
}

TEST_CASE("A few mirror readers read the store for the other instances") {
  constexpr int kInstances = 40;
  std::vector<InstanceTable> tables(kInstances);
  const auto deliver = [&](int from, const InstanceDigest& digest, TimePoint now) {
    for (int to = 0; to < kInstances; ++to) {
      if (to != from) {
        tables[to].OnDigest(digest, "10.0.0." + std::to_string(from) + ":7000", now);
      }
    }
  };
  std::vector<InstanceDigest> digests;
  for (int i = 0; i < kInstances; ++i) {
    digests.push_back(Digest("front-" + std::to_string(i)));
    deliver(i, digests.back(), kStart);
  }
  std::set<std::string> sources;
  int readers = 0;
  for (int i = 0; i < kInstances; ++i) {
    const std::string source = tables[i].MirrorReaderFor(digests[i], kStart);
    readers += source.empty() ? 1 : 0;
    if (!source.empty()) {
      sources.insert(source);
    }
  }
  CHECK(readers == 3);
  CHECK(sources.size() <= 3);

  // Guards against calls to a mirror reader that cannot read the store itself (cdsaa-rail scale-2):
  // the store rejected the reader of a data centre, and the other instances kept calling it.
  SECTION("a mirror reader disconnected from the store is replaced and uses another one itself") {
    int disconnected = 0;
    while (!tables[disconnected].MirrorReaderFor(digests[disconnected], kStart).empty()) {
      ++disconnected;
    }
    InstanceDigest digest = digests[disconnected];
    digest.store_reachable = false;
    digest.sequence = 2;
    deliver(disconnected, digest, kStart);
    const std::string address = "10.0.0." + std::to_string(disconnected) + ":7000";
    for (int i = 0; i < kInstances; ++i) {
      CHECK(tables[i].MirrorReaderFor(i == disconnected ? digest : digests[i], kStart) != address);
    }
    CHECK_FALSE(tables[disconnected].MirrorReaderFor(digest, kStart).empty());
  }
  // Guards against slow mirror readers (gge-chiverail-grown quiet-1): a reader with a link of
  // 10 Mbit/s took over a second to send a new configuration to 15 others, which then all read the
  // store themselves.
  SECTION("the instances with the most capacity are selected") {
    for (int i = 0; i < kInstances; ++i) {
      digests[i].capacity = i == 7 || i == 8 || i == 30 ? 80 : 10;
      digests[i].sequence = 3;
      deliver(i, digests[i], kStart);
    }
    for (int i = 0; i < kInstances; ++i) {
      const bool is_reader = tables[i].MirrorReaderFor(digests[i], kStart).empty();
      CHECK(is_reader == (i == 7 || i == 8 || i == 30));
    }
  }
  SECTION("an instance that receives no digests reads the store itself") {
    CHECK(InstanceTable().MirrorReaderFor(digests[0], kStart).empty());
  }
}

TEST_CASE("A digest is unchanged by encoding and decoding") {
  InstanceDigest digest = Digest("a", 9);
  digest.leaving = true;
  digest.loads = {{17, 2}, {4'000'000'000u, 1}};
  digest.cached_segments = {{3, 17}};
  digest.instances = {"10.0.0.2:7000"};
  const auto decoded = DecodeDigest(EncodeDigest(digest));
  REQUIRE(decoded);
  CHECK(decoded->instance == "a");
  CHECK(decoded->sequence == 9);
  CHECK(decoded->leaving);
  CHECK(decoded->store_reachable);
  CHECK(decoded->data_centre == "west");
  CHECK(decoded->loads.at(1).tag == 4'000'000'000u);
  CHECK(decoded->cached_segments.at(0).upstream == 17);
  CHECK(decoded->instances == digest.instances);
  SECTION("bytes that are not a digest are rejected") {
    CHECK_FALSE(DecodeDigest("hello"));
    CHECK_FALSE(DecodeDigest(EncodeDigest(digest).substr(0, 20)));
  }
}

}  // namespace chiverail
