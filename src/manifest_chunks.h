#ifndef CHIVERAIL_MANIFEST_CHUNKS_H_
#define CHIVERAIL_MANIFEST_CHUNKS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "manifest.h"

namespace chiverail {

// Number of buckets for the lists that grow with the fleet. The hash of its id selects the bucket
// of an upstream or workspace, so that a change of one item changes one chunk.
inline constexpr std::size_t kWorkspaceBuckets = 64;
inline constexpr std::size_t kUpstreamBuckets = 16;

// An immutable object of the object store. Its name is the hash of its content.
struct ManifestObject {
  std::string name;
  std::string content;  // JSON text
};

// A manifest split into objects: an index that names the chunks, and the chunks.
struct ManifestObjects {
  ManifestObject index;
  std::vector<ManifestObject> chunks;  // each chunk once
};

// Name of an object with this content: 32 hexadecimal digits of a 128-bit hash. Detects damaged or
// swapped objects, but not objects forged by the store, because the hash is not cryptographic.
std::string ObjectName(std::string_view content);

// Splits a manifest into objects. They depend on its meaning only, not on the order of the items in
// its lists.
ManifestObjects SplitManifest(const Manifest& manifest);

// Returns the content of an object by name, or nothing if the object is not available.
using ObjectLookup = std::function<std::optional<std::string>(const std::string& name)>;

// Names of the chunks of an index for which `has_chunk` is false, each once. Throws InvalidDocument
// when the index is malformed.
std::vector<std::string> MissingChunks(
    std::string_view index_content,
    const std::function<bool(const std::string& name)>& has_chunk);

// Joins the chunks that an index names into a manifest whose lists are sorted by id. Throws
// InvalidDocument when a chunk is absent or does not match its name, or when the result is not a
// valid manifest.
Manifest JoinManifest(std::string_view index_content, const ObjectLookup& lookup);

}  // namespace chiverail

#endif  // CHIVERAIL_MANIFEST_CHUNKS_H_
