#include "manifest.h"

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "json_fields.h"

namespace chiverail {
namespace {

using nlohmann::json;

// Above a multiple of 10 the limit on engine load has no effect in practice.
constexpr double kMaxLoadMultiple = 10;
constexpr int kMaxLoadFloor = 1000;
constexpr std::int64_t kMaxLoadReportLagMs = 600'000;
constexpr std::int64_t kMaxLongestRequestMs = 86'400'000;
constexpr double kMinWeight = 0.001;
constexpr double kMaxWeight = 1'000'000;
constexpr int kMaxConcurrency = 100'000;

std::string DescribeFaults(const std::vector<JsonFault>& faults) {
  std::string text;
  for (const JsonFault& fault : faults) {
    text += (text.empty() ? "" : "\n") + fault.pointer + ": " + fault.reason;
  }
  return text;
}

// Index of each id, name or address already read from a list.
using Positions = std::map<std::string, std::size_t>;

// Reads the identifying member of a list item and reports a value that an earlier item already has.
void ReadUnique(JsonFields& item,
                const std::string& key,
                std::size_t index,
                Positions& seen,
                std::string& target) {
  item.Identifier(key, Presence::kRequired, target);
  if (target.empty()) {
    return;
  }
  const auto [earlier, added] = seen.emplace(target, index);
  if (!added) {
    item.AddFault(
        key, "\"" + target + "\" is already the item at index " + std::to_string(earlier->second));
  }
}

// Reports a reference to something that the manifest does not declare.
void CheckDeclared(JsonFields& item,
                   const std::string& key,
                   const std::string& id,
                   const Positions& declared,
                   const std::string& what) {
  if (id.empty() || declared.count(id) > 0) {
    return;
  }
  std::vector<std::string> known;
  for (const auto& [name, index] : declared) {
    known.push_back(name);
  }
  const std::string nearest = NearestWord(id, known);
  item.AddFault(key, "\"" + id + "\" is not a declared " + what +
                         (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?"));
}

// Reads a manifest and checks its references. Sections are read in dependency order, so that each
// upstream can be checked against the models, services and data centres already read.
class ManifestReader {
 public:
  ManifestReader(const json& document, std::vector<JsonFault>& faults)
      : document_(document), faults_(faults) {}

  Manifest Read() {
    JsonFields fields(document_, "", faults_);
    fields.Identifier("site", Presence::kRequired, manifest_.site);
    fields.Number("load_multiple", Presence::kOptional, 1, kMaxLoadMultiple,
                  manifest_.load_multiple);
    fields.Integer("load_floor", Presence::kOptional, 1, kMaxLoadFloor, manifest_.load_floor);
    fields.Milliseconds("load_report_lag_ms", Presence::kOptional, 0, kMaxLoadReportLagMs,
                        manifest_.load_report_lag);
    fields.Milliseconds("longest_request_ms", Presence::kOptional, 1, kMaxLongestRequestMs,
                        manifest_.longest_request);
    ReadModels(fields);
    ReadWorkspaces(fields);
    ReadDataCentres(fields);
    ReadServices(fields);
    ReadUpstreams(fields);
    fields.Finish();
    return std::move(manifest_);
  }

 private:
  void ReadModels(JsonFields& fields) {
    fields.Objects("models", Presence::kOptional, [this](JsonFields& item, std::size_t index) {
      Model model;
      ReadUnique(item, "id", index, models_, model.id);
      item.Identifier("version", Presence::kRequired, model.version);
      item.Identifiers("adapters", Presence::kOptional, model.adapters);
      manifest_.models.push_back(std::move(model));
    });
  }

  void ReadWorkspaces(JsonFields& fields) {
    Positions seen;
    fields.Objects("workspaces", Presence::kRequired, [&](JsonFields& item, std::size_t index) {
      Workspace workspace;
      ReadUnique(item, "id", index, seen, workspace.id);
      item.Number("share", Presence::kOptional, kMinWeight, kMaxWeight, workspace.share);
      manifest_.workspaces.push_back(std::move(workspace));
    });
  }

  void ReadDataCentres(JsonFields& fields) {
    fields.Objects("data_centres", Presence::kRequired, [&](JsonFields& item, std::size_t index) {
      DataCentre data_centre;
      ReadUnique(item, "id", index, data_centres_, data_centre.id);
      item.Identifier("region", Presence::kRequired, data_centre.region);
      manifest_.data_centres.push_back(std::move(data_centre));
    });
  }

  void ReadServices(JsonFields& fields) {
    fields.Objects("services", Presence::kOptional, [this](JsonFields& item, std::size_t index) {
      Service service;
      ReadUnique(item, "id", index, services_, service.id);
      Positions seen;
      item.Objects("operations", Presence::kRequired, [&](JsonFields& entry, std::size_t position) {
        Operation operation;
        ReadUnique(entry, "name", position, seen, operation.name);
        // Required, because a wrong default would either execute a charge twice or refuse to retry
        // a read.
        entry.Flag("idempotent", Presence::kRequired, operation.idempotent);
        service.operations.push_back(std::move(operation));
      });
      manifest_.services.push_back(std::move(service));
    });
  }

  void ReadUpstreams(JsonFields& fields) {
    fields.Objects("upstreams", Presence::kRequired, [this](JsonFields& item, std::size_t index) {
      Upstream upstream;
      ReadUnique(item, "id", index, upstreams_, upstream.id);
      item.Enum("kind", Presence::kRequired, kUpstreamKindNames, upstream.kind);
      item.Identifier("data_centre", Presence::kRequired, upstream.data_centre);
      CheckDeclared(item, "data_centre", upstream.data_centre, data_centres_, "data centre");
      ReadUpstreamAddress(item, index, upstream);
      if (upstream.kind == UpstreamKind::kEngine) {
        ReadEngine(item, upstream);
      } else {
        item.Identifier("service", Presence::kRequired, upstream.service);
        CheckDeclared(item, "service", upstream.service, services_, "service");
      }
      item.Number("weight", Presence::kOptional, kMinWeight, kMaxWeight, upstream.weight);
      item.Integer("max_concurrency", Presence::kOptional, 1, kMaxConcurrency,
                   upstream.max_concurrency);
      manifest_.upstreams.push_back(std::move(upstream));
    });
  }

  // Rejects a second upstream with the same address: both would be one engine, but the concurrency
  // limit of each would count only its own requests.
  void ReadUpstreamAddress(JsonFields& item, std::size_t index, Upstream& upstream) {
    item.Address("address", Presence::kRequired, upstream.address);
    if (upstream.address.empty()) {
      return;
    }
    const auto [earlier, added] = addresses_.emplace(upstream.address, index);
    if (!added) {
      item.AddFault("address", "\"" + upstream.address + "\" is already the address of upstream " +
                                   std::to_string(earlier->second));
    }
  }

  void ReadEngine(JsonFields& item, Upstream& upstream) {
    item.Identifier("model", Presence::kRequired, upstream.model);
    CheckDeclared(item, "model", upstream.model, models_, "model");
    item.Identifier("version", Presence::kRequired, upstream.version);
    item.Identifiers("adapters", Presence::kOptional, upstream.adapters);
    item.Integer("cold_limit", Presence::kOptional, 1, kMaxConcurrency, upstream.cold_limit);
    item.Flag("checks_fence", Presence::kOptional, upstream.checks_fence);
    const auto model = models_.find(upstream.model);
    if (model == models_.end()) {
      return;
    }
    Positions declared;
    for (const std::string& adapter : manifest_.models[model->second].adapters) {
      declared.emplace(adapter, declared.size());
    }
    for (const std::string& adapter : upstream.adapters) {
      CheckDeclared(item, "adapters", adapter, declared, "adapter of " + upstream.model);
    }
  }

  const json& document_;
  std::vector<JsonFault>& faults_;
  Manifest manifest_;
  Positions models_;
  Positions data_centres_;
  Positions services_;
  Positions upstreams_;
  Positions addresses_;
};

json ServiceToJson(const Service& service) {
  json operations = json::array();
  for (const Operation& operation : service.operations) {
    operations.push_back({{"name", operation.name}, {"idempotent", operation.idempotent}});
  }
  return {{"id", service.id}, {"operations", std::move(operations)}};
}

json UpstreamToJson(const Upstream& upstream) {
  json object = {{"id", upstream.id},
                 {"kind", NameOf(kUpstreamKindNames, upstream.kind)},
                 {"data_centre", upstream.data_centre},
                 {"address", upstream.address},
                 {"weight", upstream.weight},
                 {"max_concurrency", upstream.max_concurrency}};
  if (upstream.kind == UpstreamKind::kPlain) {
    object["service"] = upstream.service;
    return object;
  }
  object["model"] = upstream.model;
  object["version"] = upstream.version;
  object["adapters"] = upstream.adapters;
  object["cold_limit"] = upstream.cold_limit;
  object["checks_fence"] = upstream.checks_fence;
  return object;
}

template <typename T, typename F>
json ListToJson(const std::vector<T>& items, F to_json) {
  json list = json::array();
  for (const T& item : items) {
    list.push_back(to_json(item));
  }
  return list;
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

InvalidDocument::InvalidDocument(std::vector<JsonFault> faults)
    : std::runtime_error(DescribeFaults(faults)), faults_(std::move(faults)) {}

Manifest ParseManifest(const json& document) {
  std::vector<JsonFault> faults;
  Manifest manifest = ManifestReader(document, faults).Read();
  if (!faults.empty()) {
    throw InvalidDocument(std::move(faults));
  }
  return manifest;
}

json ManifestToJson(const Manifest& manifest) {
  json document = {{"site", manifest.site},
                   {"load_multiple", manifest.load_multiple},
                   {"load_floor", manifest.load_floor},
                   {"load_report_lag_ms", ToMilliseconds(manifest.load_report_lag)},
                   {"longest_request_ms", ToMilliseconds(manifest.longest_request)}};
  document["models"] = ListToJson(manifest.models, [](const Model& model) {
    return json{{"id", model.id}, {"version", model.version}, {"adapters", model.adapters}};
  });
  document["workspaces"] = ListToJson(manifest.workspaces, [](const Workspace& workspace) {
    return json{{"id", workspace.id}, {"share", workspace.share}};
  });
  document["data_centres"] = ListToJson(manifest.data_centres, [](const DataCentre& data_centre) {
    return json{{"id", data_centre.id}, {"region", data_centre.region}};
  });
  document["services"] = ListToJson(manifest.services, ServiceToJson);
  document["upstreams"] = ListToJson(manifest.upstreams, UpstreamToJson);
  return document;
}

}  // namespace chiverail
