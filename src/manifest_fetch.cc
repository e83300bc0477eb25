#include "manifest_fetch.h"

#include <set>

#include "log.h"
#include "manifest_chunks.h"

namespace chiverail {
namespace {

using boost::asio::yield_context;

std::optional<std::string> GetFromPeer(Runtime& runtime,
                                       const std::string& address,
                                       const std::string& name,
                                       yield_context yield) {
  constexpr int kOk = 200;
  try {
    auto response =
        runtime.platform_http.Send(address, {"GET", "/internal/objects/" + name, {}, ""}, yield);
    if (response.status == kOk) {
      return std::move(response.body);
    }
  } catch (const HttpError&) {
    // The caller tries the next source.
  }
  return std::nullopt;
}

// Fetches an object into the cache unless it is there already. Ignores content that does not match
// its name. Returns whether the cache has the object.
bool EnsureCached(Runtime& runtime,
                  const std::string& name,
                  const std::vector<std::string>& peers,
                  yield_context yield) {
  if (runtime.objects.Get(name)) {
    return true;
  }
  auto content = runtime.platform.GetObject(name, yield);
  for (std::size_t i = 0; i < peers.size() && !(content && ObjectName(*content) == name); ++i) {
    content = GetFromPeer(runtime, peers[i], name, yield);
  }
  if (!content || ObjectName(*content) != name) {
    return false;
  }
  runtime.objects.Put(name, std::move(*content));
  return true;
}

}  // namespace

std::shared_ptr<const Manifest> FetchManifestObjects(Runtime& runtime,
                                                     const std::string& hash,
                                                     const std::vector<std::string>& peer_addresses,
                                                     yield_context yield) {
  if (!EnsureCached(runtime, hash, peer_addresses, yield)) {
    return nullptr;
  }
  try {
    const std::string index = *runtime.objects.Get(hash);
    std::set<std::string> used = {hash};
    const auto chunks = MissingChunks(index, [](const std::string&) { return false; });
    for (const std::string& chunk : chunks) {
      used.insert(chunk);
      if (!EnsureCached(runtime, chunk, peer_addresses, yield)) {
        return nullptr;
      }
    }
    auto manifest = std::make_shared<const Manifest>(JoinManifest(
        index, [&runtime](const std::string& name) { return runtime.objects.Get(name); }));
    runtime.objects.Retain(used);
    return manifest;
  } catch (const std::exception& error) {
    ComponentLogger("fleet")->error("Manifest {} is invalid: {}.", hash, error.what());
    return nullptr;
  }
}

}  // namespace chiverail
