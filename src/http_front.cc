#include "http_front.h"

#include <nlohmann/json.hpp>

#include "actor_messages.h"
#include "chat_session.h"
#include "error_response.h"

namespace chiverail {
namespace {

using boost::asio::yield_context;
using nlohmann::json;

// Counts a request as open while it is in scope, so that a graceful shutdown waits for it.
class OpenRequest {
 public:
  explicit OpenRequest(Runtime& runtime) : runtime_(runtime) { Publish(++runtime_.open_requests); }
  ~OpenRequest() { Publish(--runtime_.open_requests); }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

 private:
  void Publish(int open) { runtime_.metrics.Set(Gauge::kOpenRequests, open); }

  Runtime& runtime_;
};

// Throws RefusedRequest unless this instance accepts new work, which it does only while its
// configuration is known to be the newest.
void RequireAccepting(const Runtime& runtime) {
  const ServingState serving = runtime.shared.serving();
  if (runtime.Now() < serving.accepting_until) {
    return;
  }
  if (serving.isolation == IsolationState::kIsolated) {
    throw RefusedRequest(ErrorCode::kIsolated, "this instance is cut off; use another one");
  }
  throw RefusedRequest(ErrorCode::kNotReady, serving.leaving
                                                 ? "this instance is leaving; use another one"
                                                 : "this instance is not ready; use another one");
}

std::vector<std::string> OtherAddresses(const Runtime& runtime) {
  constexpr std::size_t kMaxAddresses = 3;
  std::vector<std::string> addresses;
  const auto view = runtime.shared.view();
  for (const Member& member : view->members()) {
    const bool usable =
        member.state == MemberState::kLive && member.id != runtime.settings.instance_id;
    if (usable && addresses.size() < kMaxAddresses) {
      addresses.push_back(member.address);
    }
  }
  return addresses;
}

RequestError UpstreamError(ErrorCode code, const std::string& message, Ran ran) {
  return {code, message, ran};
}

}  // namespace

void HttpFront::Handle(HttpServerExchange& exchange, yield_context yield) {
  const HttpTarget target = ParseTarget(exchange.request().target);
  if (target.path.rfind("/v1/", 0) != 0) {
    admin_.Handle(exchange, target, yield);
    return;
  }
  std::optional<RequestError> refusal;
  try {
    HandleApi(exchange, target, yield);
  } catch (const RefusedRequest& refused) {
    refusal = refused.error();
  }
  if (refusal) {
    Refuse(exchange, *refusal);
  }
}

void HttpFront::HandleApi(HttpServerExchange& exchange,
                          const HttpTarget& target,
                          yield_context yield) {
  const std::string& method = exchange.request().method;
  if (target.path == "/v1/locate" && method == "GET") {
    HandleLocate(exchange, target);
  } else if (target.path == "/v1/chat" && method == "POST") {
    HandleChat(exchange, yield);
  } else if (target.path.rfind("/v1/call/", 0) == 0 && (method == "GET" || method == "POST")) {
    HandleCall(exchange, target, yield);
  } else {
    throw RefusedRequest(ErrorCode::kNotFound, "no such resource: " + method + " " + target.path);
  }
}

void HttpFront::Refuse(HttpServerExchange& exchange, const RequestError& error) {
  runtime_.metrics.Add(Counter::kRefused, 1, std::string(NameOf(kErrorCodeNames, error.code)));
  const bool lists_alternatives =
      error.code == ErrorCode::kIsolated || error.code == ErrorCode::kNotReady;
  const std::string body =
      lists_alternatives ? ErrorBody(error, OtherAddresses(runtime_)) : ErrorBody(error);
  exchange.Respond(StatusOf(error.code), body);
}

// Answered from the view of any instance, also of a leaving one. An isolated instance refuses,
// since its view may list instances and engines that no longer exist.
void HttpFront::HandleLocate(HttpServerExchange& exchange, const HttpTarget& target) {
  const ServingState serving = runtime_.shared.serving();
  if (!serving.leaving) {
    RequireAccepting(runtime_);
  }
  const auto view = runtime_.shared.view();
  const LocateAnswer answer =
      Locate(*view, ParseLocateQuery(target, *view, runtime_.settings.data_centre));
  if (answer.members.empty()) {
    throw RefusedRequest(ErrorCode::kNotReady, "no instance is live");
  }
  json addresses = json::array();
  for (const Member* member : answer.members) {
    addresses.push_back(member->address);
  }
  const auto ttl_ms =
      std::chrono::duration_cast<milliseconds>(runtime_.settings.locate_ttl).count();
  exchange.Respond(200, json{{"addresses", addresses}, {"ttl_ms", ttl_ms}}.dump());
}

void HttpFront::HandleChat(HttpServerExchange& exchange, yield_context yield) {
  const OpenRequest open(runtime_);
  RequireAccepting(runtime_);
  const auto view = runtime_.shared.view();
  ChatCall call = ParseChatCall(exchange.request().body, *view,
                                view->RegionOf(runtime_.settings.data_centre), runtime_.Now());
  runtime_.metrics.Add(Counter::kRequests, 1,
                       std::string(NameOf(kRequestClassNames, call.request.request_class)));
  const auto session = std::make_shared<ChatSession>(runtime_, std::move(call.request),
                                                     std::move(call.resume), call.resume_offset);
  session->Run(exchange, yield);
}

void HttpFront::HandleCall(HttpServerExchange& exchange,
                           const HttpTarget& target,
                           yield_context yield) {
  const OpenRequest open(runtime_);
  RequireAccepting(runtime_);
  const auto view = runtime_.shared.view();
  const ServiceCall call = ParseServiceCall(exchange.request(), target, *view);
  if (call.idempotent) {
    RunIdempotentCall(exchange, call, yield);
  } else {
    RunLedgerCall(exchange, call, yield);
  }
}

// The holder of a call row must be listed as a member; otherwise other instances would treat it as
// lost.
void HttpFront::RunLedgerCall(HttpServerExchange& exchange,
                              const ServiceCall& call,
                              yield_context yield) {
  const auto view = runtime_.shared.view();
  const auto upstreams = ServiceUpstreams(*view, call.service, call.key);
  if (upstreams.empty() || !runtime_.shared.serving().member) {
    throw RefusedRequest(ErrorCode::kNoUpstream, "no upstream serves " + call.service);
  }
  const HttpRequest& request = exchange.request();
  const std::string nonce = runtime_.settings.instance_id + "-" +
                            std::to_string(runtime_.generation) + "-" +
                            std::to_string(next_request_++);
  CallRequest message;
  message.submission.workspace = call.workspace;
  message.submission.key = call.key;
  message.submission.request_hash = CallRequestHash(call.service, call.operation, request.body);
  message.submission.request = nonce;
  message.submission.upstream = upstreams.front()->id;
  message.submission.nonce = nonce;
  message.submission.deadline = runtime_.Now() + view->manifest().longest_request;
  message.submission.answer_timeout = runtime_.settings.first_byte_timeout;
  message.submission.first_submission = request.Header("X-First-Submission") == "true";
  message.address = upstreams.front()->address;
  message.operation = call.operation;
  message.body = request.body;
  message.content_type = request.Header("Content-Type");
  const auto reply = AwaitReply<CallReply>(yield, [this, &message](Reply<CallReply> answer) {
    message.reply = std::move(answer);
    runtime_.actors.Send(Component::kLedger, message);
    message.reply = {};
  });
  if (!reply) {
    throw RefusedRequest(UpstreamError(
        ErrorCode::kInDoubt, "the ledger is restarting; repeat with the same key", Ran::kUnknown));
  }
  if (const auto* error = std::get_if<RequestError>(&*reply)) {
    throw RefusedRequest(*error);
  }
  const auto& result = std::get<CallResult>(*reply);
  exchange.RespondAs(result.answer.status, result.answer.body, result.answer.content_type,
                     {{"X-Repeated", result.stored ? "true" : "false"}});
}

// Idempotent operations may run any number of times, so every upstream of the service is tried once
// until one answers.
void HttpFront::RunIdempotentCall(HttpServerExchange& exchange,
                                  const ServiceCall& call,
                                  yield_context yield) {
  const auto view = runtime_.shared.view();
  const std::string id = runtime_.settings.instance_id + "-read-" + std::to_string(next_request_++);
  HttpRequest forwarded{exchange.request().method, "/" + PercentEncode(call.operation), {}, ""};
  forwarded.body = exchange.request().body;
  forwarded.headers = {{"X-Request", id}, {"X-Workspace", call.workspace}};
  const std::size_t query_start = exchange.request().target.find('?');
  if (query_start != std::string::npos) {
    forwarded.target += exchange.request().target.substr(query_start);
  }
  std::uint32_t attempt = 0;
  std::string failure = "no upstream serves " + call.service;
  for (const Upstream* upstream : ServiceUpstreams(*view, call.service, id)) {
    HttpRequest attempt_request = forwarded;
    attempt_request.headers.emplace_back("X-Attempt", std::to_string(++attempt));
    try {
      const HttpResponse response =
          runtime_.upstream_http.Send(upstream->address, attempt_request, yield);
      if (response.Header("X-Request") == id) {
        exchange.RespondAs(response.status, response.body, response.Header("Content-Type"), {});
        return;
      }
      failure = "the upstream answered another request";
    } catch (const HttpError& error) {
      if (exchange.started()) {
        throw;
      }
      failure = error.what();
    }
  }
  throw RefusedRequest(
      UpstreamError(attempt == 0 ? ErrorCode::kNoUpstream : ErrorCode::kUpstreamFailed, failure,
                    attempt == 0 ? Ran::kNo : Ran::kUnknown));
}

}  // namespace chiverail
