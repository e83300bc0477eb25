#ifndef CHIVERAIL_MANIFEST_H_
#define CHIVERAIL_MANIFEST_H_

#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "types.h"

namespace chiverail {

// Kind of an upstream: a model engine, or a plain service such as a booking application.
enum class UpstreamKind : std::uint8_t { kEngine, kPlain };
inline constexpr std::array<EnumName<UpstreamKind>, 2> kUpstreamKindNames{{
    {UpstreamKind::kEngine, "engine"},
    {UpstreamKind::kPlain, "plain"},
}};

// One upstream as the manifest declares it.
struct Upstream {
  UpstreamId id;
  UpstreamKind kind = UpstreamKind::kEngine;
  DataCentreId data_centre;
  std::string address;                // "ip:port"
  ModelId model;                      // engines only
  std::string version;                // engines only
  std::vector<std::string> adapters;  // engines only
  std::string service;                // plain services only
  double weight = 1.0;                // relative capacity; for an engine, its accelerators
  int max_concurrency = 64;           // concurrent requests that the upstream accepts when warm
  int cold_limit = 1;        // concurrent requests that the engine accepts during cold start
  bool checks_fence = true;  // the engine rejects orders with an outdated fencing number
};

// A model and the version that serves requests.
struct Model {
  ModelId id;
  std::string version;
  std::vector<std::string> adapters;
};

// A workspace and its share of an engine when workspaces compete.
struct Workspace {
  WorkspaceId id;
  double share = 1.0;
};

// A data centre and its region.
struct DataCentre {
  DataCentreId id;
  RegionId region;
};

// One operation of a plain service.
struct Operation {
  std::string name;
  bool idempotent = false;
};

// A plain service and its operations.
struct Service {
  std::string id;
  std::vector<Operation> operations;
};

// The desired state that the operator's build pipeline generates.
struct Manifest {
  std::string site;
  double load_multiple = 1.25;  // bound on engine load over the mean load
  int load_floor = 4;           // concurrent requests that an engine may always run
  Duration load_report_lag = milliseconds(2000);     // greatest age of an engine's load report
  Duration longest_request = milliseconds(120'000);  // longest time to answer one request
  std::vector<Model> models;
  std::vector<Workspace> workspaces;
  std::vector<DataCentre> data_centres;
  std::vector<Service> services;
  std::vector<Upstream> upstreams;
};

// One fault found in a JSON document.
struct JsonFault {
  std::string pointer;  // JSON pointer to the faulty value
  std::string reason;
};

// Thrown when a document has faults; lists all of them.
class InvalidDocument : public std::runtime_error {
 public:
  explicit InvalidDocument(std::vector<JsonFault> faults);
  const std::vector<JsonFault>& faults() const { return faults_; }

 private:
  std::vector<JsonFault> faults_;
};

// Parses and checks a manifest. Throws InvalidDocument with every fault found: wrong types, values
// out of range, unknown keys (with the nearest known one), duplicate ids, references to undeclared
// ids.
Manifest ParseManifest(const nlohmann::json& document);

// Converts a manifest to the JSON form that ParseManifest accepts, with all defaults written out.
nlohmann::json ManifestToJson(const Manifest& manifest);

}  // namespace chiverail

#endif  // CHIVERAIL_MANIFEST_H_
