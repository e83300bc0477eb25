#include "json_fields.h"

#include <arpa/inet.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace chiverail {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxIdentifierCharacters = 128;

std::string EscapePointerToken(const std::string& token) {
  std::string escaped;
  for (const char c : token) {
    escaped += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
  }
  return escaped;
}

std::string FormatNumber(double value) {
  return json(value).dump();
}

// Levenshtein distance with one row of memory.
std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < right.size(); ++j) {
      const std::size_t substitution_cost = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({substitution_cost, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

std::string Suggestion(std::string_view word, const std::vector<std::string>& known) {
  const std::string nearest = NearestWord(word, known);
  return nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?";
}

std::string JoinWords(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : ", ") + word;
  }
  return text;
}

// Detects duplicate keys from the parser's events. Keeps one set of keys per open object.
class DuplicateKeyCheck {
 public:
  explicit DuplicateKeyCheck(std::vector<JsonFault>& faults) : faults_(faults) {}

  void OnEvent(json::parse_event_t event, const json& parsed) {
    if (event == json::parse_event_t::object_start) {
      keys_.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      keys_.pop_back();
    } else if (event == json::parse_event_t::key) {
      const auto& key = parsed.get_ref<const std::string&>();
      if (!keys_.back().insert(key).second) {
        faults_.push_back({"", "key \"" + key + "\" appears twice in one object"});
      }
    }
  }

 private:
  std::vector<JsonFault>& faults_;
  std::vector<std::set<std::string>> keys_;
};

}  // namespace

json ParseJsonText(std::string_view text) {
  std::vector<JsonFault> faults;
  DuplicateKeyCheck check(faults);
  json document;
  try {
    document = json::parse(text, [&check](int, json::parse_event_t event, json& parsed) {
      check.OnEvent(event, parsed);
      return true;
    });
  } catch (const json::parse_error& error) {
    faults.push_back({"", "malformed JSON at byte " + std::to_string(error.byte)});
  }
  if (!faults.empty()) {
    throw InvalidDocument(std::move(faults));
  }
  return document;
}

std::string NearestWord(std::string_view word, const std::vector<std::string>& known) {
  const std::size_t max_distance = std::max<std::size_t>(2, word.size() / 3);
  std::string nearest;
  std::size_t best = max_distance + 1;
  for (const std::string& candidate : known) {
    const std::size_t distance = EditDistance(word, candidate);
    if (distance < best && distance < candidate.size()) {
      best = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

bool IsSocketAddress(std::string_view text, bool allow_port_zero) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string port(text.substr(colon + 1));
  if (port.empty() || port.size() > 5 ||
      port.find_first_not_of("0123456789") != std::string::npos) {
    return false;
  }
  const int port_number = std::stoi(port);
  if (port_number > 65535 || (port_number == 0 && !allow_port_zero)) {
    return false;
  }
  const std::string host(text.substr(0, colon));
  in_addr parsed;
  return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

bool IsIdentifier(std::string_view text) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return !text.empty() && text.size() <= kMaxIdentifierCharacters &&
         text.find_first_not_of(kAllowed) == std::string_view::npos;
}

JsonFields::JsonFields(const json& value, std::string pointer, std::vector<JsonFault>& faults)
    : value_(value), pointer_(std::move(pointer)), faults_(faults) {
  if (!value_.is_object()) {
    faults_.push_back({pointer_, std::string("expected an object, found ") + value_.type_name()});
  }
}

// Members of a value that is not an object are not reported as missing, because the constructor has
// already reported the cause.
const json* JsonFields::Find(const std::string& key, Presence presence) {
  known_keys_.insert(key);
  if (!value_.is_object()) {
    return nullptr;
  }
  const auto found = value_.find(key);
  if (found != value_.end()) {
    return &*found;
  }
  if (presence == Presence::kRequired) {
    AddFault(key, "missing");
  }
  return nullptr;
}

void JsonFields::AddFault(const std::string& key, const std::string& reason) {
  faults_.push_back({PointerTo(key), reason});
}

bool JsonFields::Has(const std::string& key) const {
  return value_.is_object() && value_.contains(key);
}

std::string JsonFields::PointerTo(const std::string& key) const {
  return pointer_ + "/" + EscapePointerToken(key);
}

void JsonFields::Text(const std::string& key, Presence presence, std::string& target) {
  const json* member = Find(key, presence);
  if (member == nullptr) {
    return;
  }
  if (!member->is_string()) {
    AddFault(key, std::string("expected a string, found ") + member->type_name());
    return;
  }
  target = member->get<std::string>();
}

void JsonFields::Identifier(const std::string& key, Presence presence, std::string& target) {
  const std::size_t faults_before = faults_.size();
  std::string text;
  Text(key, presence, text);
  if (!Has(key) || faults_.size() > faults_before) {
    return;
  }
  if (!IsIdentifier(text)) {
    AddFault(key, "must be 1 to 128 characters of A-Z a-z 0-9 . _ -");
    return;
  }
  target = text;
}

void JsonFields::Address(const std::string& key,
                         Presence presence,
                         std::string& target,
                         bool allow_port_zero) {
  const std::size_t faults_before = faults_.size();
  std::string text;
  Text(key, presence, text);
  if (!Has(key) || faults_.size() > faults_before) {
    return;
  }
  if (!IsSocketAddress(text, allow_port_zero)) {
    AddFault(key, "\"" + text + "\" is not an address of the form ip:port");
    return;
  }
  target = text;
}

void JsonFields::Integer(const std::string& key,
                         Presence presence,
                         std::int64_t min,
                         std::int64_t max,
                         std::int64_t& target) {
  const json* member = Find(key, presence);
  if (member == nullptr) {
    return;
  }
  if (!member->is_number_integer()) {
    AddFault(key, std::string("expected a whole number, found ") +
                      (member->is_number() ? member->dump() : member->type_name()));
    return;
  }
  // Values above the signed range are read as unsigned and would wrap around.
  const bool too_large =
      member->is_number_unsigned() &&
      member->get<std::uint64_t>() > static_cast<std::uint64_t>(std::max<std::int64_t>(max, 0));
  const auto value = member->get<std::int64_t>();
  if (too_large || value < min || value > max) {
    AddFault(key,
             member->dump() + " is outside " + std::to_string(min) + " to " + std::to_string(max));
    return;
  }
  target = value;
}

void JsonFields::Integer(const std::string& key, Presence presence, int min, int max, int& target) {
  std::int64_t value = target;
  Integer(key, presence, std::int64_t{min}, std::int64_t{max}, value);
  target = static_cast<int>(value);
}

void JsonFields::Milliseconds(const std::string& key,
                              Presence presence,
                              std::int64_t min,
                              std::int64_t max,
                              Duration& target) {
  std::int64_t value = std::chrono::duration_cast<milliseconds>(target).count();
  Integer(key, presence, min, max, value);
  target = milliseconds(value);
}

void JsonFields::Number(const std::string& key,
                        Presence presence,
                        double min,
                        double max,
                        double& target) {
  const json* member = Find(key, presence);
  if (member == nullptr) {
    return;
  }
  if (!member->is_number()) {
    AddFault(key, std::string("expected a number, found ") + member->type_name());
    return;
  }
  const auto value = member->get<double>();
  if (!(value >= min && value <= max)) {
    AddFault(key, member->dump() + " is outside " + FormatNumber(min) + " to " + FormatNumber(max));
    return;
  }
  target = value;
}

void JsonFields::Flag(const std::string& key, Presence presence, bool& target) {
  const json* member = Find(key, presence);
  if (member == nullptr) {
    return;
  }
  if (!member->is_boolean()) {
    AddFault(key, std::string("expected true or false, found ") + member->type_name());
    return;
  }
  target = member->get<bool>();
}

void JsonFields::Identifiers(const std::string& key,
                             Presence presence,
                             std::vector<std::string>& target) {
  const json* member = Find(key, presence);
  if (member == nullptr) {
    return;
  }
  if (!member->is_array()) {
    AddFault(key, std::string("expected a list, found ") + member->type_name());
    return;
  }
  std::vector<std::string> items;
  for (std::size_t i = 0; i < member->size(); ++i) {
    const json& item = (*member)[i];
    const std::string pointer = PointerTo(key) + "/" + std::to_string(i);
    if (!item.is_string() || !IsIdentifier(item.get_ref<const std::string&>())) {
      faults_.push_back({pointer, "must be 1 to 128 characters of A-Z a-z 0-9 . _ -"});
    } else if (std::find(items.begin(), items.end(), item.get<std::string>()) != items.end()) {
      faults_.push_back({pointer, "\"" + item.get<std::string>() + "\" appears twice"});
    } else {
      items.push_back(item.get<std::string>());
    }
  }
  target = std::move(items);
}

bool JsonFields::OneOf(const std::string& key,
                       Presence presence,
                       const std::vector<std::string>& known,
                       std::string& target) {
  const std::size_t faults_before = faults_.size();
  Text(key, presence, target);
  if (!Has(key) || faults_.size() > faults_before) {
    return false;
  }
  if (std::find(known.begin(), known.end(), target) == known.end()) {
    AddFault(key, "\"" + target + "\" is none of " + JoinWords(known) + Suggestion(target, known));
    return false;
  }
  return true;
}

void JsonFields::Objects(const std::string& key,
                         Presence presence,
                         const std::function<void(JsonFields& item, std::size_t index)>& read) {
  const json* member = Find(key, presence);
  if (member == nullptr) {
    return;
  }
  if (!member->is_array()) {
    AddFault(key, std::string("expected a list, found ") + member->type_name());
    return;
  }
  for (std::size_t i = 0; i < member->size(); ++i) {
    JsonFields item((*member)[i], PointerTo(key) + "/" + std::to_string(i), faults_);
    read(item, i);
    item.Finish();
  }
}

void JsonFields::Object(const std::string& key,
                        Presence presence,
                        const std::function<void(JsonFields& member)>& read) {
  const json* member = Find(key, presence);
  if (member != nullptr) {
    JsonFields fields(*member, PointerTo(key), faults_);
    read(fields);
    fields.Finish();
  }
}

void JsonFields::Finish() {
  if (!value_.is_object()) {
    return;
  }
  const std::vector<std::string> known(known_keys_.begin(), known_keys_.end());
  for (const auto& [key, member] : value_.items()) {
    if (known_keys_.count(key) == 0) {
      AddFault(key, "unknown key" + Suggestion(key, known));
    }
  }
}

}  // namespace chiverail
