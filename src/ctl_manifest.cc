#include "ctl_manifest.h"

#include <algorithm>

#include "ctl_calls.h"
#include "ctl_platform.h"
#include "ctl_publish.h"
#include "json_fields.h"
#include "manifest_chunks.h"
#include "manifest_diff.h"

namespace chiverail {
namespace {

using nlohmann::json;

Manifest ReadManifestFile(const std::string& path) {
  return ParseManifest(ParseJsonText(ReadFile(path)));
}

Revision ParseRevision(const std::string& text) {
  const bool numeric = !text.empty() && text.size() <= 18 &&
                       text.find_first_not_of("0123456789") == std::string::npos;
  if (!numeric || std::stoull(text) == 0) {
    throw CtlError(ExitCode::kUsage, "\"" + text + "\" is not a revision number");
  }
  return std::stoull(text);
}

}  // namespace

void CheckManifest(const CtlContext& context, const std::vector<std::string>& arguments) {
  const Manifest manifest = ReadManifestFile(arguments[0]);
  const std::string counts = std::to_string(manifest.models.size()) + " models, " +
                             std::to_string(manifest.workspaces.size()) + " workspaces, " +
                             std::to_string(manifest.upstreams.size()) + " upstreams";
  context.Print("valid: " + manifest.site + ", " + counts + "\n",
                {{"valid", true},
                 {"site", manifest.site},
                 {"models", manifest.models.size()},
                 {"workspaces", manifest.workspaces.size()},
                 {"upstreams", manifest.upstreams.size()}});
}

void DiffManifest(const CtlContext& context, const std::vector<std::string>& arguments) {
  const Manifest target = ReadManifestFile(arguments[0]);
  const InForce in_force = ReadInForce(context);
  const auto changes = DiffManifests(in_force.manifest, target);
  context.Print(DiffToText(changes),
                {{"revision", in_force.head.revision}, {"changes", DiffToJson(changes)}});
}

void ApplyManifest(const CtlContext& context, const std::vector<std::string>& arguments) {
  const Manifest target = ReadManifestFile(arguments[0]);
  const InForce in_force = ReadInForce(context);
  PublishRequest request;
  request.objects = SplitManifest(target);
  request.existing = {in_force.objects.begin(), in_force.objects.end()};
  request.change = SetManifest{request.objects.index.name};
  request.summary = DiffSummary(DiffManifests(in_force.manifest, target));
  Publish(context, request);
}

void ShowHistory(const CtlContext& context, const std::vector<std::string>&) {
  std::vector<AuditRow> entries = ReadAudit(context, 0);
  const Revision newest = ReadHead(context).revision;
  std::reverse(entries.begin(), entries.end());
  std::vector<std::vector<std::string>> rows = {
      {"revision", "time", "author", "manifest", "change"}};
  json list = json::array();
  for (const AuditRow& entry : entries) {
    rows.push_back({std::to_string(entry.to) + (entry.to == newest ? " *" : ""),
                    FormatTime(entry.at_unix_ms), entry.author, entry.manifest_hash.substr(0, 12),
                    entry.change});
    list.push_back(AuditToJson(entry));
  }
  context.Print(FormatColumns(rows) + "* newest revision\n",
                {{"newest", newest}, {"revisions", std::move(list)}});
}

// Reads the complete earlier manifest before publishing it, so that no revision comes into force
// that instances could not load.
void RollForward(const CtlContext& context, const std::vector<std::string>& arguments) {
  const Revision revision = ParseRevision(arguments[0]);
  const std::vector<AuditRow> entries = ReadAudit(context, revision);
  if (entries.empty() || entries.front().to != revision) {
    throw CtlError(ExitCode::kFailed, "no such revision: " + std::to_string(revision));
  }
  const std::string& hash = entries.front().manifest_hash;
  if (hash.empty()) {
    throw CtlError(ExitCode::kFailed,
                   "revision " + std::to_string(revision) + " precedes the first manifest");
  }
  const Manifest earlier = ReadManifest(context, hash);
  const InForce in_force = ReadInForce(context);
  PublishRequest request;
  request.change = SetManifest{hash};
  request.summary = "manifest of revision " + std::to_string(revision) + ", " +
                    DiffSummary(DiffManifests(in_force.manifest, earlier));
  Publish(context, request);
}

}  // namespace chiverail
