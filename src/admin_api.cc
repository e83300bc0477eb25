#include "admin_api.h"

#include <nlohmann/json.hpp>

#include "actor_messages.h"
#include "error_response.h"

namespace chiverail {
namespace {

using boost::asio::yield_context;

constexpr char kObjectPrefix[] = "/internal/objects/";

void RespondNotFound(HttpServerExchange& exchange, const std::string& what) {
  const RequestError error{ErrorCode::kNotFound, "no such resource: " + what, Ran::kNo};
  exchange.Respond(StatusOf(error.code), ErrorBody(error));
}

void RespondStatus(HttpServerExchange& exchange, const std::optional<std::string>& status) {
  if (status) {
    exchange.Respond(200, *status);
    return;
  }
  const RequestError error{ErrorCode::kNotReady, "the part is restarting", Ran::kNo};
  exchange.Respond(StatusOf(error.code), ErrorBody(error));
}

}  // namespace

void AdminApi::Handle(HttpServerExchange& exchange, const HttpTarget& target, yield_context yield) {
  const std::string& path = target.path;
  if (path == "/metrics") {
    exchange.RespondAs(200, runtime_.metrics.Render(), "text/plain; version=0.0.4", {});
  } else if (path == "/healthz") {
    exchange.Respond(200, R"({"status":"ok"})");
  } else if (path == "/readyz") {
    HandleReady(exchange);
  } else if (path == "/admin/status") {
    HandleStatus(exchange, yield);
  } else if (path == "/admin/upstreams") {
    HandleUpstreams(exchange, yield);
  } else if (path.rfind(kObjectPrefix, 0) == 0) {
    HandleObject(exchange, path.substr(sizeof(kObjectPrefix) - 1));
  } else {
    RespondNotFound(exchange, path);
  }
}

void AdminApi::HandleReady(HttpServerExchange& exchange) {
  const ServingState serving = runtime_.shared.serving();
  const bool ready = runtime_.Now() < serving.accepting_until && serving.member && !serving.leaving;
  const nlohmann::json body = {{"ready", ready},
                               {"configuration", NameOf(kIsolationStateNames, serving.isolation)},
                               {"member", serving.member},
                               {"draining", serving.leaving},
                               {"revision", runtime_.shared.view()->revision()}};
  exchange.Respond(ready ? 200 : 503, body.dump());
}

void AdminApi::HandleStatus(HttpServerExchange& exchange, yield_context yield) {
  RespondStatus(exchange, AwaitReply<std::string>(yield, [this](Reply<std::string> reply) {
                  runtime_.actors.Send(Component::kFleet, FleetStatusRequest{std::move(reply)});
                }));
}

void AdminApi::HandleUpstreams(HttpServerExchange& exchange, yield_context yield) {
  RespondStatus(exchange, AwaitReply<std::string>(yield, [this](Reply<std::string> reply) {
                  runtime_.actors.Send(Component::kRouter, EngineStatusRequest{std::move(reply)});
                }));
}

void AdminApi::HandleObject(HttpServerExchange& exchange, const std::string& name) {
  const auto content = runtime_.objects.Get(name);
  if (content) {
    exchange.Respond(200, *content);
  } else {
    RespondNotFound(exchange, name);
  }
}

}  // namespace chiverail
