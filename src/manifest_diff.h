#ifndef CHIVERAIL_MANIFEST_DIFF_H_
#define CHIVERAIL_MANIFEST_DIFF_H_

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "manifest.h"

namespace chiverail {

// Section of a manifest to which a change belongs.
enum class ManifestSection : std::uint8_t {
  kSite,  // the values at the top of the manifest
  kModel,
  kWorkspace,
  kDataCentre,
  kService,
  kUpstream,
};
inline constexpr std::array<EnumName<ManifestSection>, 6> kManifestSectionNames{{
    {ManifestSection::kSite, "site"},
    {ManifestSection::kModel, "model"},
    {ManifestSection::kWorkspace, "workspace"},
    {ManifestSection::kDataCentre, "data_centre"},
    {ManifestSection::kService, "service"},
    {ManifestSection::kUpstream, "upstream"},
}};

// Kind of difference of one item between two manifests.
enum class ItemChange : std::uint8_t { kAdded, kRemoved, kChanged };
inline constexpr std::array<EnumName<ItemChange>, 3> kItemChangeNames{{
    {ItemChange::kAdded, "added"},
    {ItemChange::kRemoved, "removed"},
    {ItemChange::kChanged, "changed"},
}};

// One field of a changed item.
struct FieldChange {
  std::string field;
  std::string from;  // JSON text; empty when the field was absent
  std::string to;    // JSON text; empty when the field is absent now
};

// One item that differs. Fields are listed for changed items only.
struct ManifestChange {
  ManifestSection section = ManifestSection::kSite;
  std::string id;  // empty for the values at the top of the manifest
  ItemChange change = ItemChange::kChanged;
  std::vector<FieldChange> fields;
};

// Differences between two manifests by section and id. The order of items in a list has no meaning
// and is not compared.
std::vector<ManifestChange> DiffManifests(const Manifest& from, const Manifest& to);

// One line per change, with the fields of changed items; "no difference" for an empty list.
std::string DiffToText(const std::vector<ManifestChange>& changes);

// The changes as a list of objects.
nlohmann::json DiffToJson(const std::vector<ManifestChange>& changes);

// One short line with counts, such as "2 workspaces added, 1 upstream changed", for audit entries.
std::string DiffSummary(const std::vector<ManifestChange>& changes);

}  // namespace chiverail

#endif  // CHIVERAIL_MANIFEST_DIFF_H_
