#include "metrics.h"

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace chiverail {
namespace {

namespace acc = boost::accumulators;

// Name, label and help text of one metric.
template <typename E>
struct MetricRow {
  E value;
  std::string_view name;
  std::string_view label;
  std::string_view help;
};

constexpr MetricRow<Counter> kCounters[] = {
    {Counter::kRequests, "chiverail_requests_total", "class",
     "Chat requests accepted for routing."},
    {Counter::kRefused, "chiverail_refused_total", "code",
     "Requests refused or failed, by error code."},
    {Counter::kPromptTokens, "chiverail_prompt_tokens_total", "",
     "Prompt tokens of finished requests."},
    {Counter::kCachedPromptTokens, "chiverail_cached_prompt_tokens_total", "",
     "Prompt tokens found in prompt caches."},
    {Counter::kStreamsCut, "chiverail_streams_cut_total", "",
     "Responses that ended without the end marker."},
    {Counter::kStreamsResumed, "chiverail_streams_resumed_total", "",
     "Streams resumed at the offset where they were interrupted."},
    {Counter::kRetries, "chiverail_retries_total", "", "Retries of idempotent requests."},
    {Counter::kRetriesRefused, "chiverail_retries_refused_total", "",
     "Retries refused because the retry budget was exhausted."},
    {Counter::kRemoteSlotRequests, "chiverail_remote_slot_asks_total", "",
     "Slot requests sent to other instances."},
    {Counter::kControlBytesSent, "chiverail_control_bytes_total", "kind",
     "Bytes of control messages sent, including headers."},
    {Counter::kControlBytesDropped, "chiverail_control_bytes_dropped_total", "",
     "Bytes of control messages dropped because the budget was exhausted."},
    {Counter::kTableReads, "chiverail_table_reads_total", "", "Reads of the platform's table."},
    {Counter::kTableWrites, "chiverail_table_writes_total", "", "Writes to the platform's table."},
    {Counter::kTableFailures, "chiverail_table_failures_total", "status",
     "Table operations that did not succeed; conflicts are normal while other instances write."},
    {Counter::kEvictions, "chiverail_evictions_total", "",
     "Evictions of this instance by other instances."},
    {Counter::kCalls, "chiverail_calls_total", "outcome", "Non-idempotent calls, by outcome."},
    {Counter::kCallsInDoubt, "chiverail_calls_in_doubt_total", "", "Calls that ended in doubt."},
    {Counter::kRestarts, "chiverail_part_restarts_total", "part",
     "Restarts of an actor by the supervisor."},
    {Counter::kRouteRequests, "chiverail_route_requests_total", "route",
     "Gateway requests by route; routes beyond the first 64 are counted as other."},
    {Counter::kRouteFailures, "chiverail_route_failures_total", "route",
     "Gateway requests that were refused, cut or answered with a status of 500 or above."},
    {Counter::kPlacements, "chiverail_placements_total", "cause",
     "Upstream choices, by the deciding rule."},
    {Counter::kPeerBytesSent, "chiverail_peer_bytes_sent_total", "",
     "Bytes of datagrams sent to other instances."},
    {Counter::kPeerBytesReceived, "chiverail_peer_bytes_received_total", "",
     "Bytes of datagrams received from other instances."},
    {Counter::kPeerMessagesDropped, "chiverail_peer_messages_dropped_total", "reason",
     "Datagrams that were dropped."},
    {Counter::kStoreCalls, "chiverail_store_calls_total", "call",
     "Calls of the gateway to the platform's store, by kind."},
    {Counter::kHandlerErrors, "chiverail_handler_errors_total", "part",
     "Unexpected errors; each ends one request or message."},
    {Counter::kUpstreamResponses, "chiverail_upstream_responses_total", "framing",
     "Responses of upstreams that ended regularly, by how their end was marked."},
    {Counter::kStreamsEndedInsideEvent, "chiverail_streams_ended_inside_event_total", "framing",
     "Streams of upstreams that ended regularly, but inside an event."},
    {Counter::kBrokenUpstreams, "chiverail_broken_upstreams_total", "new_connection",
     "Upstreams whose connections broke before an answer had begun, by what a new one showed."},
    {Counter::kClosedAnswers, "chiverail_closed_answers_total", "new_connection",
     "Answers that ended with their connection, by what a new connection to the upstream showed."},
    {Counter::kMalformedTerms, "chiverail_malformed_terms_total", "",
     "Answers of upstreams with a request limit or a rest that can't be read."},
    {Counter::kStopRequests, "chiverail_stop_requests_total", "outcome",
     "Requests of the gateway that ended after SIGTERM."},
    {Counter::kCallersClosed, "chiverail_callers_closed_total", "why",
     "Connections of callers that were closed to stay within the limits of the machine."},
    {Counter::kHedges, "chiverail_hedges_total", "outcome",
     "Second attempts for requests whose first attempt was slow, by what became of them."},
    {Counter::kRolloutAnswers, "chiverail_rollout_answers_total", "side",
     "Answers during a roll-out, by version (old, new) and whether they were sound."},
};

constexpr MetricRow<Gauge> kGauges[] = {
    {Gauge::kRevisionInForce, "chiverail_revision_in_force", "",
     "Configuration revision in force."},
    {Gauge::kDataCentreOut, "chiverail_data_centre_out", "data_centre",
     "1 while operators have taken the data centre out of service."},
    {Gauge::kLeaseValid, "chiverail_lease_valid", "",
     "1 while this instance may grant slots, by its lease or by the frozen view."},
    {Gauge::kViewFrozen, "chiverail_view_frozen", "",
     "1 while the lease has expired and peers confirm that no instance reaches the table."},
    {Gauge::kMembers, "chiverail_members", "state", "Instances in the members rows."},
    {Gauge::kSlotsHeld, "chiverail_slots", "engine",
     "Slots granted and not yet released at an engine that this instance owns."},
    {Gauge::kQueued, "chiverail_queued", "engine", "Requests queued for a slot."},
    {Gauge::kOpenRequests, "chiverail_open_requests", "", "Requests in progress."},
    {Gauge::kEngineLoad, "chiverail_engine_load", "engine", "Load last reported by an engine."},
    {Gauge::kEngineForeign, "chiverail_engine_foreign", "engine",
     "Requests running at an engine without a slot."},
    {Gauge::kEngineLimit, "chiverail_engine_limit", "engine",
     "Load below which a slot is granted: minimum of load bound, cold limit and concurrency."},
    {Gauge::kEngineActive, "chiverail_engine_active", "engine",
     "1 while the owner grants slots at an engine; 0 while it waits for the previous owner."},
    {Gauge::kEngineCold, "chiverail_engine_cold", "engine",
     "1 while an engine reports that it is cold."},
    {Gauge::kIsolated, "chiverail_isolated", "",
     "1 while this instance is isolated and refuses new work."},
    {Gauge::kWaitingRequests, "chiverail_waiting_requests", "service",
     "Gateway requests queued for a slot."},
    {Gauge::kQuarantinedSegments, "chiverail_quarantined_parts", "",
     "Prompt parts in quarantine, because upstreams ended under them."},
    {Gauge::kUpstreamTerms, "chiverail_upstream_terms", "kind",
     "Upstreams that have named a limit, leave, or have turned this instance away for a while."},
    {Gauge::kConfigAge, "chiverail_config_age_seconds", "",
     "Time since the configuration in force was last confirmed as the newest."},
    {Gauge::kStoreEra, "chiverail_store_era", "",
     "Number that the platform's store raises each time it comes back from an older copy."},
    {Gauge::kHeldBytes, "chiverail_held_bytes", "",
     "Bytes held for callers: requests that arrive or are served, and answers not yet taken."},
    {Gauge::kGateShare, "chiverail_gate_share", "service",
     "Share of the requests for a plain service with few slots that passes its gate."},
    {Gauge::kRolloutShare, "chiverail_rollout_share", "service",
     "Share of a service's requests that goes to the version of its last roll-out."},
};

constexpr MetricRow<Summary> kSummaries[] = {
    {Summary::kRoutingSeconds, "chiverail_routing_seconds", "",
     "Duration of a routing decision, including the slot grant."},
    {Summary::kQueueSeconds, "chiverail_queue_seconds", "",
     "Time from the request for a slot to its grant."},
    {Summary::kFirstTokenSeconds, "chiverail_first_token_seconds", "", "Time to the first token."},
    {Summary::kTokenGapSeconds, "chiverail_token_gap_seconds", "",
     "Time between two pieces of a streamed response."},
    {Summary::kRequestSeconds, "chiverail_request_seconds", "", "Duration of a chat request."},
    {Summary::kCallSeconds, "chiverail_call_seconds", "", "Duration of a non-idempotent call."},
    {Summary::kFleetStateAgeSeconds, "chiverail_fleet_state_age_seconds", "",
     "Age of the other instances' loads when an upstream is chosen."},
};

template <typename Row, typename E>
const Row& RowOf(const Row* begin, const Row* end, E value) {
  for (const Row* row = begin; row != end; ++row) {
    if (row->value == value) {
      return *row;
    }
  }
  return *begin;
}

using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

template <typename Row>
void RenderHelp(std::ostringstream& out, const Row& row, const char* type) {
  out << "# HELP " << row.name << " " << row.help << "\n# TYPE " << row.name << " " << type << "\n";
}

template <typename Row>
void RenderSample(std::ostringstream& out, const Row& row, const std::string& label, double value) {
  out << row.name;
  if (!label.empty()) {
    out << "{" << row.label << "=\"" << label << "\"}";
  }
  out << " " << value << "\n";
}

}  // namespace

// Estimators of one distribution. P-square quantile estimation uses constant memory, independent of
// the number of samples.
struct Metrics::Distribution {
  Quantile p50{acc::quantile_probability = 0.5};
  Quantile p95{acc::quantile_probability = 0.95};
  Quantile p99{acc::quantile_probability = 0.99};
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>> totals;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Add(Counter counter, std::uint64_t amount, const std::string& label) {
  const std::lock_guard<std::mutex> lock(mutex_);
  counters_[{counter, label}] += amount;
}

void Metrics::Set(Gauge gauge, double value, const std::string& label) {
  const std::lock_guard<std::mutex> lock(mutex_);
  gauges_[{gauge, label}] = value;
}

void Metrics::Clear(Gauge gauge) {
  const std::lock_guard<std::mutex> lock(mutex_);
  gauges_.erase(gauges_.lower_bound({gauge, ""}),
                gauges_.lower_bound({static_cast<Gauge>(int(gauge) + 1), ""}));
}

void Metrics::Observe(Summary summary, Duration value) {
  const double in_seconds = std::chrono::duration<double>(value).count();
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& distribution = summaries_[summary];
  if (!distribution) {
    distribution = std::make_unique<Distribution>();
  }
  distribution->p50(in_seconds);
  distribution->p95(in_seconds);
  distribution->p99(in_seconds);
  distribution->totals(in_seconds);
}

std::uint64_t Metrics::Value(Counter counter, const std::string& label) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = counters_.find({counter, label});
  return found == counters_.end() ? 0 : found->second;
}

std::string Metrics::Render() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::ostringstream out;
  out.precision(12);
  for (const auto& row : kCounters) {
    RenderHelp(out, row, "counter");
    // Shown before its first event: a rate over a counter that appears only with its first event
    // misses that event.
    if (row.label.empty() && counters_.count({row.value, ""}) == 0) {
      RenderSample(out, row, "", 0);
    }
    for (const auto& [key, value] : counters_) {
      if (key.first == row.value) {
        RenderSample(out, row, key.second, static_cast<double>(value));
      }
    }
  }
  for (const auto& row : kGauges) {
    RenderHelp(out, row, "gauge");
    for (const auto& [key, value] : gauges_) {
      if (key.first == row.value) {
        RenderSample(out, row, key.second, value);
      }
    }
  }
  for (const auto& [summary, distribution] : summaries_) {
    const auto& row = RowOf(std::begin(kSummaries), std::end(kSummaries), summary);
    RenderHelp(out, row, "summary");
    out << row.name << "{quantile=\"0.5\"} " << acc::p_square_quantile(distribution->p50) << "\n";
    out << row.name << "{quantile=\"0.95\"} " << acc::p_square_quantile(distribution->p95) << "\n";
    out << row.name << "{quantile=\"0.99\"} " << acc::p_square_quantile(distribution->p99) << "\n";
    out << row.name << "_sum " << acc::sum(distribution->totals) << "\n";
    out << row.name << "_count " << acc::count(distribution->totals) << "\n";
  }
  return out.str();
}

}  // namespace chiverail
