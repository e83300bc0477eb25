#include "ctl_status.h"

#include <algorithm>
#include <map>
#include <optional>

#include "ctl_platform.h"

namespace chiverail {
namespace {

using nlohmann::json;

// Reads a JSON document of one instance. Returns nothing when the instance does not answer.
std::optional<json> QueryInstance(const CtlContext& context,
                                  const std::string& address,
                                  const std::string& path) {
  try {
    const auto response = context.http.Send(address, {"GET", path, {}, ""}, context.yield);
    json document = json::parse(response.body, nullptr, false);
    if (response.status == 200 && document.is_object()) {
      return document;
    }
  } catch (const HttpError&) {
  }
  return std::nullopt;
}

void ShowInstance(const CtlContext& context) {
  const auto status = QueryInstance(context, context.options.instance, "/admin/status");
  if (!status) {
    throw CtlError(ExitCode::kFailed, context.options.instance + " does not answer");
  }
  context.Print(status->dump(2) + "\n", *status);
}

std::string JoinNames(const std::set<DataCentreId>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text.empty() ? "none" : text;
}

// Formats a field of an upstream's report; "-" when the report does not have it.
std::string Show(const json& upstream, const char* key) {
  const auto found = upstream.find(key);
  if (found == upstream.end() || found->is_null()) {
    return "-";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

// Reports of the instances about their upstreams.
struct UpstreamReports {
  std::map<UpstreamId, json> by_id;
  std::vector<std::string> unreachable;  // addresses of instances that did not answer
};

// Keeps one report of each upstream: the one of its owner, which counts its requests, or else the
// first one of any other instance.
void Collect(const json& document, UpstreamReports& reports) {
  const std::string instance = document.value("instance", "");
  const auto list = document.find("upstreams");
  if (list == document.end() || !list->is_array()) {
    return;
  }
  for (const json& upstream : *list) {
    if (!upstream.is_object() || !upstream.contains("id") || !upstream["id"].is_string()) {
      continue;
    }
    const auto id = upstream["id"].get<std::string>();
    const bool from_owner = upstream.value("owner", "") == instance && !instance.empty();
    if (from_owner || reports.by_id.count(id) == 0) {
      reports.by_id[id] = upstream;
    }
  }
}

UpstreamReports QueryUpstreams(const CtlContext& context) {
  std::vector<std::string> addresses;
  if (!context.options.instance.empty()) {
    addresses.push_back(context.options.instance);
  } else {
    for (const Member& member : ReadMembers(context)) {
      addresses.push_back(member.address);
    }
  }
  UpstreamReports reports;
  for (const std::string& address : addresses) {
    if (const auto document = QueryInstance(context, address, "/admin/upstreams")) {
      Collect(*document, reports);
    } else {
      reports.unreachable.push_back(address);
    }
  }
  if (reports.unreachable.size() == addresses.size()) {
    throw CtlError(ExitCode::kFailed, "no instance answers");
  }
  return reports;
}

}  // namespace

void ShowStatus(const CtlContext& context, const std::vector<std::string>&) {
  if (!context.options.instance.empty()) {
    ShowInstance(context);
    return;
  }
  const HeadRow head = ReadHead(context);
  const auto leases = ReadLeases(context);
  std::vector<std::vector<std::string>> rows = {
      {"instance", "data centre", "state", "address", "generation", "lease", "revision"}};
  json list = json::array();
  for (const Member& member : ReadMembers(context)) {
    const auto found = leases.find(member.id);
    const bool has_lease = found != leases.end() && found->second.generation == member.generation;
    LeaseRow lease = has_lease ? found->second : LeaseRow{};
    if (has_lease && lease.revision < head.revision) {
      lease.revision = std::max(lease.revision, QueryRevision(context, member.address));
    }
    rows.push_back({member.id, member.data_centre,
                    std::string(NameOf(kMemberStateNames, member.state)), member.address,
                    std::to_string(member.generation),
                    has_lease ? std::to_string(lease.sequence) : "-",
                    has_lease ? std::to_string(lease.revision) : "-"});
    list.push_back({{"id", member.id},
                    {"data_centre", member.data_centre},
                    {"state", NameOf(kMemberStateNames, member.state)},
                    {"address", member.address},
                    {"generation", member.generation},
                    {"lease_sequence", has_lease ? json(lease.sequence) : json()},
                    {"revision", has_lease ? json(lease.revision) : json()}});
  }
  context.Print("newest revision " + std::to_string(head.revision) + ", data centres out: " +
                    JoinNames(head.data_centres_out) + "\n" + FormatColumns(rows),
                {{"revision", head.revision},
                 {"data_centres_out", head.data_centres_out},
                 {"instances", std::move(list)}});
}

void ShowUpstreams(const CtlContext& context, const std::vector<std::string>&) {
  const UpstreamReports reports = QueryUpstreams(context);
  std::vector<std::vector<std::string>> rows = {{"upstream", "data centre", "owner", "phase",
                                                 "slots", "foreign", "limit", "queued",
                                                 "reported load", "cold", "accepting"}};
  json list = json::array();
  for (const auto& [id, upstream] : reports.by_id) {
    rows.push_back({id});
    for (const char* key : {"data_centre", "owner", "phase", "slots", "foreign", "limit", "queued",
                            "reported_load", "cold", "accepting"}) {
      rows.back().push_back(Show(upstream, key));
    }
    list.push_back(upstream);
  }
  std::string text = FormatColumns(rows);
  for (const std::string& address : reports.unreachable) {
    text += "no answer from " + address + "\n";
  }
  context.Print(text, {{"upstreams", std::move(list)}, {"unreachable", reports.unreachable}});
}

}  // namespace chiverail
