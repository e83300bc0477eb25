// Damaged and random input for every parser of the gateway, with a fixed seed. By hand, the hidden
// case runs longer with a seed of its own.

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "decoders.h"
#include "event_splitter.h"
#include "gateway_settings.h"
#include "http_message.h"
#include "http_types.h"
#include "json_fields.h"
#include "store_client.h"

namespace chiverail {
namespace {

const std::vector<std::string>& Samples() {
  static const std::vector<std::string> samples = {
      "POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nok",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nA: b\r\n\r\n",
      "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n",
      R"({"rows":[{"key":"a","ver":3,"value":"aGk="},{"key":"b","ver":4,"tombstone":true}],"ver":9})",
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"ready",)"
      R"("cold_remaining_ms":0,"sequence":4,"born":5})",
      R"({"version":3,"routes":[{"prefix":"/a/","kind":"safe"}],"services":[{"name":"s"}]})",
      R"({"instance_id":"i","data_centre":"d","caller_address":"1.2.3.4:5"})",
      "/api/resolve?name=h&zone=%7a%zz&region=%",
  };
  return samples;
}

void ParseEverything(const std::string& bytes) {
  for (const MessageKind kind : {MessageKind::kRequest, MessageKind::kResponse}) {
    HttpMessageParser parser(kind, 1024, 4096);
    std::string rest = bytes;
    for (int i = 0; i < 8 && !rest.empty() && !parser.failed(); ++i) {
      rest.erase(0, parser.Put(rest));
      if (parser.head_complete()) {
        parser.TakeBody();
      }
    }
    parser.PutEof();
  }
  EventSplitter splitter;
  splitter.Feed(bytes);
  int malformed = 0;
  DecodeStoreResponse(200, bytes, &malformed);
  DecodeUpstream("id", bytes);
  ParseTarget(bytes).Parameter("zone");
  // These report errors by exceptions that their callers handle.
  try {
    DecodeConfig(bytes);
  } catch (const std::exception&) {
  }
  try {
    ParseGatewaySettings(ParseJsonText(bytes));
  } catch (const std::exception&) {
  }
}

std::string Mutate(const std::string& sample, std::mt19937_64& random) {
  std::string bytes = sample;
  for (std::uint64_t change = 0; change <= random() % 4 && !bytes.empty(); ++change) {
    const std::size_t place = random() % bytes.size();
    switch (random() % 4) {
      case 0:
        bytes[place] = static_cast<char>(random());
        break;
      case 1:
        bytes.erase(place, 1 + random() % 8);
        break;
      case 2:
        bytes.insert(place, bytes.substr(random() % bytes.size(), random() % 16));
        break;
      default:
        bytes.insert(place, 1 + random() % 3, static_cast<char>(random()));
    }
  }
  return bytes;
}

void Fuzz(std::uint64_t seed, int rounds) {
  std::mt19937_64 random(seed);
  for (int i = 0; i < rounds; ++i) {
    ParseEverything(Mutate(Samples()[random() % Samples().size()], random));
  }
}

}  // namespace

TEST_CASE("No input takes a parser down") {
  for (const std::string& sample : Samples()) {
    ParseEverything(sample);
  }
  ParseEverything(std::string(100'000, '['));
  ParseEverything(std::string(100'000, '{'));
  ParseEverything(R"({"rows":)" + std::string(100'000, '['));
  Fuzz(1, 20'000);
}

// FUZZ_SEED=7 build/unit_tests "Parsers survive minutes of damaged input"
TEST_CASE("Parsers survive minutes of damaged input", "[.large]") {
  const char* seed = std::getenv("FUZZ_SEED");
  Fuzz(seed == nullptr ? 2 : std::strtoull(seed, nullptr, 10), 3'000'000);
}

}  // namespace chiverail
