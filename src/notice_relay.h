#ifndef CHIVERAIL_NOTICE_RELAY_H_
#define CHIVERAIL_NOTICE_RELAY_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fleet_messages.h"
#include "types.h"

namespace chiverail {

// The notices that a hub has received and passes on. Usually the hubs read the platform's store
// themselves and there is nothing to pass on; if the store leaves the hubs without answers, the
// notices come from instances that report to them.
class NoticeRelay {
 public:
  // Records a notice that the instance with this peer address sent. `reported` tells that it
  // reports to this hub, and did not come through another one.
  void OnNotice(const std::string& source, const TableNotice& notice, bool reported, TimePoint now);

  // Adds those notices of instances that report to this hub that another hub needs.
  void AddReported(std::vector<TableNotice>& notices, TimePoint now) const;

  // Adds what an instance that reports to this hub needs: the notices of the others that report to
  // it, and for tables that no notice is about, those from other hubs. Receivers with different
  // `rank` are told of different ones, so that they spread over them.
  void AddForReporter(std::vector<TableNotice>& notices, std::uint64_t rank, TimePoint now) const;

 private:
  // Older notices are not passed on; newer ones come several times a second.
  static constexpr Duration kMaxAge = milliseconds(700);

  // Instances whose notices one message passes on.
  static constexpr std::size_t kMaxSources = 4;

  struct Known {
    TableNotice notice;
    TimePoint at{};
    bool reported = false;
  };

  std::map<std::pair<std::string, std::string>, Known> known_;  // by table and source
};

}  // namespace chiverail

#endif  // CHIVERAIL_NOTICE_RELAY_H_
