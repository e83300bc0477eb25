#include "caller_request.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace chiverail;
using nlohmann::json;

namespace {

FleetView MakeView() {
  auto manifest = std::make_shared<Manifest>();
  manifest->models = {{"writer", "1", {"letters"}}};
  manifest->workspaces = {{"adoptions", 1.0}};
  manifest->data_centres = {{"west", "home"}, {"east", "home"}};
  manifest->services = {{"register", {{"book", false}, {"record", true}}}};
  for (const char* data_centre : {"west", "east"}) {
    Upstream upstream;
    upstream.id = std::string("register-") + data_centre;
    upstream.kind = UpstreamKind::kPlain;
    upstream.service = "register";
    upstream.data_centre = data_centre;
    manifest->upstreams.push_back(upstream);
  }
  FleetState state;
  state.revision = 1;
  state.manifest = manifest;
  return FleetView(state);
}

json ValidBody() {
  return {{"request", "r1"}, {"workspace", "adoptions"}, {"model", "writer"},
          {"chat", "c1"},    {"prompt_tokens", 5},       {"max_tokens", 7}};
}

// Returns the code of the error with which a body is refused, or an empty string if it is accepted.
std::string ChatErrorCode(const FleetView& view, const std::string& body) {
  try {
    ParseChatCall(body, view, "home", TimePoint{seconds(10)});
  } catch (const RefusedRequest& refused) {
    CHECK(refused.error().ran == Ran::kNo);
    return std::string(NameOf(kErrorCodeNames, refused.error().code));
  }
  return "";
}

std::string CallErrorCode(const FleetView& view, const HttpRequest& request) {
  try {
    ParseServiceCall(request, ParseTarget(request.target), view);
  } catch (const RefusedRequest& refused) {
    return std::string(NameOf(kErrorCodeNames, refused.error().code));
  }
  return "";
}

}  // namespace

TEST_CASE("Each invalid chat request is refused with its typed error") {
  const FleetView view = MakeView();
  json body = ValidBody();

  SECTION("a valid body is accepted and its deadline defaults to the manifest's longest request") {
    const ChatCall call = ParseChatCall(body.dump(), view, "home", TimePoint{seconds(10)});
    CHECK(call.request.deadline == TimePoint{seconds(10)} + view.manifest().longest_request);
    CHECK(call.request.max_tokens == 7);
  }
  SECTION("malformed JSON") {
    CHECK(ChatErrorCode(view, "{\"request\":") == "malformed_json");
    CHECK(ChatErrorCode(view, "[]") == "malformed_json");
  }
  SECTION("a missing field, a wrong type and an unknown key are reported in one error") {
    body.erase("chat");
    body["max_tokens"] = "many";
    body["modle"] = "writer";
    try {
      ParseChatCall(body.dump(), view, "home", TimePoint{});
      FAIL("accepted");
    } catch (const RefusedRequest& refused) {
      CHECK(refused.error().code == ErrorCode::kInvalidField);
      CHECK_THAT(refused.error().message, Catch::Contains("/chat"));
      CHECK_THAT(refused.error().message, Catch::Contains("/max_tokens"));
      CHECK_THAT(refused.error().message, Catch::Contains("/modle"));
    }
  }
  SECTION("an unknown model, adapter or workspace") {
    body["model"] = "reader";
    CHECK(ChatErrorCode(view, body.dump()) == "unknown_model");
    body["model"] = "writer";
    body["adapter"] = "poems";
    CHECK(ChatErrorCode(view, body.dump()) == "unknown_model");
    body["adapter"] = "letters";
    body["workspace"] = "nobody";
    CHECK(ChatErrorCode(view, body.dump()) == "unknown_workspace");
  }
  SECTION("an expired deadline") {
    body["deadline_ms"] = 0;
    CHECK(ChatErrorCode(view, body.dump()) == "deadline_expired");
  }
  SECTION("a resume token of another request") {
    body["resume"] = {{"token", SerializeResumeToken({"writer-1", "r2", 1})}, {"offset", 3}};
    CHECK(ChatErrorCode(view, body.dump()) == "invalid_field");
    body["resume"]["token"] = SerializeResumeToken({"writer-1", "r1", 1});
    CHECK(ChatErrorCode(view, body.dump()).empty());
  }
}

TEST_CASE("Each invalid service call is refused with its typed error") {
  const FleetView view = MakeView();
  HttpRequest request{"POST", "/v1/call/register/book", {{"X-Workspace", "adoptions"}}, "{}"};

  SECTION("a non-idempotent operation requires a valid idempotency key") {
    CHECK(CallErrorCode(view, request) == "missing_idempotency_key");
    request.headers.emplace_back("Idempotency-Key", "slot/17");
    CHECK(CallErrorCode(view, request) == "invalid_field");
    request.headers.back().second = "slot-17";
    CHECK(CallErrorCode(view, request).empty());
  }
  SECTION("an idempotent operation requires no key") {
    request.target = "/v1/call/register/record?id=3";
    CHECK(CallErrorCode(view, request).empty());
  }
  SECTION("an unknown service, operation or workspace") {
    request.target = "/v1/call/bookshop/book";
    CHECK(CallErrorCode(view, request) == "unknown_service");
    request.target = "/v1/call/register/burn";
    CHECK(CallErrorCode(view, request) == "unknown_service");
    request.headers.clear();
    CHECK(CallErrorCode(view, request) == "unknown_workspace");
  }
  SECTION("upstreams of a data centre that is out of service receive no calls") {
    FleetState state = view.state();
    state.data_centres_out = {"west"};
    const auto upstreams = ServiceUpstreams(FleetView(state), "register", "key");
    REQUIRE(upstreams.size() == 1);
    CHECK(upstreams[0]->data_centre == "east");
  }
}
