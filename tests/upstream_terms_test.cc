#include "upstream_terms.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "exchange_fleet.h"
#include "upstream_choice.h"

namespace chiverail {
namespace {

constexpr TimePoint kStart{seconds(1000)};
constexpr std::uint32_t kTag = 7;

std::vector<InstanceId> Instances(std::size_t count) {
  std::vector<InstanceId> instances;
  for (std::size_t i = 0; i < count; ++i) {
    instances.push_back("front-" + std::to_string(i));
  }
  return instances;
}

StatedTerms Parse(std::vector<std::string_view> values) {
  return ReadTerms({std::move(values), {}, {}}, seconds(60));
}

StatedTerms Limit(double limit) {
  StatedTerms stated;
  stated.request_limit = limit;
  return stated;
}

StatedTerms Malformed() {
  StatedTerms stated;
  stated.malformed = true;
  return stated;
}

// The most requests that reach an upstream in any 4 s, and the requests in all, if every instance
// has one to send every `pause` and sends as soon as it may.
struct Reached {
  std::size_t most = 0;
  std::size_t all = 0;
};

Reached SendAll(std::size_t count,
                Duration length,
                Duration pause,
                const std::function<bool(std::size_t, UpstreamState&, TimePoint)>& may_send) {
  std::vector<UpstreamState> views(count);
  std::vector<TimePoint> sent;
  for (TimePoint now = kStart; now < kStart + length; now += pause) {
    for (std::size_t i = 0; i < count; ++i) {
      if (may_send(i, views[i], now)) {
        RecordSend(views[i], now);
        sent.push_back(now);
      }
    }
  }
  Reached reached;
  reached.all = sent.size();
  for (auto first = sent.begin(); first != sent.end(); ++first) {
    const auto end = std::lower_bound(first, sent.end(), *first + seconds(4));
    reached.most = std::max(reached.most, static_cast<std::size_t>(end - first));
  }
  return reached;
}

}  // namespace

TEST_CASE("A request limit is a decimal number") {
  CHECK(Parse({"4"}).request_limit == 4);
  CHECK(Parse({"3.75"}).request_limit == 3.75);
  CHECK(Parse({"0"}).request_limit == 0);
  CHECK(Parse({}).request_limit == 0);
  CHECK(Parse({"99999999"}).request_limit == 0);
  const std::string long_text(1024 * 1024, '4');
  for (const std::string_view text : {"", "-1", "+4", "4e2", "nan", "inf", "0x4", "4 ", " 4", "4,5",
                                      ".5", "5.", "1.2.3", long_text.c_str()}) {
    INFO(text.substr(0, 20));
    CHECK(Parse({text}).malformed);
  }
  CHECK(Parse({"4", "4"}).malformed);
  CHECK_FALSE(Parse({"4"}).malformed);
}

// Guards against back ends that get far more requests than the limit that they have named (day
// capped, LIMIT): every instance took its own share of a small limit, and these added up to more.
TEST_CASE("The requests of a fleet keep to the limit of an upstream") {
  const std::size_t count = GENERATE(1u, 13u, 18u, 114u, 295u);
  const double limit = GENERATE(0.5, 3.8, 5.2, 100.0);
  INFO(count << " instances, limit " << limit);
  const std::vector<InstanceId> instances = Instances(count);
  const std::size_t allowed = static_cast<std::size_t>(1.5 * 4 * limit + 5);
  const Duration length = seconds(30);
  const Duration pause = milliseconds(count > 100 ? 25 : 5);
  std::vector<UpstreamTerms> terms(count);
  for (UpstreamTerms& each : terms) {
    each.OnAnswer(kTag, Limit(limit), 0, kStart + seconds(1));
  }
  const Reached reached =
      SendAll(count, length, pause, [&](std::size_t i, UpstreamState& view, TimePoint now) {
        ChoiceQuery query;
        query.allowance = [&](const UpstreamState&) {
          return terms[i].AllowanceOf(kTag, instances, instances[i], now);
        };
        const auto allowance = query.allowance(view);
        view.recent_sends.erase(view.recent_sends.begin(),
                                std::upper_bound(view.recent_sends.begin(), view.recent_sends.end(),
                                                 now - kSendHistory));
        const auto recent = view.recent_sends.end() - std::upper_bound(view.recent_sends.begin(),
                                                                       view.recent_sends.end(),
                                                                       now - allowance->window);
        return static_cast<std::size_t>(recent) < allowance->requests;
      });
  CHECK(reached.most <= allowed);
  // With more requests than the limit at every instance, at least 0.8 of it is used.
  CHECK(static_cast<double>(reached.all) >= 0.8 * std::floor(limit * 30));

  SECTION("which token buckets at each instance do not") {
    const double share = limit / static_cast<double>(count);
    std::vector<double> tokens(count, 1);
    const Reached naive =
        SendAll(count, length, pause, [&](std::size_t i, UpstreamState&, TimePoint) {
          tokens[i] =
              std::min(1.0, tokens[i] + share * std::chrono::duration<double>(pause).count());
          return tokens[i] >= 1 && (tokens[i] -= 1, true);
        });
    if (count >= 114 && limit < 4) {
      CHECK(naive.most > allowed);
    }
  }
}

TEST_CASE("Requests that were sent before a limit is named count against it") {
  UpstreamSet upstreams;
  UpstreamEntry entry;
  entry.id = "engine-0";
  entry.service = "engines";
  entry.slots = 64;
  upstreams.Apply(entry, kStart);
  UpstreamState& upstream = *upstreams.Find("engine-0");
  UpstreamTerms terms;
  ChoiceQuery query;
  query.service = "engines";
  TimePoint now = kStart;
  query.allowance = [&](const UpstreamState& state) {
    return terms.AllowanceOf(RunTag(state.entry), {"front-0"}, "front-0", now);
  };
  for (int i = 0; i < 20; ++i) {
    RecordSend(upstream, now);
  }
  CHECK(ChooseUpstream(upstreams, query, {}, now).outcome == ChoiceOutcome::kChosen);
  terms.OnAnswer(RunTag(entry), Limit(4), 0, now);
  CHECK(ChooseUpstream(upstreams, query, {}, now).outcome == ChoiceOutcome::kAllLimited);
  CHECK_FALSE(HasFreeSlot(upstreams, query, {}, now));
  CHECK(TimeUntilAllowed(upstreams, query, now) > seconds(4));
  now += seconds(5);
  CHECK(ChooseUpstream(upstreams, query, {}, now).outcome == ChoiceOutcome::kChosen);

  SECTION("an upstream without a limit takes the rest") {
    for (int i = 0; i < 20; ++i) {
      RecordSend(upstream, now);
    }
    entry.id = "engine-1";
    upstreams.Apply(entry, now);
    for (std::uint64_t i = 0; i < 20; ++i) {
      query.random = i;
      query.affinity = i;
      CHECK(ChooseUpstream(upstreams, query, {}, now).upstream->entry.id == "engine-1");
    }
  }
}

// Guards against prompts that are read again though their engines have room (day capped): small
// requests used up the limits of the engines that had cached the segments of others, and engines
// without limits looked too full beside them.
TEST_CASE("The limits of engines are kept for requests whose segments only they have cached") {
  UpstreamSet upstreams;
  for (int i = 0; i < 6; ++i) {
    UpstreamEntry entry;
    entry.id = "engine-" + std::to_string(i);
    entry.service = "engines";
    entry.slots = 64;
    upstreams.Apply(entry, kStart);
    // Engines 0 to 3 have named limits.
    upstreams.Find(entry.id)->peer_load = i < 4 ? 1 : 12;
  }
  ChoiceQuery query;
  query.service = "engines";
  query.affinity = 5;
  query.allowance = [&](const UpstreamState& upstream) {
    const bool limited = upstream.entry.id < "engine-4";
    return limited ? std::optional<UpstreamTerms::Allowance>({seconds(4), 2}) : std::nullopt;
  };
  const auto chosen = [&](const std::vector<std::string>& holders) {
    query.holders.clear();
    for (const std::string& holder : holders) {
      query.holders.push_back(UpstreamTag(holder));
    }
    std::set<std::string> all;
    for (std::uint64_t i = 0; i < 30; ++i) {
      query.random = i;
      all.insert(ChooseUpstream(upstreams, query, {}, kStart).upstream->entry.id);
    }
    return all;
  };
  using Ids = std::set<std::string>;
  CHECK(chosen({"engine-1"}) == Ids{"engine-1"});
  CHECK(chosen({"engine-1", "engine-5"}) == Ids{"engine-5"});
  const Ids uncached = chosen({});
  CHECK(uncached.size() == 1);
  CHECK(*uncached.begin() >= "engine-4");
  query.affinity = 0;
  CHECK(chosen({}) == Ids{"engine-4", "engine-5"});
}

TEST_CASE("A limit ends") {
  UpstreamTerms terms;
  REQUIRE(terms.OnAnswer(kTag, Limit(4), 0, kStart));
  CHECK(terms.LimitOf(kTag, kStart) == 4);

  SECTION("with an answer that names none") {
    CHECK(terms.OnAnswer(kTag, {}, 0, kStart + seconds(1)));
    CHECK_FALSE(terms.LimitOf(kTag, kStart + seconds(1)));
  }
  SECTION("but not with one that can't be read") {
    CHECK_FALSE(terms.OnAnswer(kTag, Malformed(), 0, kStart + seconds(1)));
    CHECK(terms.LimitOf(kTag, kStart + seconds(1)) == 4);
  }
  SECTION("when the upstream is started again") {
    UpstreamEntry entry;
    entry.id = "engine-0";
    entry.started_ms = 1;
    terms.OnAnswer(RunTag(entry), Limit(4), 0, kStart);
    entry.started_ms = 2;
    CHECK_FALSE(terms.LimitOf(RunTag(entry), kStart));
  }
  SECTION("when no answer has confirmed it for long, since nobody may have been able to ask") {
    terms.OnAnswer(kTag, Limit(4), 0, kStart + seconds(20));
    CHECK(terms.LimitOf(kTag, kStart + seconds(49)) == 4);
    CHECK_FALSE(terms.LimitOf(kTag, kStart + seconds(51)));
    terms.Expire(kStart + seconds(51));
    CHECK(terms.empty());
  }
  SECTION("for those that hear of a newer answer, whatever the order of the messages") {
    UpstreamTerms other;
    const auto before = terms.News(kStart + milliseconds(100));
    terms.OnAnswer(kTag, {}, 0, kStart + milliseconds(200));
    other.Merge(terms.News(kStart + milliseconds(300)), kStart + milliseconds(300));
    other.Merge({{kTag, true, 4000, milliseconds(350), false, {}}}, kStart + milliseconds(350));
    CHECK(before.size() == 1);
    CHECK_FALSE(other.LimitOf(kTag, kStart + milliseconds(400)));
  }
}

TEST_CASE("A limit that one instance hears of is known to all soon") {
  const int instances = GENERATE(13, 60);
  ExchangeFleet fleet(instances, 3, 1);
  fleet.StartAll();
  fleet.Run(seconds(4));
  fleet.nodes[5].terms->OnAnswer(kTag, Limit(4), 0, fleet.now());
  fleet.Announce(5);
  const auto knowing = [&] {
    return std::count_if(fleet.nodes.begin(), fleet.nodes.end(),
                         [&](const ExchangeFleet::Node& node) {
                           return node.terms->LimitOf(kTag, fleet.now()).has_value();
                         });
  };
  // Those that have heard of it must keep to it half a second later.
  fleet.Run(instances <= 24 ? milliseconds(20) : milliseconds(500));
  CHECK(knowing() == instances);

  SECTION("and to an instance that starts later") {
    fleet.Kill(7);
    fleet.Run(seconds(1));
    fleet.Start(7);
    fleet.Run(seconds(1));
    CHECK(knowing() == instances);
  }
  SECTION("and its end as well") {
    fleet.nodes[3].terms->OnAnswer(kTag, {}, 0, fleet.now());
    fleet.Announce(3);
    fleet.Run(milliseconds(600));
    CHECK(knowing() == 0);
  }
}

TEST_CASE("A rest is a decimal number of seconds, with a bound") {
  const auto rest = [](std::vector<std::string_view> values) {
    return ReadTerms({{}, {}, std::move(values)}, seconds(60));
  };
  CHECK(rest({"3"}).rest == seconds(3));
  CHECK(rest({"0.25"}).rest == milliseconds(250));
  CHECK(rest({"0"}).rest == Duration::zero());
  CHECK_FALSE(rest({"0"}).malformed);
  CHECK(rest({"9999999999"}).rest == seconds(60));
  for (const std::string_view text : {"-1", "soon", "", "Sat, 05 Dec 2026 03:00:00 GMT"}) {
    INFO(text);
    CHECK(rest({text}).rest == Duration::zero());
    CHECK(rest({text}).malformed);
  }
  CHECK(rest({"3", "4"}).malformed);
  CHECK(ReadTerms({{}, {"1"}, {}}, seconds(60)).leaving);
  CHECK_FALSE(ReadTerms({{}, {"0"}, {}}, seconds(60)).leaving);
}

namespace {

// Two upstreams of a service, and what they have asked.
struct TwoUpstreams {
  TwoUpstreams() {
    for (const char* id : {"engine-0", "engine-1"}) {
      UpstreamEntry entry;
      entry.id = id;
      entry.service = "engines";
      entry.slots = 64;
      entry.started_ms = 1;
      upstreams.Apply(entry, kStart);
    }
    query.service = "engines";
    query.standing = [this](const UpstreamState& upstream) {
      return terms.StandingOf(RunTag(upstream.entry), now);
    };
  }

  std::uint32_t Run(const UpstreamId& id) { return RunTag(upstreams.Find(id)->entry); }

  // The upstreams that are chosen for requests of all kinds, or why there is none.
  std::set<std::string> Chosen() {
    std::set<std::string> chosen;
    for (std::uint64_t i = 0; i < 40; ++i) {
      query.random = i;
      query.affinity = i % 3;
      query.holders = {UpstreamTag(i % 2 == 0 ? "engine-0" : "engine-1")};
      const Choice choice = ChooseUpstream(upstreams, query, {}, now);
      chosen.insert(choice.upstream != nullptr
                        ? choice.upstream->entry.id
                        : std::string(NameOf(kChoiceOutcomeNames, choice.outcome)));
    }
    return chosen;
  }

  using Names = std::set<std::string>;

  UpstreamSet upstreams;
  UpstreamTerms terms;
  ChoiceQuery query;
  TimePoint now = kStart;
};

StatedTerms Leaving() {
  StatedTerms stated;
  stated.leaving = true;
  return stated;
}

StatedTerms Rest(Duration rest) {
  StatedTerms stated;
  stated.rest = rest;
  return stated;
}

}  // namespace

// Guards against requests that reach an upstream after it has said that it is about to end, which
// the platform's list may show late or not at all while the store is silent.
TEST_CASE("An upstream that says that it leaves gets no new requests") {
  TwoUpstreams two;
  REQUIRE(two.Chosen() == TwoUpstreams::Names{"engine-0", "engine-1"});
  CHECK(two.terms.OnAnswer(two.Run("engine-0"), Leaving(), 0, two.now));
  CHECK(two.Chosen() == TwoUpstreams::Names{"engine-1"});
  two.now += seconds(60);
  CHECK(two.Chosen() == TwoUpstreams::Names{"engine-1"});

  SECTION("whatever its other answers say, since they may be older") {
    two.terms.OnAnswer(two.Run("engine-0"), {}, 0, two.now);
    CHECK(two.Chosen() == TwoUpstreams::Names{"engine-1"});
  }
  SECTION("until it has been started again") {
    UpstreamEntry entry = two.upstreams.Find("engine-0")->entry;
    entry.started_ms = 2;
    two.upstreams.Apply(entry, two.now);
    CHECK(two.Chosen() == TwoUpstreams::Names{"engine-0", "engine-1"});
  }
  SECTION("and none is held to be leaving if it is listed long after") {
    two.now += seconds(300);
    CHECK(two.Chosen() == TwoUpstreams::Names{"engine-0", "engine-1"});
  }
  SECTION("and if all leave, there is none") {
    two.terms.OnAnswer(two.Run("engine-1"), Leaving(), 0, two.now);
    CHECK(two.Chosen() == TwoUpstreams::Names{"no_upstream"});
    CHECK_FALSE(HasFreeSlot(two.upstreams, two.query, {}, two.now));
  }
  SECTION("with a limit at the same time") {
    two.terms.OnAnswer(two.Run("engine-1"), Limit(4), 0, two.now);
    CHECK(two.Chosen() == TwoUpstreams::Names{"engine-1"});
    CHECK(two.terms.LimitOf(two.Run("engine-1"), two.now) == 4);
  }
}

// Guards against requests to an upstream that has asked for a rest, and against a burst at its end.
TEST_CASE("An upstream that turns an instance away gets nothing from it for so long") {
  TwoUpstreams two;
  two.terms.OnAnswer(two.Run("engine-0"), Rest(seconds(3)), 0, two.now);
  CHECK(two.Chosen() == TwoUpstreams::Names{"engine-1"});
  two.now += milliseconds(2999);
  CHECK(two.Chosen() == TwoUpstreams::Names{"engine-1"});

  SECTION("and requests again after it") {
    two.now += milliseconds(2);
    CHECK(two.Chosen() == TwoUpstreams::Names{"engine-0", "engine-1"});
  }
  SECTION("and is not asked early if all have turned it away") {
    two.terms.OnAnswer(two.Run("engine-1"), Rest(seconds(2)), 0, two.now);
    CHECK(two.Chosen() == TwoUpstreams::Names{"all_resting"});
    CHECK_FALSE(HasFreeSlot(two.upstreams, two.query, {}, two.now));
    CHECK(TimeUntilAllowed(two.upstreams, two.query, two.now) == milliseconds(1));
  }
  SECTION("and others ask another one first, but this one if there is no other") {
    UpstreamTerms first = std::exchange(two.terms, {});
    two.terms.Merge(first.News(two.now - seconds(1)), two.now - seconds(1));
    CHECK(two.Chosen() == TwoUpstreams::Names{"engine-1"});
    two.upstreams.Remove("engine-1", two.now);
    CHECK(two.Chosen() == TwoUpstreams::Names{"engine-0"});
  }
}

TEST_CASE("Instances that were turned away at once come back one after the other") {
  std::vector<Duration> returns;
  for (int i = 0; i < 18; ++i) {
    UpstreamTerms terms;
    terms.OnAnswer(kTag, Rest(seconds(5)), i / 18.0, kStart);
    returns.push_back(terms.StandingOf(kTag, kStart).resting_until - kStart);
  }
  CHECK(*std::min_element(returns.begin(), returns.end()) >= seconds(5));
  CHECK(returns.back() - returns.front() > milliseconds(400));
  CHECK(std::set<Duration>(returns.begin(), returns.end()).size() == 18);
}

TEST_CASE("That an upstream leaves is known to all soon") {
  const int instances = GENERATE(1, 13, 114);
  ExchangeFleet fleet(instances, std::min(instances, 3), 1);
  fleet.StartAll();
  fleet.Run(seconds(4));
  const auto told = static_cast<std::size_t>(instances / 2);
  fleet.nodes[told].terms->OnAnswer(kTag, Leaving(), 0, fleet.now());
  fleet.Announce(told);
  const auto knowing = [&] {
    return std::count_if(
        fleet.nodes.begin(), fleet.nodes.end(), [&](const ExchangeFleet::Node& node) {
          return node.exchange && node.terms->StandingOf(kTag, fleet.now()).leaving;
        });
  };
  fleet.Run(instances <= 24 ? milliseconds(20) : milliseconds(500));
  CHECK(knowing() == instances);

  SECTION("though a hub is lost meanwhile") {
    if (instances == 114) {
      const std::size_t hub = fleet.HubOf("dc0");
      fleet.Kill(hub);
      fleet.nodes[told].terms->OnAnswer(kTag + 1, Leaving(), 0, fleet.now());
      fleet.Announce(told);
      fleet.Run(seconds(3));
      const auto knowing_next = std::count_if(
          fleet.nodes.begin(), fleet.nodes.end(), [&](const ExchangeFleet::Node& node) {
            return node.exchange && node.terms->StandingOf(kTag + 1, fleet.now()).leaving;
          });
      CHECK(knowing_next == instances - 1 - (hub == told ? 1 : 0));
    }
  }
}

}  // namespace chiverail
