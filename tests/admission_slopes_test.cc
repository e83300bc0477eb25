#include <malloc.h>

#include <iostream>

#include <catch2/catch.hpp>

#include "admission.h"
#include "admission_fixture.h"

using namespace chiverail;

namespace {

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

SlotRequest RequestFor(int request, int engine, std::uint32_t wait_ms) {
  return {"request-" + std::to_string(request),
          1,
          "instance-000",
          "e" + std::to_string(engine),
          "workspace-" + std::to_string(request % 100),
          RequestClass::kInteractive,
          wait_ms,
          0};
}

// Mean time of one call of `step` in nanoseconds.
template <typename Step>
double Nanoseconds(int count, Step step) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < count; ++i) {
    step(i);
  }
  return static_cast<double>((std::chrono::steady_clock::now() - start).count()) / count;
}

// Returns an owner of `engines` idle engines that are all active, with a high total.
std::unique_ptr<AdmissionController> ActiveOwner(int engines, TimePoint& now) {
  OneDataCentre site(engines, 64, 64);
  auto owner = std::make_unique<AdmissionController>("instance-000", 1, "dc");
  owner->OnView(site.View(), now);
  site.Add("instance-000", 1);
  const auto view = site.View();
  owner->OnView(view, now);
  for (int second = 0; second < 4; ++second) {
    now += seconds(1);
    owner->SetPoolTotal(LoadPool(view->engines()[0]), {1'000'000, 1'000'000}, now);
    for (int engine = 0; engine < engines; ++engine) {
      owner->OnLoadReport("e" + std::to_string(engine), {"run", 0, false, now}, now);
    }
  }
  return owner;
}

}  // namespace

TEST_CASE("Measures memory and time of admission", "[.measure]") {
  for (int engines : {1, 16, 256, 810}) {
    TimePoint now{seconds(1000)};
    const std::size_t before = HeapBytes();
    const auto owner = ActiveOwner(engines, now);
    const std::size_t with_engines = HeapBytes();
    const int granted = 64 * engines;
    const double grant = Nanoseconds(
        granted, [&](int i) { owner->RequestSlot(RequestFor(i, i % engines, 0), now); });
    const std::size_t with_slots = HeapBytes();
    const int queued = 10'000;
    const double queue = Nanoseconds(queued, [&](int i) {
      owner->RequestSlot(RequestFor(granted + i, i % engines, 60'000), now);
    });
    const std::size_t with_queue = HeapBytes();
    const double release = Nanoseconds(std::min(granted, queued), [&](int i) {
      owner->Release({"request-" + std::to_string(i), 1, "instance-000",
                      "e" + std::to_string(i % engines), true, 200},
                     now);
    });
    std::cout << engines << " engines: " << (with_engines - before) / engines
              << " bytes per engine (with its view and report history), "
              << (with_slots - with_engines) / granted << " per slot, "
              << (with_queue - with_slots) / queued << " per queued request; " << grant
              << " ns per granted slot request, " << queue << " per queued request, " << release
              << " per release that serves the queue\n";
  }
}
