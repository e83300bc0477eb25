#include "engine_poller.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "actor_messages.h"
#include "upstream_client.h"

namespace chiverail {

namespace asio = boost::asio;

void EnginePoller::Start() {
  asio::spawn(
      runtime_.io, [self = shared_from_this()](asio::yield_context yield) { self->Loop(yield); },
      asio::detached);
}

void EnginePoller::Loop(asio::yield_context yield) {
  asio::steady_timer timer(runtime_.io);
  while (true) {
    const auto view = runtime_.shared.view();
    for (const EngineEntry& engine : view->engines()) {
      const Member* owner = view->AdmissionOwner(engine);
      const bool owned = owner != nullptr && owner->id == runtime_.settings.instance_id;
      if (!owned || !in_flight_.insert(engine.upstream->id).second) {
        continue;
      }
      asio::spawn(
          runtime_.io,
          [self = shared_from_this(), id = engine.upstream->id,
           address = engine.upstream->address](asio::yield_context engine_yield) {
            self->PollEngine(id, address, engine_yield);
            self->in_flight_.erase(id);
          },
          asio::detached);
    }
    timer.expires_after(runtime_.settings.load_poll_period);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
  }
}

void EnginePoller::PollEngine(const UpstreamId& engine,
                              const std::string& address,
                              asio::yield_context yield) {
  PollLoad(engine, address, yield);
  PollCacheEvents(engine, address, yield);
}

void EnginePoller::PollLoad(const UpstreamId& engine,
                            const std::string& address,
                            asio::yield_context yield) {
  const TimePoint requested_at = runtime_.Now();
  auto load = ReadEngineLoad(runtime_.upstream_http, address, yield);
  if (!load) {
    return;
  }
  // A report counts as at least as old as the lag that the manifest declares, even if the engine
  // reports a lower age.
  const Duration age =
      std::max(load->sampled_ago, runtime_.shared.view()->manifest().load_report_lag);
  runtime_.actors.Send(Component::kRouter, LoadReportMessage{engine, load->start_id, load->running,
                                                             load->cold, requested_at - age});
  runtime_.actors.Send(
      Component::kOrders,
      EngineReportMessage{engine, {load->model, load->version, std::move(load->adapters)}});
}

void EnginePoller::PollCacheEvents(const UpstreamId& engine,
                                   const std::string& address,
                                   asio::yield_context yield) {
  EventCursor& cursor = cursors_[engine];
  auto batch = ReadCacheEvents(runtime_.upstream_http, engine, address, cursor.sequence, yield);
  if (!batch) {
    return;
  }
  const bool restarted = batch->start_id != cursor.start_id;
  cursor = {batch->start_id, restarted ? 0 : batch->last_sequence};
  if (!restarted) {
    runtime_.actors.Send(Component::kRouter, CacheEventsMessage{std::move(batch->events)});
  }
}

}  // namespace chiverail
