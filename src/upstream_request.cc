#include "upstream_request.h"

#include <algorithm>
#include <string_view>

namespace chiverail {
namespace {

bool IsForwarded(const HeaderNames& names,
                 const UpstreamFields& fields,
                 std::string_view name,
                 std::string_view connection) {
  if (IsHopByHopField(name, connection) || SameFieldName(name, names.deadline_ms) ||
      SameFieldName(name, names.key) || SameFieldName(name, names.workspace) ||
      SameFieldName(name, names.expected_upstream) || SameFieldName(name, "Expect") ||
      SameFieldName(name, names.fetch_parts_from)) {
    return false;
  }
  if (!fields.resume_after.empty() && SameFieldName(name, names.resume_after)) {
    return false;
  }
  return std::none_of(
      names.reserved.begin(), names.reserved.end(),
      [name](const std::string& reserved) { return SameFieldName(name, reserved); });
}

}  // namespace

std::string UpstreamRequestText(const HeaderNames& names,
                                const CallerRequest& request,
                                const UpstreamFields& fields) {
  const MessageHead& head = request.head;
  std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
  const auto add = [&text](std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
  };
  const auto add_if_known = [&add](std::string_view name, std::string_view value) {
    if (!value.empty()) {
      add(name, value);
    }
  };
  const std::string_view connection = head.Field("Connection");
  for (const auto& [name, value] : head.fields) {
    if (IsForwarded(names, fields, name, connection)) {
      add(name, value);
    }
  }
  const auto left_ms = std::chrono::duration_cast<milliseconds>(fields.time_left).count();
  add(names.deadline_ms, std::to_string(std::max<std::int64_t>(1, left_ms)));
  add(names.expected_upstream, fields.upstream);
  add_if_known(names.workspace, fields.workspace);
  add_if_known(names.fetch_parts_from, fields.fetch_parts_from);
  add_if_known(names.resume_after, fields.resume_after);
  const bool has_body =
      !request.body.empty() || head.body_length || !head.Field("Transfer-Encoding").empty();
  if (has_body) {
    add("Content-Length", std::to_string(request.body.size()));
  }
  text.append("\r\n").append(request.body);
  return text;
}

}  // namespace chiverail
