#include "manifest_chunks.h"

#include <algorithm>
#include <set>
#include <utility>

#include <xxhash.h>
#include <nlohmann/json.hpp>

#include "hash.h"
#include "json_fields.h"

namespace chiverail {
namespace {

using nlohmann::json;

// Version of the index format. An index of any other version is rejected.
constexpr int kIndexFormat = 1;
constexpr std::size_t kChunkCount = 1 + kWorkspaceBuckets + kUpstreamBuckets;

[[noreturn]] void ThrowInvalid(const std::string& reason) {
  throw InvalidDocument({{"", reason}});
}

void SortById(json& list) {
  std::sort(list.begin(), list.end(), [](const json& left, const json& right) {
    return left.at("id").get_ref<const std::string&>() <
           right.at("id").get_ref<const std::string&>();
  });
}

// Distributes a list over buckets by the hash of the id. Each bucket is sorted by id.
std::vector<json> ToBuckets(json list, std::size_t bucket_count) {
  SortById(list);
  std::vector<json> buckets(bucket_count, json::array());
  for (json& item : list) {
    const std::uint64_t hash = HashText(item.at("id").get_ref<const std::string&>());
    buckets[hash % bucket_count].push_back(std::move(item));
  }
  return buckets;
}

// Names of the chunks in their fixed order: the remainder of the manifest, the workspace buckets,
// the upstream buckets.
std::vector<std::string> ChunkNames(std::string_view index_content) {
  const json index = ParseJsonText(index_content);
  if (!index.is_object() || index.value("format", json()) != kIndexFormat) {
    ThrowInvalid("unsupported index format; expected format " + std::to_string(kIndexFormat));
  }
  const json names = index.value("chunks", json());
  if (!names.is_array() || names.size() != kChunkCount) {
    ThrowInvalid("the index must name " + std::to_string(kChunkCount) + " chunks");
  }
  std::vector<std::string> result;
  for (const json& name : names) {
    if (!name.is_string() || !IsIdentifier(name.get_ref<const std::string&>())) {
      ThrowInvalid("the index has a chunk name that is not a valid object name");
    }
    result.push_back(name.get<std::string>());
  }
  return result;
}

json LoadChunk(const std::string& name, const ObjectLookup& lookup) {
  const std::optional<std::string> content = lookup(name);
  if (!content) {
    ThrowInvalid("chunk " + name + " is absent");
  }
  if (ObjectName(*content) != name) {
    ThrowInvalid("chunk " + name + " does not match its name");
  }
  return ParseJsonText(*content);
}

// Appends the items of a bucket's chunk to a list.
void AppendItems(json chunk, const std::string& name, json& list) {
  if (!chunk.is_array()) {
    ThrowInvalid("chunk " + name + " is not a list");
  }
  for (json& item : chunk) {
    if (!item.is_object() || !item.contains("id") || !item["id"].is_string()) {
      ThrowInvalid("chunk " + name + " has an item without an id");
    }
    list.push_back(std::move(item));
  }
}

}  // namespace

std::string ObjectName(std::string_view content) {
  constexpr char kDigits[] = "0123456789abcdef";
  const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
  std::string name;
  for (const std::uint64_t half : {hash.high64, hash.low64}) {
    for (int shift = 60; shift >= 0; shift -= 4) {
      name += kDigits[(half >> shift) & 0xF];
    }
  }
  return name;
}

ManifestObjects SplitManifest(const Manifest& manifest) {
  json remainder = ManifestToJson(manifest);
  std::vector<json> chunk_documents;
  for (json& bucket : ToBuckets(std::move(remainder["workspaces"]), kWorkspaceBuckets)) {
    chunk_documents.push_back(std::move(bucket));
  }
  for (json& bucket : ToBuckets(std::move(remainder["upstreams"]), kUpstreamBuckets)) {
    chunk_documents.push_back(std::move(bucket));
  }
  remainder.erase("workspaces");
  remainder.erase("upstreams");
  for (const char* key : {"models", "data_centres", "services"}) {
    SortById(remainder[key]);
  }
  chunk_documents.insert(chunk_documents.begin(), std::move(remainder));

  ManifestObjects objects;
  json names = json::array();
  std::set<std::string> seen;
  for (const json& chunk_document : chunk_documents) {
    std::string content = chunk_document.dump();
    std::string name = ObjectName(content);
    names.push_back(name);
    if (seen.insert(name).second) {
      objects.chunks.push_back({std::move(name), std::move(content)});
    }
  }
  objects.index.content = json{{"format", kIndexFormat}, {"chunks", std::move(names)}}.dump();
  objects.index.name = ObjectName(objects.index.content);
  return objects;
}

std::vector<std::string> MissingChunks(
    std::string_view index_content,
    const std::function<bool(const std::string& name)>& has_chunk) {
  std::vector<std::string> missing;
  std::set<std::string> seen;
  for (std::string& name : ChunkNames(index_content)) {
    if (!has_chunk(name) && seen.insert(name).second) {
      missing.push_back(std::move(name));
    }
  }
  return missing;
}

Manifest JoinManifest(std::string_view index_content, const ObjectLookup& lookup) {
  const std::vector<std::string> names = ChunkNames(index_content);
  json document = LoadChunk(names[0], lookup);
  if (!document.is_object()) {
    ThrowInvalid("chunk " + names[0] + " is not an object");
  }
  json workspaces = json::array();
  json upstreams = json::array();
  for (std::size_t i = 1; i < names.size(); ++i) {
    AppendItems(LoadChunk(names[i], lookup), names[i],
                i <= kWorkspaceBuckets ? workspaces : upstreams);
  }
  SortById(workspaces);
  SortById(upstreams);
  document["workspaces"] = std::move(workspaces);
  document["upstreams"] = std::move(upstreams);
  return ParseManifest(document);
}

}  // namespace chiverail
