#ifndef CHIVERAIL_LEAVING_MARKS_H_
#define CHIVERAIL_LEAVING_MARKS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "types.h"

namespace chiverail {

// One entry of the platform's list.
struct ListedItem {
  std::string id;
  bool leaving = false;
};

// The platform's list of instances and upstreams. It lags behind the actual state, and an older
// listing may arrive after a newer one.
struct Listing {
  std::uint64_t sequence = 0;
  std::vector<ListedItem> instances;
  std::vector<ListedItem> upstreams;
};

// Instances and upstreams that the platform's list marks as about to leave; early hints. For each
// item the newest listing that contains it decides, in whatever order listings arrive, so an older
// listing never clears a mark, and an item missing from a listing keeps its mark.
class LeavingMarks {
 public:
  // Returns whether a mark changed.
  bool OnListing(const Listing& listing);

  const std::set<InstanceId>& instances() const { return instances_.leaving; }
  const std::set<UpstreamId>& upstreams() const { return upstreams_.leaving; }

  // Drops all upstreams that the manifest does not declare, to bound the memory.
  void KeepUpstreams(const std::set<UpstreamId>& declared);

 private:
  struct Marks {
    std::set<std::string> leaving;
    std::map<std::string, std::uint64_t> sequence;  // of the newest listing that contains the item
  };

  static bool Update(Marks& marks, const std::vector<ListedItem>& items, std::uint64_t sequence);

  Marks instances_;
  Marks upstreams_;
};

}  // namespace chiverail

#endif  // CHIVERAIL_LEAVING_MARKS_H_
