#include "caller_request.h"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

#include "hash.h"
#include "json_fields.h"
#include "ledger_row.h"

namespace chiverail {
namespace {

using nlohmann::json;

constexpr int kMaxTokens = 10'000'000;

// Fields of a chat body before validation against the view.
struct ChatFields {
  ChatRequest request;
  Duration deadline{0};  // 0 if absent; negative if already expired
  std::string resume_token;
  std::int64_t resume_offset = 0;
};

void ReadCount(JsonFields& fields,
               const std::string& key,
               Presence presence,
               int min,
               std::uint32_t& target) {
  int value = static_cast<int>(target);
  fields.Integer(key, presence, min, kMaxTokens, value);
  target = static_cast<std::uint32_t>(value);
}

ChatFields ReadChatFields(const json& body, std::vector<JsonFault>& faults) {
  ChatFields read;
  ChatRequest& request = read.request;
  JsonFields fields(body, "", faults);
  fields.Identifier("request", Presence::kRequired, request.request);
  fields.Identifier("workspace", Presence::kRequired, request.workspace);
  fields.Identifier("model", Presence::kRequired, request.model);
  fields.Identifier("adapter", Presence::kOptional, request.adapter);
  fields.Identifier("chat", Presence::kRequired, request.chat);
  ReadCount(fields, "turn", Presence::kOptional, 1, request.turn);
  ReadCount(fields, "prompt_tokens", Presence::kRequired, 0, request.prompt_tokens);
  ReadCount(fields, "max_tokens", Presence::kRequired, 1, request.max_tokens);
  fields.Enum("class", Presence::kOptional, kRequestClassNames, request.request_class);
  constexpr std::int64_t kLongestDeadlineMs = 24 * 3'600'000;
  fields.Milliseconds("deadline_ms", Presence::kOptional, 0, kLongestDeadlineMs, read.deadline);
  const bool expired =
      body.is_object() && body.contains("deadline_ms") && read.deadline.count() <= 0;
  if (expired) {
    read.deadline = Duration(-1);
  }
  fields.Object("resume", Presence::kOptional, [&read](JsonFields& resume) {
    resume.Text("token", Presence::kRequired, read.resume_token);
    resume.Integer("offset", Presence::kRequired, 0, std::numeric_limits<std::int64_t>::max(),
                   read.resume_offset);
  });
  fields.Finish();
  return read;
}

const Model& RequireModel(const FleetView& view, const ModelId& id) {
  for (const Model& model : view.manifest().models) {
    if (model.id == id) {
      return model;
    }
  }
  throw RefusedRequest(ErrorCode::kUnknownModel, "unknown model: " + id);
}

void RequireWorkspace(const FleetView& view, const WorkspaceId& id) {
  if (view.FindWorkspace(id) == nullptr) {
    throw RefusedRequest(ErrorCode::kUnknownWorkspace, "unknown workspace: " + id);
  }
}

void RequireAdapter(const Model& model, const std::string& adapter) {
  const bool known = adapter.empty() || std::find(model.adapters.begin(), model.adapters.end(),
                                                  adapter) != model.adapters.end();
  if (!known) {
    throw RefusedRequest(ErrorCode::kUnknownModel,
                         "unknown adapter of model " + model.id + ": " + adapter);
  }
}

std::optional<ResumeToken> ReadToken(const std::string& text, const RequestId& request) {
  if (text.empty()) {
    return std::nullopt;
  }
  auto token = ParseResumeToken(text);
  if (!token || token->request != request) {
    throw RefusedRequest(ErrorCode::kInvalidField, "/resume/token: not a token of this request");
  }
  return token;
}

const Service& RequireService(const FleetView& view, const std::string& id) {
  for (const Service& service : view.manifest().services) {
    if (service.id == id) {
      return service;
    }
  }
  throw RefusedRequest(ErrorCode::kUnknownService, "unknown service: " + id);
}

const Operation& RequireOperation(const Service& service, const std::string& name) {
  for (const Operation& operation : service.operations) {
    if (operation.name == name) {
      return operation;
    }
  }
  throw RefusedRequest(ErrorCode::kUnknownService,
                       "unknown operation of service " + service.id + ": " + name);
}

}  // namespace

ChatCall ParseChatCall(std::string_view body,
                       const FleetView& view,
                       const RegionId& region,
                       TimePoint now) {
  const json document = json::parse(body, nullptr, false);
  if (!document.is_object()) {
    throw RefusedRequest(ErrorCode::kMalformedJson, "the body is not a JSON object");
  }
  std::vector<JsonFault> faults;
  ChatFields fields = ReadChatFields(document, faults);
  if (!faults.empty()) {
    throw RefusedRequest(ErrorCode::kInvalidField, InvalidDocument(faults).what());
  }
  ChatCall call;
  call.request = std::move(fields.request);
  RequireWorkspace(view, call.request.workspace);
  RequireAdapter(RequireModel(view, call.request.model), call.request.adapter);
  if (fields.deadline.count() < 0) {
    throw RefusedRequest(ErrorCode::kDeadlineExpired, "the deadline has already expired");
  }
  const bool has_deadline = fields.deadline.count() > 0;
  call.request.deadline = now + (has_deadline ? fields.deadline : view.manifest().longest_request);
  call.request.region = region;
  call.resume = ReadToken(fields.resume_token, call.request.request);
  call.resume_offset = static_cast<std::uint64_t>(fields.resume_offset);
  return call;
}

LocateQuery ParseLocateQuery(const HttpTarget& target,
                             const FleetView& view,
                             const DataCentreId& data_centre) {
  LocateQuery query;
  query.workspace = target.Parameter("workspace");
  query.model = target.Parameter("model");
  query.adapter = target.Parameter("adapter");
  query.chat = target.Parameter("chat");
  query.data_centre = data_centre;
  query.region = view.RegionOf(data_centre);
  RequireWorkspace(view, query.workspace);
  if (!query.model.empty()) {
    RequireAdapter(RequireModel(view, query.model), query.adapter);
  }
  return query;
}

ServiceCall ParseServiceCall(const HttpRequest& request,
                             const HttpTarget& target,
                             const FleetView& view) {
  constexpr std::string_view kPrefix = "/v1/call/";
  const std::string rest = target.path.substr(kPrefix.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos) {
    throw RefusedRequest(ErrorCode::kNotFound, "the path must be /v1/call/<service>/<operation>");
  }
  ServiceCall call;
  call.service = PercentDecode(rest.substr(0, slash));
  call.operation = PercentDecode(rest.substr(slash + 1));
  call.workspace = request.Header("X-Workspace");
  call.key = request.Header("Idempotency-Key");
  RequireWorkspace(view, call.workspace);
  const Operation& operation = RequireOperation(RequireService(view, call.service), call.operation);
  call.idempotent = operation.idempotent;
  if (call.idempotent) {
    return call;
  }
  if (call.key.empty()) {
    throw RefusedRequest(ErrorCode::kMissingIdempotencyKey,
                         "operation " + call.operation + " needs the header Idempotency-Key");
  }
  if (!IsValidIdempotencyKey(call.key)) {
    throw RefusedRequest(ErrorCode::kInvalidField,
                         "Idempotency-Key: 1 to 128 letters, digits, '-', '_', '.' or ':'");
  }
  return call;
}

std::vector<const Upstream*> ServiceUpstreams(const FleetView& view,
                                              const std::string& service,
                                              std::string_view key) {
  const std::uint64_t hash = HashText(key);
  std::vector<std::pair<std::uint64_t, const Upstream*>> ranked;
  for (const Upstream& upstream : view.manifest().upstreams) {
    const bool accepting = !view.IsOutOfService(upstream.data_centre) &&
                           view.state().draining_upstreams.count(upstream.id) == 0;
    if (upstream.kind == UpstreamKind::kPlain && upstream.service == service && accepting) {
      ranked.emplace_back(CombineHashes(hash, HashText(upstream.id)), &upstream);
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<const Upstream*> upstreams;
  for (const auto& [score, upstream] : ranked) {
    upstreams.push_back(upstream);
  }
  return upstreams;
}

}  // namespace chiverail
