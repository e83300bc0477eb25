#include "metrics.h"

#include <catch2/catch.hpp>

namespace chiverail {
namespace {

bool Shows(const Metrics& metrics, const std::string& line) {
  return ("\n" + metrics.Render()).find("\n" + line + "\n") != std::string::npos;
}

// Guards against alerts that never fire because a series is missing or stale.
TEST_CASE("Metrics are rendered as a monitoring system needs them") {
  Metrics metrics;

  SECTION("a counter without labels is shown before its first event") {
    CHECK(Shows(metrics, "chiverail_streams_cut_total 0"));
    metrics.Add(Counter::kStreamsCut);
    CHECK(Shows(metrics, "chiverail_streams_cut_total 1"));
    CHECK_FALSE(Shows(metrics, "chiverail_streams_cut_total 0"));
  }

  SECTION("a labelled counter shows one series per label value and none without a label") {
    metrics.Add(Counter::kRefused, 2, "no_capacity");
    metrics.Add(Counter::kRefused, 1, "in_doubt");
    CHECK(Shows(metrics, "chiverail_refused_total{code=\"no_capacity\"} 2"));
    CHECK(Shows(metrics, "chiverail_refused_total{code=\"in_doubt\"} 1"));
    CHECK_FALSE(Shows(metrics, "chiverail_refused_total 0"));
  }

  SECTION("clearing a gauge removes its series and keeps those of other gauges") {
    metrics.Set(Gauge::kSlotsHeld, 3, "writer-1");
    metrics.Set(Gauge::kQueued, 1, "writer-1");
    metrics.Clear(Gauge::kSlotsHeld);
    CHECK_FALSE(Shows(metrics, "chiverail_slots{engine=\"writer-1\"} 3"));
    CHECK(Shows(metrics, "chiverail_queued{engine=\"writer-1\"} 1"));
  }

  SECTION("a summary shows quantiles, sum and count in seconds") {
    for (int i = 0; i < 4; ++i) {
      metrics.Observe(Summary::kQueueSeconds, milliseconds(250));
    }
    CHECK(Shows(metrics, "chiverail_queue_seconds{quantile=\"0.99\"} 0.25"));
    CHECK(Shows(metrics, "chiverail_queue_seconds_sum 1"));
    CHECK(Shows(metrics, "chiverail_queue_seconds_count 4"));
  }
}

}  // namespace
}  // namespace chiverail
