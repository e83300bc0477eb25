#ifndef CHIVERAIL_MANIFEST_FETCH_H_
#define CHIVERAIL_MANIFEST_FETCH_H_

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "manifest.h"
#include "object_cache.h"
#include "runtime.h"

namespace chiverail {

// Fetches the manifest whose index object is `hash` from the object store or, if that fails, from
// the instances at `peer_addresses` ("ip:port"). Chunks in the object cache are not fetched again.
// Returns null when an object cannot be fetched from any source or the manifest is invalid.
std::shared_ptr<const Manifest> FetchManifestObjects(Runtime& runtime,
                                                     const std::string& hash,
                                                     const std::vector<std::string>& peer_addresses,
                                                     boost::asio::yield_context yield);

}  // namespace chiverail

#endif  // CHIVERAIL_MANIFEST_FETCH_H_
