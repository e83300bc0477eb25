#include "upstream_client.h"

#include <nlohmann/json.hpp>

namespace chiverail {
namespace {

using nlohmann::json;

StreamLine FromJson(const json& line) {
  if (line.contains("end")) {
    const json& end = line.at("end");
    StreamEnd parsed;
    parsed.mark.tokens = end.value("tokens", std::uint64_t{0});
    if (end.contains("length")) {
      parsed.mark.length = end.at("length").get<std::uint64_t>();
    }
    parsed.cached_tokens = end.value("cached_tokens", std::uint64_t{0});
    return parsed;
  }
  if (line.contains("text")) {
    return StreamText{line.at("offset").get<std::uint64_t>(), line.at("text").get<std::string>()};
  }
  if (line.contains("request")) {
    return StreamHead{line.at("request").get<std::string>(),
                      line.at("attempt").get<std::uint32_t>()};
  }
  return MalformedLine{"unknown line in the stream"};
}

}  // namespace

StreamLine ParseStreamLine(const std::string& line) {
  try {
    return FromJson(json::parse(line));
  } catch (const json::exception& error) {
    return MalformedLine{error.what()};
  }
}

HttpRequest GenerateRequest(const ChatRequest& request, std::uint32_t attempt) {
  const json body = {{"request", request.request},
                     {"attempt", attempt},
                     {"workspace", request.workspace},
                     {"model", request.model},
                     {"adapter", request.adapter},
                     {"chat", request.chat},
                     {"turn", request.turn},
                     {"prompt_tokens", request.prompt_tokens},
                     {"max_tokens", request.max_tokens},
                     {"class", NameOf(kRequestClassNames, request.request_class)}};
  return {"POST", "/generate", {{"Content-Type", "application/json"}}, body.dump()};
}

HttpRequest ResumeRequest(const RequestId& request, std::uint32_t attempt, std::uint64_t offset) {
  return {"GET",
          "/generate/" + PercentEncode(request) + "?attempt=" + std::to_string(attempt) +
              "&offset=" + std::to_string(offset),
          {},
          ""};
}

HttpRequest CancelRequest(const RequestId& request, std::uint32_t attempt) {
  return {"DELETE",
          "/generate/" + PercentEncode(request) + "?attempt=" + std::to_string(attempt),
          {},
          ""};
}

std::optional<EngineLoad> ReadEngineLoad(HttpClient& http,
                                         const std::string& address,
                                         boost::asio::yield_context yield) {
  try {
    const auto response = http.Send(address, {"GET", "/load", {}, ""}, yield);
    const json document = json::parse(response.body);
    EngineLoad load;
    load.start_id = document.at("start_id").get<std::string>();
    load.running = document.at("running").get<std::uint32_t>();
    load.cold = document.value("cold", false);
    load.sampled_ago = milliseconds(document.value("sampled_ms_ago", 0));
    load.model = document.value("model", "");
    load.version = document.value("version", "");
    load.adapters = document.value("adapters", std::vector<std::string>{});
    return load;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<CacheEventBatch> ReadCacheEvents(HttpClient& http,
                                               const UpstreamId& engine,
                                               const std::string& address,
                                               std::uint64_t after,
                                               boost::asio::yield_context yield) {
  try {
    const auto response =
        http.Send(address, {"GET", "/cache_events?after=" + std::to_string(after), {}, ""}, yield);
    const json document = json::parse(response.body);
    CacheEventBatch batch;
    batch.start_id = document.at("start_id").get<std::string>();
    batch.last_sequence = after;
    for (const json& event : document.at("events")) {
      const bool evicted = event.value("evicted", false);
      batch.events.push_back({engine, event.at("chat").get<std::string>(),
                              evicted ? CacheEventKind::kEvicted : CacheEventKind::kStored,
                              event.value("turn", 0u)});
      batch.last_sequence =
          std::max(batch.last_sequence, event.at("sequence").get<std::uint64_t>());
    }
    return batch;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace chiverail
