#include "manifest_diff.h"

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

namespace chiverail {
namespace {

using nlohmann::json;

// Key of a section's items in the manifest's JSON form.
struct SectionList {
  ManifestSection section;
  const char* key;
};

constexpr SectionList kSectionLists[] = {
    {ManifestSection::kModel, "models"},
    {ManifestSection::kWorkspace, "workspaces"},
    {ManifestSection::kDataCentre, "data_centres"},
    {ManifestSection::kService, "services"},
    {ManifestSection::kUpstream, "upstreams"},
};

std::map<std::string, const json*> ById(const json& list) {
  std::map<std::string, const json*> items;
  for (const json& item : list) {
    items[item.at("id").get<std::string>()] = &item;
  }
  return items;
}

std::vector<FieldChange> DiffFields(const json& from, const json& to) {
  std::vector<FieldChange> fields;
  for (const auto& [key, value] : from.items()) {
    const auto after = to.find(key);
    if (after == to.end()) {
      fields.push_back({key, value.dump(), ""});
    } else if (*after != value) {
      fields.push_back({key, value.dump(), after->dump()});
    }
  }
  for (const auto& [key, value] : to.items()) {
    if (!from.contains(key)) {
      fields.push_back({key, "", value.dump()});
    }
  }
  return fields;
}

void DiffList(ManifestSection section,
              const json& from,
              const json& to,
              std::vector<ManifestChange>& changes) {
  const auto before = ById(from);
  const auto after = ById(to);
  for (const auto& [id, item] : before) {
    const auto found = after.find(id);
    if (found == after.end()) {
      changes.push_back({section, id, ItemChange::kRemoved, {}});
    } else if (*found->second != *item) {
      changes.push_back({section, id, ItemChange::kChanged, DiffFields(*item, *found->second)});
    }
  }
  for (const auto& [id, item] : after) {
    if (before.count(id) == 0) {
      changes.push_back({section, id, ItemChange::kAdded, {}});
    }
  }
}

std::string OrAbsent(const std::string& value) {
  return value.empty() ? "absent" : value;
}

}  // namespace

// Compares the JSON forms, so that a field added to the manifest is compared without a change here.
std::vector<ManifestChange> DiffManifests(const Manifest& from, const Manifest& to) {
  json before = ManifestToJson(from);
  json after = ManifestToJson(to);
  std::vector<ManifestChange> changes;
  for (const SectionList& list : kSectionLists) {
    DiffList(list.section, before.at(list.key), after.at(list.key), changes);
    before.erase(list.key);
    after.erase(list.key);
  }
  std::vector<FieldChange> top = DiffFields(before, after);
  if (!top.empty()) {
    changes.insert(changes.begin(),
                   {ManifestSection::kSite, "", ItemChange::kChanged, std::move(top)});
  }
  return changes;
}

std::string DiffToText(const std::vector<ManifestChange>& changes) {
  if (changes.empty()) {
    return "no difference\n";
  }
  std::string text;
  for (const ManifestChange& change : changes) {
    text += std::string(NameOf(kItemChangeNames, change.change)) + " " +
            std::string(NameOf(kManifestSectionNames, change.section)) +
            (change.id.empty() ? "" : " " + change.id) + "\n";
    for (const FieldChange& field : change.fields) {
      text += "  " + field.field + ": " + OrAbsent(field.from) + " -> " + OrAbsent(field.to) + "\n";
    }
  }
  return text;
}

json DiffToJson(const std::vector<ManifestChange>& changes) {
  json list = json::array();
  for (const ManifestChange& change : changes) {
    json object = {{"section", NameOf(kManifestSectionNames, change.section)},
                   {"change", NameOf(kItemChangeNames, change.change)}};
    if (!change.id.empty()) {
      object["id"] = change.id;
    }
    for (const FieldChange& field : change.fields) {
      json& entry = object["fields"][field.field];
      entry["from"] = field.from.empty() ? json() : json::parse(field.from);
      entry["to"] = field.to.empty() ? json() : json::parse(field.to);
    }
    list.push_back(std::move(object));
  }
  return list;
}

std::string DiffSummary(const std::vector<ManifestChange>& changes) {
  std::map<std::pair<ManifestSection, ItemChange>, int> counts;
  for (const ManifestChange& change : changes) {
    ++counts[{change.section, change.change}];
  }
  std::string text;
  for (const auto& [group, count] : counts) {
    std::string noun(NameOf(kManifestSectionNames, group.first));
    if (noun == "data_centre") {
      noun = "data centre";
    }
    text += (text.empty() ? "" : ", ");
    if (group.first == ManifestSection::kSite) {
      text += "site values changed";
    } else {
      text += std::to_string(count) + " " + noun + (count == 1 ? " " : "s ") +
              std::string(NameOf(kItemChangeNames, group.second));
    }
  }
  return text.empty() ? "no difference" : text;
}

}  // namespace chiverail
