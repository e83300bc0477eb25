#ifndef CHIVERAIL_UPSTREAM_CLIENT_H_
#define CHIVERAIL_UPSTREAM_CLIENT_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "exchange.h"
#include "http_client.h"
#include "placement.h"

namespace chiverail {

// The kinds of lines in an engine's stream.
struct StreamHead {
  RequestId request;
  std::uint32_t attempt = 0;
};
struct StreamText {
  std::uint64_t offset = 0;
  std::string text;
};
struct StreamEnd {
  EndMark mark;
  std::uint64_t cached_tokens = 0;
};
struct MalformedLine {
  std::string reason;
};
using StreamLine = std::variant<StreamHead, StreamText, StreamEnd, MalformedLine>;

// Parses one line of an engine's stream. Returns MalformedLine if it cannot be parsed.
StreamLine ParseStreamLine(const std::string& line);

// Build the requests that start a generation, resume its stream at an offset in bytes of text, and
// cancel it.
HttpRequest GenerateRequest(const ChatRequest& request, std::uint32_t attempt);
HttpRequest ResumeRequest(const RequestId& request, std::uint32_t attempt, std::uint64_t offset);
HttpRequest CancelRequest(const RequestId& request, std::uint32_t attempt);

// An engine's load report.
struct EngineLoad {
  std::string start_id;
  std::uint32_t running = 0;
  bool cold = false;
  Duration sampled_ago{0};
  ModelId model;  // empty if the engine does not report its loaded model
  std::string version;
  std::vector<std::string> adapters;
};

// Reads the load report of an engine. Returns nullopt if it does not answer or the report is
// malformed.
std::optional<EngineLoad> ReadEngineLoad(HttpClient& http,
                                         const std::string& address,
                                         boost::asio::yield_context yield);

// Cache events since one start of an engine, and the sequence number of the last one.
struct CacheEventBatch {
  std::string start_id;
  std::uint64_t last_sequence = 0;
  std::vector<CacheEvent> events;
};

// Reads the cache events after a sequence number. Returns nullopt if the engine does not answer or
// the answer is malformed.
std::optional<CacheEventBatch> ReadCacheEvents(HttpClient& http,
                                               const UpstreamId& engine,
                                               const std::string& address,
                                               std::uint64_t after,
                                               boost::asio::yield_context yield);

}  // namespace chiverail

#endif  // CHIVERAIL_UPSTREAM_CLIENT_H_
