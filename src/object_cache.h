#ifndef CHIVERAIL_OBJECT_CACHE_H_
#define CHIVERAIL_OBJECT_CACHE_H_

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace chiverail {

// Cache of the objects of the manifests in use, by name. With it, a new revision fetches only the
// chunks that changed, and peers can fetch chunks from this instance. Thread-safe.
class ObjectCache {
 public:
  std::optional<std::string> Get(const std::string& name) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = objects_.find(name);
    return found == objects_.end() ? std::nullopt : std::optional(found->second);
  }
  void Put(const std::string& name, std::string content) {
    const std::lock_guard<std::mutex> lock(mutex_);
    objects_[name] = std::move(content);
  }

  // Removes all objects except these.
  void Retain(const std::set<std::string>& names) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto it = objects_.begin(); it != objects_.end();) {
      it = names.count(it->first) > 0 ? std::next(it) : objects_.erase(it);
    }
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::string> objects_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_OBJECT_CACHE_H_
