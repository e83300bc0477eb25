#include "ledger_row.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "hash.h"
#include "manifest.h"

namespace chiverail {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxKeyLength = 128;

std::string Hex(std::uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
  return text.data();
}

[[noreturn]] void Fail(const std::string& pointer, const std::string& reason) {
  throw InvalidDocument({{pointer, reason}});
}

// Reads a required member. Replaces nlohmann's own exceptions, which would name neither the row nor
// the member.
template <typename T>
T Get(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) {
    Fail(std::string("/") + name, "is missing");
  }
  try {
    return found->get<T>();
  } catch (const json::exception&) {
    Fail(std::string("/") + name, "has the wrong type");
  }
}

template <typename T>
T GetOr(const json& object, const char* name, T fallback) {
  return object.contains(name) ? Get<T>(object, name) : std::move(fallback);
}

json ToJson(const CallRow& row) {
  json value = {{"state", NameOf(kCallStateNames, row.state)},
                {"attempt", row.attempt},
                {"nonce", row.nonce},
                {"holder", row.holder.instance},
                {"generation", row.holder.generation},
                {"upstream", row.upstream},
                {"request", row.request},
                {"hash", row.request_hash},
                {"timeout_ms", row.answer_timeout / milliseconds(1)}};
  if (row.state == CallState::kDone) {
    value["status"] = row.answer.status;
    value["content_type"] = row.answer.content_type;
    if (row.object.empty()) {
      value["body"] = row.answer.body;
    } else {
      value["object"] = row.object;
      value["object_hash"] = row.object_hash;
    }
  }
  if (!row.settled_by.empty()) {
    value["settled_by"] = row.settled_by;
  }
  return value;
}

}  // namespace

CallRow ParseCallRow(const std::string& value) {
  const json document = json::parse(value, nullptr, false);
  if (!document.is_object()) {
    Fail("", "is not a JSON object");
  }
  const auto state = ValueOf(kCallStateNames, Get<std::string>(document, "state"));
  if (!state) {
    Fail("/state", "is not a call state");
  }
  CallRow row;
  row.state = *state;
  row.attempt = Get<std::uint32_t>(document, "attempt");
  row.nonce = Get<std::string>(document, "nonce");
  row.holder.instance = Get<std::string>(document, "holder");
  row.holder.generation = Get<std::uint64_t>(document, "generation");
  row.upstream = Get<std::string>(document, "upstream");
  row.request = Get<std::string>(document, "request");
  row.request_hash = Get<std::string>(document, "hash");
  row.answer_timeout = milliseconds(Get<std::int64_t>(document, "timeout_ms"));
  row.settled_by = GetOr<std::string>(document, "settled_by", "");
  if (row.state == CallState::kDone) {
    row.answer.status = Get<int>(document, "status");
    row.answer.content_type = Get<std::string>(document, "content_type");
    row.object = GetOr<std::string>(document, "object", "");
    if (row.object.empty()) {
      row.answer.body = Get<std::string>(document, "body");
    } else {
      row.object_hash = Get<std::string>(document, "object_hash");
    }
  }
  return row;
}

// Replaces invalid UTF-8, because a bad byte in a name must not keep a call from being recorded.
// Bodies that would be altered by this are kept out of the row by NeedsObject.
std::string SerializeCallRow(const CallRow& row) {
  return ToJson(row).dump(-1, ' ', false, json::error_handler_t::replace);
}

// Compares the printed size with the limit, because escaping can make a body several times longer.
bool NeedsObject(const CallRow& row) {
  if (row.answer.body.size() > kCallRowLimitBytes) {
    return true;
  }
  try {
    json(row.answer.body).dump();
  } catch (const json::exception&) {
    return true;  // not UTF-8 text
  }
  return SerializeCallRow(row).size() > kCallRowLimitBytes;
}

// Precedes each field with its length, so that moving a character from one field to the next
// changes the hash.
std::string CallRequestHash(std::string_view service,
                            std::string_view operation,
                            std::string_view body) {
  std::string text;
  text.reserve(service.size() + operation.size() + body.size() + 64);
  for (std::string_view field : {service, operation, body}) {
    text += std::to_string(field.size());
    text += ':';
    text += field;
  }
  return Hex(HashText(text));
}

std::string CallBodyHash(std::string_view body) {
  return Hex(HashText(body));
}

std::string CallObjectName(const std::string& row_key, const CallRow& row) {
  return row_key + "/" + std::to_string(row.attempt) + "-" + row.nonce;
}

Duration InDoubtTimeoutFor(const CallRow& row, HolderState holder) {
  return holder == HolderState::kGone ? kInDoubtTimeout : row.answer_timeout + 2 * kInDoubtTimeout;
}

bool IsValidIdempotencyKey(std::string_view key) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.' || c == ':';
  };
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::all_of(key.begin(), key.end(), allowed);
}

}  // namespace chiverail
