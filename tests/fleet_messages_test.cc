#include "fleet_messages.h"

#include <random>

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

const std::vector<std::uint32_t> kTags = {3, 17, 4'000'000'000u};

InstanceInfo Info() {
  InstanceInfo info;
  info.instance = "a";
  info.start_id = 5;
  info.revision = 2;
  info.peer_address = "10.0.0.1:7000";
  info.caller_address = "10.0.0.1:80";
  info.data_centre = "west";
  info.capacity = 200;
  info.leaving = true;
  info.store_reachable = true;
  return info;
}

InstanceReport Report() {
  InstanceReport report;
  report.info = Info();
  report.work.key = InstanceKey("a", 5);
  report.work.sequence = 9;
  report.work.loads = {{17, 2}, {4'000'000'000u, 1}};
  report.work.services = {{8, 100, 3}};
  report.ack = {77, 12};
  report.upstream_set = UpstreamSetHash(kTags);
  report.segments = {{3, 17}};
  report.quarantine.crashes = {{5, 2, 17, milliseconds(40), {UINT64_MAX, 8}}};
  report.quarantine.begun = {{8, milliseconds(30)}};
  report.quarantine.holds = {{9, seconds(1000), 3}};
  return report;
}

HubSummary Summary() {
  HubSummary summary;
  summary.hub = Info();
  summary.sequence = 4;
  summary.answers = 9;
  summary.age = milliseconds(120);
  summary.loads = {{17, 300}, {4'000'000'000u, 6}};
  summary.roster = {1, 3, true, {{Info(), true}}};
  summary.notices = {{"servers", 55, milliseconds(30), {}}};
  return summary;
}

template <typename Message>
Message Decoded(const std::string& bytes) {
  const auto decoded = DecodeFleetMessage(bytes, kTags);
  REQUIRE(std::holds_alternative<FleetMessage>(decoded));
  return std::get<Message>(std::get<FleetMessage>(decoded));
}

DropReason ReasonFor(const std::string& bytes) {
  const auto decoded = DecodeFleetMessage(bytes, kTags);
  REQUIRE(std::holds_alternative<DropReason>(decoded));
  return std::get<DropReason>(decoded);
}

}  // namespace

TEST_CASE("Messages between instances are unchanged by encoding and decoding") {
  SECTION("reports") {
    const auto report = Decoded<InstanceReport>(EncodeFleetMessage(Report()));
    CHECK(report.info.instance == "a");
    CHECK(report.info.leaving);
    CHECK(report.info.store_reachable);
    CHECK_FALSE(report.info.accepting);
    CHECK(report.work.sequence == 9);
    CHECK(report.work.loads.at(1).tag == 4'000'000'000u);
    CHECK(report.work.services.at(0).retries == 3);
    CHECK(report.ack.version == 12);
    CHECK(report.segments.at(0).upstream == 17);
    CHECK(report.quarantine.crashes.at(0).reporter == 5);
    CHECK(report.quarantine.crashes.at(0).upstream == 17);
    CHECK(report.quarantine.crashes.at(0).age == milliseconds(40));
    CHECK(report.quarantine.crashes.at(0).segments.at(0) == UINT64_MAX);
    CHECK(report.quarantine.begun.at(0).segment == 8);
    CHECK(report.quarantine.holds.at(0).age == seconds(1000));
    CHECK(report.quarantine.holds.at(0).strikes == 3);
  }
  SECTION("forwards") {
    HubForward forward;
    forward.hub = Info();
    forward.sequence = 8;
    forward.work = {Report().work};
    forward.work[0].age = milliseconds(40);
    forward.notices = {{"op", 7, milliseconds(1), "10.0.0.9:7000"}};
    const auto decoded = Decoded<HubForward>(EncodeFleetMessage(forward));
    CHECK(decoded.work.at(0).age == milliseconds(40));
    CHECK(decoded.notices.at(0).source == "10.0.0.9:7000");
    CHECK(decoded.notices.at(0).table == "op");
  }
  SECTION("summaries, with tags and without") {
    for (const bool dense : {false, true}) {
      const auto summary =
          Decoded<HubSummary>(EncodeFleetMessage(Summary(), dense ? &kTags : nullptr));
      REQUIRE(summary.loads.size() == 2);
      CHECK(summary.loads[0].tag == 17);
      CHECK(summary.loads[0].requests == 300);
      CHECK(summary.loads[1].requests == 6);
      CHECK(summary.roster.entries.at(0).info.caller_address == "10.0.0.1:80");
      CHECK(summary.roster.more);
      CHECK(summary.age == milliseconds(120));
    }
    std::vector<std::uint32_t> tags;
    HubSummary large = Summary();
    large.loads.clear();
    for (std::uint32_t tag = 1; tag <= 165; ++tag) {
      tags.push_back(tag << 20);
      large.loads.push_back({tag << 20, 5});
    }
    CHECK(EncodeFleetMessage(large, &tags).size() < 165 + 200);
    CHECK(EncodeFleetMessage(large).size() > 5 * 165);
  }
}

// Guards against an upstream that silences the exchange of the whole fleet: what it asks, however
// large, must not make the messages that carry it malformed.
TEST_CASE("Whatever an upstream asks can be told to others") {
  const TimePoint now{seconds(1000)};
  const std::string number = GENERATE(as<std::string>{}, "0.001", "2000", "4000000", "9999999999");
  UpstreamTerms terms;
  const StatedTerms stated = ReadTerms({{number}, {"1"}, {number}}, std::chrono::hours(1));
  terms.OnAnswer(17, stated, 1, now);
  InstanceReport report = Report();
  report.terms = terms.News(now);
  const auto decoded = Decoded<InstanceReport>(EncodeFleetMessage(report));
  REQUIRE(decoded.terms.size() == 1);
  UpstreamTerms other;
  other.Merge(decoded.terms, now);
  CHECK(other.LimitOf(17, now) == terms.LimitOf(17, now));
  CHECK(other.StandingOf(17, now).leaving);
  CHECK(other.StandingOf(17, now).others_rest == (stated.rest > Duration::zero()));
}

// Guards against damaged or forged datagrams on an open port that take the process down or change
// what it believes.
TEST_CASE("Bytes that are no message are dropped with a reason") {
  const std::string good = EncodeFleetMessage(Report());
  CHECK(ReasonFor("") == DropReason::kMalformed);
  CHECK(ReasonFor("hello") == DropReason::kMalformed);
  CHECK(ReasonFor(good + "x") == DropReason::kMalformed);
  for (std::size_t size = 0; size < good.size(); ++size) {
    CHECK(ReasonFor(good.substr(0, size)) == DropReason::kMalformed);
  }
  SECTION("another version of the format") {
    std::string other = good;
    other[1] = 5;
    CHECK(ReasonFor(other) == DropReason::kOtherVersion);
  }
  SECTION("loads of upstreams that this instance does not know") {
    const std::vector<std::uint32_t> others = {3, 17, 18};
    CHECK(ReasonFor(EncodeFleetMessage(Summary(), &others)) == DropReason::kMalformed);
  }
  SECTION("a report under the key of another instance") {
    InstanceReport report = Report();
    report.work.key += 1;
    CHECK(ReasonFor(EncodeFleetMessage(report)) == DropReason::kMalformed);
  }
  SECTION("counts and ages out of range") {
    InstanceReport report = Report();
    report.work.loads = {{17, 4'000'000'000u}};
    CHECK(ReasonFor(EncodeFleetMessage(report)) == DropReason::kMalformed);
    HubSummary summary = Summary();
    summary.age = seconds(100'000);
    CHECK(ReasonFor(EncodeFleetMessage(summary)) == DropReason::kMalformed);
    summary.age = -seconds(5);
    CHECK(ReasonFor(EncodeFleetMessage(summary)) == DropReason::kMalformed);
    HubSummary clocks = Summary();
    clocks.timing.echo_ms = UINT64_MAX / 2;
    CHECK(ReasonFor(EncodeFleetMessage(clocks)) == DropReason::kMalformed);
  }
  SECTION("rows from a source that is no address") {
    HubForward forward;
    forward.hub = Info();
    forward.notices = {{"op", 7, milliseconds(1), "not an address"}};
    CHECK(ReasonFor(EncodeFleetMessage(forward)) == DropReason::kMalformed);
  }
  SECTION("nesting without end") {
    CHECK(ReasonFor(std::string(16 * 1024, '\x91')) == DropReason::kMalformed);
    CHECK(ReasonFor(std::string(16 * 1024, '\x81')) == DropReason::kMalformed);
  }
  SECTION("lengths that the datagram does not have") {
    CHECK(ReasonFor(std::string("\xdd\xff\xff\xff\xff\x06", 6)) == DropReason::kMalformed);
    CHECK(ReasonFor(std::string("\xc6\xff\xff\xff\xff\x06", 6)) == DropReason::kMalformed);
  }
  SECTION("random changes of single bytes, and random bytes") {
    std::mt19937 random(1);
    const std::vector<std::string> messages = {good, EncodeFleetMessage(Summary()),
                                               EncodeFleetMessage(Summary(), &kTags)};
    for (int i = 0; i < 20'000; ++i) {
      std::string bytes = messages[random() % messages.size()];
      for (unsigned change = 0; change <= random() % 4; ++change) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      DecodeFleetMessage(bytes, kTags);
      std::string noise(random() % 200, '\0');
      for (char& byte : noise) {
        byte = static_cast<char>(random());
      }
      DecodeFleetMessage(noise, kTags);
    }
  }
}

}  // namespace chiverail
