#include "ctl_trace.h"

#include <algorithm>
#include <fstream>
#include <istream>
#include <map>
#include <set>
#include <sstream>

namespace chiverail {
namespace {

using nlohmann::json;

// Decodes the JSON object at the end of a line; null for a line without a decision log record.
json DecodeLine(const std::string& line) {
  const std::size_t start = line.find('{');
  if (start == std::string::npos) {
    return nullptr;
  }
  const json decoded =
      json::parse(line.begin() + static_cast<std::ptrdiff_t>(start), line.end(), nullptr, false);
  return decoded.is_object() && decoded.contains("t") && decoded.contains("event") ? decoded
                                                                                   : json();
}

double TimeOf(const json& line) {
  return line.at("t").get<double>();
}

// Formats all members as name=value, except time, instance, event and request, which are shown
// elsewhere.
std::string Details(const json& line) {
  std::ostringstream text;
  for (const auto& [name, value] : line.items()) {
    if (name != "t" && name != "instance" && name != "event" && name != "request") {
      text << (text.tellp() > 0 ? " " : "") << name << "=" << value.dump();
    }
  }
  return text.str();
}

}  // namespace

void RequestTrace::Read(std::istream& log) {
  for (std::string line; std::getline(log, line);) {
    json decoded = DecodeLine(line);
    if (!decoded.is_object()) {
      continue;
    }
    const std::string event = decoded.at("event");
    if (decoded.value("request", "") == request_) {
      own_.push_back(std::move(decoded));
    } else if (event == "config" || event == "dependency" || event == "start" || event == "stop") {
      context_.push_back(std::move(decoded));
    }
  }
}

std::vector<json> RequestTrace::Lines() const {
  std::vector<json> lines = own_;
  std::set<std::string> instances;
  double last = 0;
  for (const json& line : own_) {
    instances.insert(line.value("instance", ""));
    last = std::max(last, TimeOf(line));
  }
  std::map<std::string, const json*> config_in_force;
  for (const json& line : context_) {
    const std::string instance = line.value("instance", "");
    if (instances.count(instance) == 0 || TimeOf(line) > last) {
      continue;
    }
    if (line.at("event") == "config" && line.contains("version")) {
      const json*& newest = config_in_force[instance];
      newest = newest == nullptr || TimeOf(*newest) <= TimeOf(line) ? &line : newest;
    } else if (TimeOf(line) > last - kContextSeconds) {
      lines.push_back(line);
    }
  }
  for (const auto& [instance, line] : config_in_force) {
    lines.push_back(*line);
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const json& a, const json& b) { return TimeOf(a) < TimeOf(b); });
  return lines;
}

void TraceRequest(const CtlContext& context, const std::vector<std::string>& arguments) {
  RequestTrace trace(arguments.at(0));
  std::istringstream names(arguments.at(1));
  for (std::string name; std::getline(names, name, ',');) {
    std::ifstream file(name);
    if (!file) {
      throw CtlError(ExitCode::kFailed, "cannot read " + name);
    }
    trace.Read(file);
  }
  const std::vector<json> lines = trace.Lines();
  if (lines.empty()) {
    throw CtlError(ExitCode::kFailed, "no line found for request " + arguments.at(0));
  }
  std::vector<std::vector<std::string>> rows{{"TIME", "INSTANCE", "EVENT", "DETAILS"}};
  for (const json& line : lines) {
    rows.push_back(
        {line.at("t").dump(), line.value("instance", ""), line.at("event"), Details(line)});
  }
  context.Print(FormatColumns(rows), lines);
}

}  // namespace chiverail
