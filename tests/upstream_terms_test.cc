#include "upstream_terms.h"

#include <algorithm>

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
  return ParseRequestLimit(values);
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
    each.OnAnswer(kTag, {limit, false}, kStart + seconds(1));
  }
  const Reached reached = SendAll(
      count, length, pause, [&](std::size_t i, UpstreamState& view, TimePoint now) {
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
          tokens[i] = std::min(1.0, tokens[i] + share * std::chrono::duration<double>(pause).count());
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
    return terms.AllowanceOf(state.tag, {"front-0"}, "front-0", now);
  };
  for (int i = 0; i < 20; ++i) {
    RecordSend(upstream, now);
  }
  CHECK(ChooseUpstream(upstreams, query, {}, now).outcome == ChoiceOutcome::kChosen);
  terms.OnAnswer(upstream.tag, {4, false}, now);
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

TEST_CASE("A limit ends") {
  UpstreamTerms terms;
  REQUIRE(terms.OnAnswer(kTag, {4, false}, kStart));
  CHECK(terms.LimitOf(kTag, kStart) == 4);

  SECTION("with an answer that names none") {
    CHECK(terms.OnAnswer(kTag, {}, kStart + seconds(1)));
    CHECK_FALSE(terms.LimitOf(kTag, kStart + seconds(1)));
  }
  SECTION("but not with one that can't be read") {
    CHECK_FALSE(terms.OnAnswer(kTag, {0, true}, kStart + seconds(1)));
    CHECK(terms.LimitOf(kTag, kStart + seconds(1)) == 4);
  }
  SECTION("when the upstream is started again") {
    terms.Forget(kTag);
    CHECK_FALSE(terms.LimitOf(kTag, kStart));
  }
  SECTION("when no answer has confirmed it for long, since nobody may have been able to ask") {
    terms.OnAnswer(kTag, {4, false}, kStart + seconds(20));
    CHECK(terms.LimitOf(kTag, kStart + seconds(49)) == 4);
    CHECK_FALSE(terms.LimitOf(kTag, kStart + seconds(51)));
    terms.Expire(kStart + seconds(51));
    CHECK(terms.empty());
  }
  SECTION("for those that hear of a newer answer, whatever the order of the messages") {
    UpstreamTerms other;
    const auto before = terms.News(kStart + milliseconds(100));
    terms.OnAnswer(kTag, {}, kStart + milliseconds(200));
    other.Merge(terms.News(kStart + milliseconds(300)), kStart + milliseconds(300));
    other.Merge({{kTag, 4000, milliseconds(350)}}, kStart + milliseconds(350));
    CHECK(before.size() == 1);
    CHECK_FALSE(other.LimitOf(kTag, kStart + milliseconds(400)));
  }
}

TEST_CASE("A limit that one instance hears of is known to all soon") {
  const int instances = GENERATE(13, 60);
  ExchangeFleet fleet(instances, 3, 1);
  fleet.StartAll();
  fleet.Run(seconds(4));
  fleet.nodes[5].terms->OnAnswer(kTag, {4, false}, fleet.now());
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
    fleet.nodes[3].terms->OnAnswer(kTag, {}, fleet.now());
    fleet.Announce(3);
    fleet.Run(milliseconds(600));
    CHECK(knowing() == 0);
  }
}

}  // namespace chiverail
