#include "admission.h"

#include <catch2/catch.hpp>

#include "admission_fixture.h"

using namespace chiverail;

namespace {

SlotRequest RequestFor(const std::string& request,
                       const UpstreamId& engine,
                       std::uint32_t wait_ms = 0) {
  return {request, 1,           "holder",
          engine,  "workspace", RequestClass::kInteractive,
          wait_ms, 0,           wait_ms > 0 ? SlotClaim::kLastResort : SlotClaim::kCached};
}

SlotRelease ReleaseFor(const std::string& request, const UpstreamId& engine) {
  return {request, 1, "holder", engine, true, 200};
}

// Advances the time with a Tick every second, since an owner that is not called for longer assumes
// that the process was paused.
void PassTime(const std::vector<AdmissionController*>& owners, TimePoint& now, Duration duration) {
  const TimePoint end = now + duration;
  while (now < end) {
    now = std::min<TimePoint>(now + seconds(1), end);
    for (AdmissionController* owner : owners) {
      owner->Tick(now);
    }
  }
}

template <typename Action>
int Count(const AdmissionActions& actions) {
  int count = 0;
  for (const AdmissionAction& action : actions) {
    count += std::holds_alternative<Action>(action) ? 1 : 0;
  }
  return count;
}

ErrorCode RefusalCode(const AdmissionActions& actions) {
  REQUIRE(Count<SlotRefused>(actions) == 1);
  const auto& refused = std::get<SlotRefused>(actions.front());
  CHECK(refused.error.ran == Ran::kNo);
  return refused.error.code;
}

}  // namespace

TEST_CASE("An owner grants, queues and refuses slots") {
  TimePoint now{seconds(1000)};
  OneDataCentre site(1, 4, 4);
  AdmissionController owner("a", 1, "dc");
  owner.OnView(site.View(), now);
  const std::uint64_t pool = LoadPool(site.View()->engines()[0]);
  CHECK(RefusalCode(owner.RequestSlot(RequestFor("r0", "e0"), now)) == ErrorCode::kNotReady);

  site.Add("a", 1);
  owner.OnView(site.View(), now);
  owner.SetPoolTotal(pool, {100, 100}, now);
  REQUIRE(owner.Status("e0")->phase == AdmissionPhase::kAwaitingReport);
  CHECK(RefusalCode(owner.RequestSlot(RequestFor("r0", "e0"), now)) == ErrorCode::kNotReady);
  PassTime({&owner}, now, seconds(3));
  owner.OnLoadReport("e0", {"run", 0, false, now}, now);
  for (int i = 0; i < 4; ++i) {
    CHECK(Count<SlotGranted>(owner.RequestSlot(RequestFor("r" + std::to_string(i), "e0"), now)) ==
          1);
  }
  CHECK(RefusalCode(owner.RequestSlot(RequestFor("r4", "e0"), now)) == ErrorCode::kNoCapacity);
  CHECK(Count<SlotQueued>(owner.RequestSlot(RequestFor("r5", "e0", 5000), now)) == 1);

  SECTION("repeated slot requests get the same answer and take no second slot") {
    CHECK(Count<SlotGranted>(owner.RequestSlot(RequestFor("r0", "e0"), now)) == 1);
    CHECK(Count<SlotQueued>(owner.RequestSlot(RequestFor("r5", "e0", 5000), now)) == 1);
    CHECK(owner.Status("e0")->slots == 4);
    CHECK(owner.Status("e0")->queued == 1);
  }

  SECTION("a release grants the slot to a queued request; a repeated release frees nothing") {
    const auto actions = owner.Release(ReleaseFor("r0", "e0"), now);
    REQUIRE(Count<SlotGranted>(actions) == 1);
    CHECK(std::get<SlotGranted>(actions.front()).answer.request == "r5");
    CHECK(owner.Release(ReleaseFor("r0", "e0"), now).empty());
    CHECK(owner.Status("e0")->slots == 4);

    SECTION("and a late slot request of the ended attempt takes no slot") {
      owner.Release(ReleaseFor("r1", "e0"), now);
      CHECK(RefusalCode(owner.RequestSlot(RequestFor("r0", "e0"), now)) == ErrorCode::kNoCapacity);
    }
  }

  SECTION("a release that overtakes its slot request cancels the request") {
    owner.Release(ReleaseFor("r1", "e0"), now);
    owner.Release(ReleaseFor("r9", "e0"), now);
    CHECK(Count<SlotRefused>(owner.RequestSlot(RequestFor("r9", "e0", 5000), now)) == 1);
  }

  SECTION("a queued request is refused at its deadline") {
    CHECK(owner.NextDeadline() == now + seconds(1));  // the bound increases with the wait
    PassTime({&owner}, now, seconds(4));
    CHECK(owner.NextDeadline() == now + seconds(1));  // the deadline of the request
    CHECK(RefusalCode(owner.Tick(now + seconds(1))) == ErrorCode::kDeadlineExpired);
    CHECK(owner.Status("e0")->queued == 0);
  }

  SECTION("running requests that no slot accounts for are foreign load") {
    owner.Release(ReleaseFor("r0", "e0"), now);
    owner.Release(ReleaseFor("r1", "e0"), now);
    now += seconds(1);
    owner.OnLoadReport("e0", {"run", 5, false, now}, now);
    CHECK(owner.Status("e0")->foreign == 2);
    CHECK(Count<SlotGranted>(owner.RequestSlot(RequestFor("r6", "e0"), now)) == 0);
    now += seconds(1);
    owner.OnLoadReport("e0", {"run", 3, false, now}, now);
    CHECK(Count<SlotGranted>(owner.RequestSlot(RequestFor("r7", "e0"), now)) == 1);
  }

  SECTION("a report sampled when more slots were in use shows no foreign load") {
    const TimePoint sampled = now;
    now += seconds(1);
    owner.Release(ReleaseFor("r0", "e0"), now);
    owner.Release(ReleaseFor("r1", "e0"), now);
    owner.OnLoadReport("e0", {"run", 4, false, sampled}, now);
    CHECK(owner.Status("e0")->foreign == 0);
  }

  SECTION("a slot whose release was lost is not counted as a running request") {
    now += seconds(1);
    owner.OnLoadReport("e0", {"run", 3, false, now}, now);
    CHECK(owner.Status("e0")->slots == 4);
    CHECK(owner.PoolLoads(now)[0].outstanding == 3);
  }

  SECTION("slots of a lost holder count until a later report shows that they are free") {
    now += seconds(1);
    owner.OnHolderLost("holder", now);
    CHECK(owner.Status("e0")->slots == 0);
    CHECK(owner.Status("e0")->foreign == 4);
    owner.OnLoadReport("e0", {"run", 0, false, now - milliseconds(500)}, now);
    CHECK(owner.Status("e0")->foreign == 4);
    owner.OnLoadReport("e0", {"run", 0, false, now + seconds(1)}, now + seconds(1));
    CHECK(owner.Status("e0")->foreign == 0);
  }

  SECTION("a slot whose release was lost is free after the longest request and a report") {
    PassTime({&owner}, now, site.state().manifest->longest_request);
    owner.OnLoadReport("e0", {"run", 0, false, now}, now);
    CHECK(owner.Status("e0")->slots == 0);
    CHECK(owner.Status("e0")->foreign == 0);
  }

  SECTION("nothing is granted without a valid lease, and the queue is served when it is renewed") {
    owner.SetGrantsUntil(now + seconds(1), now);
    CHECK(owner.Release(ReleaseFor("r0", "e0"), now + seconds(1)).empty());
    CHECK(RefusalCode(owner.RequestSlot(RequestFor("r8", "e0"), now + seconds(1))) ==
          ErrorCode::kNotReady);
    CHECK(Count<SlotGranted>(owner.SetGrantsUntil(now + seconds(9), now + seconds(2))) == 1);
  }

  SECTION("after a pause, buffered messages are handled before a slot is granted") {
    now += seconds(5);
    CHECK(owner.PoolLoads(now).empty());
    CHECK(owner.Release(ReleaseFor("r0", "e0"), now).size() == 1);  // r5 has expired
    CHECK(RefusalCode(owner.RequestSlot(RequestFor("r6", "e0"), now)) == ErrorCode::kNotReady);
    PassTime({&owner}, now, seconds(1));
    CHECK(owner.PoolLoads(now)[0].outstanding == 3);
    CHECK(Count<SlotGranted>(owner.RequestSlot(RequestFor("r7", "e0"), now)) == 1);
  }

  SECTION("a draining engine gets no new work") {
    site.state().draining_upstreams = {"e0"};
    CHECK(RefusalCode(owner.OnView(site.View(), now)) == ErrorCode::kNoUpstream);
    owner.Release(ReleaseFor("r0", "e0"), now);
    CHECK(RefusalCode(owner.RequestSlot(RequestFor("r9", "e0", 5000), now)) ==
          ErrorCode::kNoUpstream);
    CHECK(owner.PoolLoads(now).empty());
  }
}

TEST_CASE("The load bound depends on the total") {
  TimePoint now{seconds(1000)};
  OneDataCentre site(1, 64, 64);
  for (int i = 1; i < 10; ++i) {
    auto manifest = std::make_shared<Manifest>(*site.state().manifest);
    manifest->upstreams.push_back(manifest->upstreams[0]);
    manifest->upstreams.back().id = "far" + std::to_string(i);
    manifest->upstreams.back().data_centre = "elsewhere";
    site.state().manifest = manifest;
    manifest->data_centres = {{"dc", "region"}, {"elsewhere", "region"}};
  }
  AdmissionController owner("a", 1, "dc");
  owner.OnView(site.View(), now);
  site.Add("a", 1);
  const auto view = site.View();
  owner.OnView(view, now);
  PassTime({&owner}, now, seconds(3));
  owner.OnLoadReport("e0", {"run", 0, false, now}, now);
  const std::uint64_t pool = LoadPool(view->engines()[0]);
  CHECK(owner.Status("e0")->limit == 1);
  owner.SetPoolTotal(pool, {100, 100}, now);
  CHECK(owner.Status("e0")->limit == 12);  // ceil(1.125 * 101 / 10) = ceil(101 / 10) + 1

  SECTION("requests that do not wait leave a margin for the variation of the total") {
    owner.SetPoolTotal(pool, {100, 90}, now);
    int granted = 0;
    for (int i = 0; i < 15; ++i) {
      granted +=
          Count<SlotGranted>(owner.RequestSlot(RequestFor("r" + std::to_string(i), "e0"), now));
    }
    CHECK(granted == 12);  // ceil(1.1125 * (90 + 11 + 1) / 10)
    CHECK(Count<SlotGranted>(owner.RequestSlot(RequestFor("q", "e0", 5000), now)) == 1);
  }

  SECTION("the last slots are reserved for cached prefixes") {
    int granted = 0;
    for (int i = 0; i < 15; ++i) {
      SlotRequest request = RequestFor("r" + std::to_string(i), "e0");
      request.claim = SlotClaim::kUncached;
      granted += Count<SlotGranted>(owner.RequestSlot(request, now));
    }
    CHECK(granted == 11);  // 13 - ceil(0.35 * sqrt(13)) with 13 = ceil(1.1125 * 111 / 10)
    CHECK(Count<SlotGranted>(owner.RequestSlot(RequestFor("cached", "e0"), now)) == 1);
  }

  SECTION("a short wait for a cached prefix does not raise the bound") {
    owner.SetPoolTotal(pool, {100, 80}, now);
    for (int i = 0; i < 15; ++i) {
      SlotRequest request = RequestFor("r" + std::to_string(i), "e0", 500);
      request.claim = SlotClaim::kCached;
      owner.RequestSlot(request, now);
    }
    CHECK(owner.Status("e0")->slots == 11);  // ceil(1.1125 * (80 + 10 + 1) / 10)
    owner.RequestSlot(RequestFor("last", "e0", 5000), now);
    CHECK(owner.Status("e0")->slots == 13);  // ceil(1.125 * (100 + 12 + 1) / 10)
  }

  SECTION("a higher total serves the queue") {
    for (int i = 0; i < 15; ++i) {
      owner.RequestSlot(RequestFor("r" + std::to_string(i), "e0", 5000), now);
    }
    CHECK(owner.Status("e0")->slots == 13);  // ceil(1.125 * (100 + 12 + 1) / 10)
    CHECK(Count<SlotGranted>(owner.SetPoolTotal(pool, {200, 200}, now)) == 2);
  }

  SECTION("draining engines count for the mean until no digest includes their requests") {
    for (int i = 1; i < 6; ++i) {
      site.state().draining_upstreams.insert("far" + std::to_string(i));
    }
    owner.OnView(site.View(), now);
    CHECK(owner.Status("e0")->limit == 12);
    CHECK(owner.NextDeadline() == now + seconds(8));
    PassTime({&owner}, now, seconds(8));
    CHECK(owner.Status("e0")->limit == 23);
  }
}

TEST_CASE("An engine changes its owner") {
  TimePoint now{seconds(1000)};
  OneDataCentre site(1, 2, 8);
  AdmissionController a("a", 1, "dc");
  AdmissionController b("b", 1, "dc");
  a.OnView(site.View(), now);
  b.OnView(site.View(), now);
  const std::uint64_t pool = LoadPool(site.View()->engines()[0]);
  site.Add("a", 1);
  a.OnView(site.View(), now);
  b.OnView(site.View(), now);
  a.SetPoolTotal(pool, {100, 100}, now);
  b.SetPoolTotal(pool, {100, 100}, now);
  PassTime({&a, &b}, now, seconds(30));
  a.OnLoadReport("e0", {"run", 0, false, now}, now);
  for (int i = 0; i < 2; ++i) {
    REQUIRE(Count<SlotGranted>(a.RequestSlot(RequestFor("r" + std::to_string(i), "e0"), now)) == 1);
  }
  site.Add("b", 1);

  SECTION("planned: the old owner leaves and sends its handover at once") {
    site.SetLeaving("a");
    const auto view = site.View();
    const auto actions = a.OnView(view, now);
    REQUIRE(Count<SendHandover>(actions) == 1);
    const AdmissionHandover handover = std::get<SendHandover>(actions.front()).handover;
    CHECK(handover.slots.size() == 2);

    SECTION("the handover may arrive before the view") {
      b.OnHandover(handover, now);
      b.OnView(view, now);
      CHECK(b.Status("e0")->phase == AdmissionPhase::kActive);
      CHECK(b.Status("e0")->slots == 2);
    }

    SECTION("the new owner waits for a live old owner and counts its slots once") {
      b.OnView(view, now);
      PassTime({&b}, now, seconds(3));
      b.OnLoadReport("e0", {"run", 2, false, now}, now);
      REQUIRE(b.Status("e0")->phase == AdmissionPhase::kAwaitingHandover);
      b.OnHandover(handover, now);
      b.OnHandover(handover, now);
      CHECK(b.Status("e0")->phase == AdmissionPhase::kActive);
      CHECK(b.Status("e0")->slots == 2);
      CHECK(b.PoolLoads(now).empty());  // the old owner's digests may still include them
      PassTime({&b}, now, seconds(6));
      REQUIRE(b.PoolLoads(now).size() == 1);
      CHECK(b.PoolLoads(now)[0].outstanding == 2);
    }

    SECTION("a release before the handover stays valid; the old owner forwards a release once") {
      b.OnView(view, now);
      b.Release(ReleaseFor("r0", "e0"), now);
      b.OnHandover(handover, now);
      CHECK(b.Status("e0")->slots == 1);
      const auto forwarded = a.Release(ReleaseFor("r1", "e0"), now);
      REQUIRE(Count<ForwardRelease>(forwarded) == 1);
      CHECK(std::get<ForwardRelease>(forwarded.front()).to == "b");
      CHECK(a.Release(ReleaseFor("r1", "e0"), now).empty());
    }

    SECTION("an instance that is no longer the next owner forwards the handover once") {
      AdmissionController c("c", 1, "dc");
      c.OnView(site.View(), now);
      b.OnView(view, now);
      site.Add("c", 1);
      site.SetLeaving("b");
      const auto later = site.View();
      c.OnView(later, now);
      b.OnView(later, now);
      REQUIRE(c.Status("e0")->phase == AdmissionPhase::kAwaitingHandover);
      const auto forwarded = b.OnHandover(handover, now);
      REQUIRE(Count<SendHandover>(forwarded) == 1);
      CHECK(std::get<SendHandover>(forwarded.front()).to == "c");
      CHECK(b.OnHandover(handover, now).empty());
      c.OnHandover(std::get<SendHandover>(forwarded.front()).handover, now);
      CHECK(c.Status("e0")->phase == AdmissionPhase::kActive);
      CHECK(c.Status("e0")->slots == 2);
    }

    SECTION("a handover is resent in case it was lost") {
      CHECK(Count<SendHandover>(a.Tick(a.NextDeadline())) == 1);
    }

    SECTION("a handover of an earlier owner change is ignored") {
      b.OnView(view, now);
      b.OnHandover(handover, now);
      site.Add("a", 1);
      site.SetLeaving("b");
      b.OnView(site.View(), now);
      site.SetLeaving("a");
      site.Add("b", 1);
      b.OnView(site.View(), now);
      REQUIRE(b.Status("e0"));
      b.OnHandover(handover, now);
      CHECK(b.Status("e0")->phase == AdmissionPhase::kAwaitingHandover);
    }
  }

  SECTION("unplanned: the new owner waits for a load report sampled after the eviction") {
    PassTime({&b}, now, seconds(30));
    site.Evict("a");
    b.OnView(site.View(), now);
    REQUIRE(b.Status("e0")->phase == AdmissionPhase::kAwaitingReport);
    const TimePoint evicted = now;
    PassTime({&b}, now, seconds(3));
    b.OnLoadReport("e0", {"run", 0, false, evicted - seconds(1)}, now);
    CHECK(b.Status("e0")->phase == AdmissionPhase::kAwaitingReport);
    b.OnLoadReport("e0", {"run", 2, false, evicted + seconds(1)}, now);
    CHECK(b.Status("e0")->phase == AdmissionPhase::kActive);
    CHECK(b.Status("e0")->foreign == 2);
    CHECK(Count<SlotGranted>(b.RequestSlot(RequestFor("n", "e0"), now)) ==
          0);  // the engine may be cold
  }

  SECTION("a restarted owner waits until the lease of its earlier run has expired") {
    site.Evict("b");
    AdmissionController restarted("a", 2, "dc");
    restarted.OnView(site.View(), now);
    CHECK_FALSE(restarted.Status("e0"));
    site.Add("a", 2);
    restarted.OnView(site.View(), now);
    restarted.OnLoadReport("e0", {"run", 2, false, now + seconds(10)}, now + seconds(10));
    CHECK(restarted.Status("e0")->phase == AdmissionPhase::kAwaitingReport);
    restarted.OnLoadReport("e0", {"run", 2, false, now + seconds(20)}, now + seconds(20));
    CHECK(restarted.Status("e0")->phase == AdmissionPhase::kActive);
    CHECK(restarted.Status("e0")->foreign == 2);
  }
}
