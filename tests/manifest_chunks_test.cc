#include "manifest_chunks.h"

#include <algorithm>
#include <iostream>
#include <map>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace chiverail;

namespace {

// A manifest of the size that the software is designed for: 4 data centres in 2 regions, 4 models.
Manifest LargeManifest(int workspaces, int upstreams) {
  Manifest manifest;
  manifest.site = "large";
  for (int i = 0; i < 4; ++i) {
    manifest.models.push_back({"model-" + std::to_string(i), "2026-11-03", {"letters", "minutes"}});
    manifest.data_centres.push_back(
        {"dc-" + std::to_string(i), i < 2 ? "ch-mittelland" : "scot-central"});
  }
  for (int i = 0; i < workspaces; ++i) {
    // Realistic length of an id: an organisation's name and a number.
    manifest.workspaces.push_back(
        {"municipality-archive-services-workspace-" + std::to_string(i), 1.0 + i % 7});
  }
  for (int i = 0; i < upstreams; ++i) {
    Upstream upstream;
    upstream.id = "engine-" + std::to_string(i);
    upstream.data_centre = manifest.data_centres[i % 4].id;
    upstream.address =
        "10.1." + std::to_string(i / 200) + "." + std::to_string(i % 200 + 1) + ":8000";
    upstream.model = manifest.models[i % 4].id;
    upstream.version = "2026-11-03";
    upstream.adapters = {"letters", "minutes"};
    upstream.weight = 8;
    manifest.upstreams.push_back(upstream);
  }
  return manifest;
}

// Objects that an instance already has.
class Store {
 public:
  // Returns the total size of the index and of the chunks that were not stored yet.
  std::size_t Add(const ManifestObjects& objects) {
    std::size_t bytes = objects.index.content.size();
    for (const ManifestObject& chunk : objects.chunks) {
      if (contents_.emplace(chunk.name, chunk.content).second) {
        bytes += chunk.content.size();
      }
    }
    return bytes;
  }

  void Damage(const std::string& name) { contents_[name] += " "; }
  void Remove(const std::string& name) { contents_.erase(name); }

  ObjectLookup Lookup() const {
    return [this](const std::string& name) -> std::optional<std::string> {
      const auto found = contents_.find(name);
      return found == contents_.end() ? std::nullopt : std::make_optional(found->second);
    };
  }
  std::vector<std::string> Missing(const ManifestObjects& objects) const {
    return MissingChunks(objects.index.content,
                         [this](const std::string& name) { return contents_.count(name) > 0; });
  }

 private:
  std::map<std::string, std::string> contents_;
};

}  // namespace

TEST_CASE("A manifest is split into content-hashed chunks") {
  Manifest manifest = LargeManifest(300, 40);
  const ManifestObjects objects = SplitManifest(manifest);
  Store store;
  store.Add(objects);

  SECTION("the joined manifest equals the split one") {
    CHECK(store.Missing(objects).empty());
    const Manifest joined = JoinManifest(objects.index.content, store.Lookup());
    CHECK(SplitManifest(joined).index.name == objects.index.name);
    CHECK(joined.workspaces.size() == 300);
    CHECK(joined.upstreams.size() == 40);
  }

  SECTION("the order of items does not change the objects") {
    std::reverse(manifest.workspaces.begin(), manifest.workspaces.end());
    std::reverse(manifest.upstreams.begin(), manifest.upstreams.end());
    std::reverse(manifest.models.begin(), manifest.models.end());
    CHECK(SplitManifest(manifest).index.name == objects.index.name);
  }

  SECTION("a change of one item changes one chunk") {
    manifest.workspaces[7].share = 9;
    CHECK(store.Missing(SplitManifest(manifest)).size() == 1);
    manifest.upstreams.pop_back();
    CHECK(store.Missing(SplitManifest(manifest)).size() == 2);
    manifest.load_multiple = 1.5;
    CHECK(store.Missing(SplitManifest(manifest)).size() == 3);
  }

  SECTION("an absent or damaged chunk is refused, not read as an empty list") {
    store.Damage(objects.chunks[3].name);
    CHECK_THROWS_AS(JoinManifest(objects.index.content, store.Lookup()), InvalidDocument);
    store.Remove(objects.chunks[3].name);
    CHECK_THROWS_AS(JoinManifest(objects.index.content, store.Lookup()), InvalidDocument);
    CHECK(store.Missing(objects) == std::vector<std::string>{objects.chunks[3].name});
  }

  SECTION("an index of another format is refused") {
    CHECK_THROWS_AS(JoinManifest(R"({"format":2,"chunks":[]})", store.Lookup()), InvalidDocument);
    CHECK_THROWS_AS(JoinManifest(R"({"format":1,"chunks":["a"]})", store.Lookup()),
                    InvalidDocument);
    CHECK_THROWS_AS(JoinManifest("[]", store.Lookup()), InvalidDocument);
  }
}

// Guards the control traffic budget: sending the whole manifest for each of 580 changes a day would
// exceed it.
TEST_CASE("A change of a full-size manifest transfers only a few chunks", "[measurement]") {
  Manifest manifest = LargeManifest(12'000, 810);
  Store store;
  store.Add(SplitManifest(manifest));
  const std::size_t whole = ManifestToJson(manifest).dump().size();

  manifest.workspaces[11'000].share = 9;
  const std::size_t workspace_change = store.Add(SplitManifest(manifest));
  manifest.upstreams[400].cold_limit = 3;
  const std::size_t upstream_change = store.Add(SplitManifest(manifest));
  manifest.models[0].version = "2026-12-01";
  const std::size_t model_change = store.Add(SplitManifest(manifest));

  std::cout << "manifest bytes: whole " << whole << ", workspace change " << workspace_change
            << ", upstream change " << upstream_change << ", model change " << model_change << "\n";
  CHECK(whole > 800'000);
  CHECK(workspace_change < 20'000);
  CHECK(upstream_change < 20'000);
  CHECK(model_change < 5'000);
}
