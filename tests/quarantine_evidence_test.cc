// What counts as evidence against a prompt segment, and what does not.

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "fleet_messages.h"
#include "prompt_quarantine.h"

namespace chiverail {
namespace {

using Segments = std::vector<SegmentHash>;

constexpr SegmentHash kDeadly = 666;
constexpr SegmentHash kShared = 1;
constexpr SegmentHash kFirstOther = 10'000;
constexpr TimePoint kStart = TimePoint(seconds(1000));
constexpr Duration kContact = seconds(3);

// Upstreams in virtual time that answer requests of one instance after a while, end for several
// reasons, and are back under the same id. Requests with a segment go to the same upstream while it
// runs.
class EndingUpstreams {
 public:
  struct Options {
    std::size_t upstreams = 3;
    Duration down = seconds(2);
    Duration deadly_every{};          // zero for none
    Duration rolling_every{};         // each upstream in turn ends
    Duration self_every{};            // the first upstream ends
    std::vector<Duration> outages{};  // half of the upstreams, the first one at least, end
  };

  explicit EndingUpstreams(Options options)
      : options_(std::move(options)), upstreams_(options_.upstreams) {}

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      EndPlanned();
      Answer();
      if (Due(milliseconds(250))) {
        quarantine_.Update(now_);
      }
      if (Due(milliseconds(50))) {
        SendSound();
      }
      if (Due(options_.deadly_every)) {
        SendDeadly();
      }
    }
  }

  std::size_t crashes() const { return crashes_.size(); }
  int late_deadly() const { return late_deadly_; }
  int sound() const { return sound_; }
  int sound_held() const { return sound_held_; }

 private:
  static constexpr Duration kStep = milliseconds(10);
  static constexpr Duration kFirstEvent = milliseconds(200);
  static constexpr SegmentHash kFirstPart = 1000;
  static constexpr std::size_t kParts = 40;

  struct Waiting {
    Segments segments;
    TimePoint begins_at{};
  };
  struct Upstream {
    TimePoint back_at{};
    std::vector<Waiting> waiting;
  };

  bool Due(Duration period) const {
    return period > Duration::zero() && (now_ - kStart) % period < kStep;
  }

  void End(std::size_t index) {
    Upstream& upstream = upstreams_[index];
    Segments cut;
    for (const Waiting& request : std::exchange(upstream.waiting, {})) {
      cut.insert(cut.end(), request.segments.begin(), request.segments.end());
    }
    upstream.back_at = now_ + options_.down;
    quarantine_.OnUpstreamEnded(static_cast<std::uint32_t>(index + 1), cut, now_, now_);
  }

  void EndPlanned() {
    if (Due(options_.rolling_every)) {
      End(next_rolling_++ % upstreams_.size());
    }
    if (Due(options_.self_every)) {
      End(0);
    }
    for (const Duration outage : options_.outages) {
      const std::size_t out = (upstreams_.size() + 1) / 2;
      for (std::size_t i = 0; i < out; ++i) {
        // Instances find the ends of a data centre spread over some time.
        if (now_ == kStart + outage + kStep * static_cast<int>(30 * i / out)) {
          End(i);
        }
      }
    }
  }

  void Answer() {
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      std::vector<Waiting>& waiting = upstreams_[i].waiting;
      const auto begins =
          std::stable_partition(waiting.begin(), waiting.end(),
                                [&](const Waiting& request) { return now_ < request.begins_at; });
      const std::vector<Waiting> begun(begins, waiting.end());
      for (const Waiting& request : begun) {
        if (std::count(request.segments.begin(), request.segments.end(), kDeadly) > 0) {
          crashes_.push_back(now_);
          End(i);
          break;
        }
        quarantine_.OnBegun(request.segments, now_);
      }
      waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                   [&](const Waiting& r) { return r.begins_at <= now_; }),
                    waiting.end());
    }
  }

  // Returns whether the request was sent; it is not if no upstream runs.
  bool Send(const Segments& segments, std::size_t preferred, bool& held) {
    held = quarantine_
               .Check(
                   segments, [](SegmentHash) { return true; }, now_)
               .held;
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      Upstream& upstream = upstreams_[(preferred + i) % upstreams_.size()];
      if (upstream.back_at <= now_) {
        if (!held) {
          upstream.waiting.push_back({segments, now_ + kFirstEvent});
        }
        return true;
      }
    }
    return false;
  }

  void SendSound() {
    const std::size_t part = random_() % kParts;
    bool held = false;
    if (Send({kShared, kFirstPart + part}, part, held)) {
      ++sound_;
      sound_held_ += held ? 1 : 0;
    }
  }

  void SendDeadly() {
    bool held = false;
    const bool late = crashes_.size() >= 5 && crashes_[4] + kContact < now_;
    if (Send({kShared, kDeadly}, 0, held) && !held && late) {
      ++late_deadly_;
    }
  }

  Options options_;
  PromptQuarantine quarantine_{7};
  std::vector<Upstream> upstreams_;
  TimePoint now_ = kStart;
  std::vector<TimePoint> crashes_;
  std::mt19937_64 random_{1};
  std::size_t next_rolling_ = 0;
  int late_deadly_ = 0;
  int sound_ = 0;
  int sound_held_ = 0;
};

}  // namespace

// Guards against deadly prompt parts that are never held because one upstream, which keeps its id,
// ends again and again, or because the ends are close to each other (review/2, BUDGET).
TEST_CASE("A deadly segment is held by the ends of upstreams, whichever they are") {
  EndingUpstreams::Options options;
  options.upstreams = GENERATE(1, 3, 12);
  options.deadly_every = milliseconds(GENERATE(40, 200, 1000, 4000));
  options.down = GENERATE(seconds(2), seconds(3));

  SECTION("while nothing else happens") {}
  SECTION("while upstreams are restarted in turn") {
    options.rolling_every = seconds(5);
  }
  SECTION("while one upstream ends by itself") {
    options.self_every = seconds(3);
    options.down = seconds(2);
  }
  SECTION("while a data centre is out") {
    options.outages = {seconds(6), seconds(20)};
  }

  EndingUpstreams upstreams(options);
  upstreams.Run(seconds(100));
  INFO(upstreams.crashes() << " crashes, " << upstreams.late_deadly() << " late requests, "
                           << upstreams.sound_held() << " of " << upstreams.sound()
                           << " sound requests held");
  CHECK(upstreams.crashes() >= 3);
  CHECK(upstreams.late_deadly() <= 3);
  CHECK(upstreams.sound_held() * 2 < upstreams.sound());
}

// Guards against sound requests that are refused because upstreams end for other reasons (LOST).
TEST_CASE("No sound segment is held while upstreams end for other reasons") {
  EndingUpstreams::Options options;
  options.upstreams = GENERATE(1, 3, 12);
  options.down = GENERATE(milliseconds(500), seconds(1), seconds(2));

  SECTION("restarts in turn") {
    options.rolling_every = seconds(3);
  }
  SECTION("one that ends every 3 s") {
    options.self_every = seconds(3);
  }
  SECTION("a data centre") {
    options.outages = {seconds(10), seconds(30), seconds(31), seconds(60)};
  }
  SECTION("all of these") {
    options.rolling_every = seconds(5);
    options.self_every = seconds(3);
    options.outages = {seconds(10), seconds(30)};
  }

  EndingUpstreams upstreams(options);
  upstreams.Run(seconds(100));
  INFO(options.upstreams << " upstreams, " << upstreams.sound() << " sound requests");
  CHECK(upstreams.sound() > 200);
  CHECK(upstreams.sound_held() == 0);
}

// Guards against a deadly segment that is left out of a report because there are many others
// (review/4, BUDGET).
TEST_CASE("A deadly segment is found among many others") {
  PromptQuarantine quarantine(7);
  TimePoint now = kStart;
  const int others = GENERATE(3, 33, 200, 1500);
  const bool known = GENERATE(false, true);
  Segments prompt;
  for (int i = 0; i < others; ++i) {
    prompt.push_back(kFirstOther + static_cast<SegmentHash>(i));
  }
  const Segments sound = prompt;
  if (known) {
    quarantine.OnBegun(sound, now);
  }

  SECTION("before it in the prompt") {
    prompt.push_back(kDeadly);
  }
  SECTION("after it in the prompt") {
    prompt.insert(prompt.begin(), kDeadly);
  }
  SECTION("of requests that were cut by the same end") {
    Segments all;
    for (int request = 0; request < 40; ++request) {
      all.insert(all.end(), prompt.begin(), prompt.end());
    }
    all.push_back(kDeadly);
    prompt = all;
  }

  for (std::uint32_t end = 0; end < 5; ++end) {
    quarantine.OnUpstreamEnded(100 + end, prompt, now, now);
    now += milliseconds(500);
    // Sound requests share the other parts.
    quarantine.OnBegun(sound, now);
    now += milliseconds(500);
    quarantine.Update(now);
  }
  now += seconds(1);
  quarantine.Update(now);
  CHECK(quarantine
            .Check(
                {kDeadly}, [](SegmentHash) { return false; }, now)
            .held);
  CHECK(quarantine.held() == 1);
}

// Guards against memory and messages that grow with the number of prompt parts.
TEST_CASE("Evidence stays bounded with 100,000 prompt parts") {
  PromptQuarantine quarantine(7);
  TimePoint now = kStart;
  constexpr SegmentHash kParts = 100'000;
  std::size_t largest = 0;
  for (SegmentHash part = 0; part < kParts; part += 50) {
    Segments prompt;
    for (SegmentHash i = 0; i < 50; ++i) {
      prompt.push_back(kFirstOther + part + i);
    }
    quarantine.OnUpstreamEnded(static_cast<std::uint32_t>(part % 13), prompt, now, now);
    now += milliseconds(50);
    if (part % 3 == 0) {
      quarantine.OnBegun(prompt, now);
    }
    if (part % 1000 == 0) {
      quarantine.Update(now);
      HubForward forward;
      forward.quarantine = quarantine.News(now);
      largest = std::max(largest, EncodeFleetMessage(forward).size());
    }
  }
  CHECK(quarantine.reports() <= PromptQuarantine::kMaxReports);
  CHECK(quarantine.held() <= PromptQuarantine::kMaxHolds);
  // The buffer for a datagram has 16 KB.
  CHECK(largest < 12 * 1024);
}

// Guards against evidence that is lost on its way: no instance sees two ends, and one that passes
// reports on tells a part of them in each message.
TEST_CASE("Instances that each see one end hold the segment together") {
  const std::size_t instances = GENERATE(5, 24, 200);
  std::vector<std::unique_ptr<PromptQuarantine>> fleet;
  for (std::size_t i = 0; i < instances; ++i) {
    fleet.push_back(std::make_unique<PromptQuarantine>(static_cast<std::uint32_t>(i + 1)));
  }
  PromptQuarantine hub(9999);
  TimePoint now = kStart;
  const bool one_upstream = GENERATE(false, true);
  const auto exchange = [&] {
    now += milliseconds(250);
    for (const auto& instance : fleet) {
      hub.Merge(instance->News(now), now);
    }
    for (const auto& instance : fleet) {
      instance->Merge(hub.News(now), now);
      instance->Update(now);
    }
  };
  for (std::size_t i = 0; i < instances; ++i) {
    const auto upstream = one_upstream ? 1 : static_cast<std::uint32_t>(i + 1);
    fleet[i]->OnBegun({kShared}, now);
    fleet[i]->OnUpstreamEnded(upstream, {kShared, kDeadly}, now, now);
    if (i < 5) {
      for (int step = 0; step < 9; ++step) {
        exchange();
      }
    }
  }
  for (int step = 0; step < 8; ++step) {
    exchange();
  }
  CHECK(std::all_of(fleet.begin(), fleet.end(),
                    [](const auto& instance) { return instance->held() == 1; }));
}

}  // namespace chiverail
