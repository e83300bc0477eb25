#ifndef CHIVERAIL_OUT_OF_SERVICE_H_
#define CHIVERAIL_OUT_OF_SERVICE_H_

#include <cstdint>
#include <set>
#include <vector>

#include "types.h"

namespace chiverail {

// Which data centres operators have taken out of service, from the rows of a table that may come
// back from an older copy. One that was out before a restore stays out until the operators have had
// time to write again what the copy lacks. Does no I/O.
class OutOfService {
 public:
  // Row of a data centre: it is out as long as the row is there.
  struct Row {
    DataCentreId data_centre;
    bool removed = false;
  };

  // Applies a listing, if `full`, or changes, both of the given era of the table. Call it with no
  // changes as well, so that time counts.
  const std::set<DataCentreId>& Apply(const std::vector<Row>& rows,
                                      bool full,
                                      std::uint64_t era,
                                      TimePoint now);

  const std::set<DataCentreId>& data_centres() const { return in_force_; }

  // Time for which what was known before a restore holds.
  static constexpr Duration kKeepTime = seconds(5);

 private:
  std::set<DataCentreId> rows_;  // as the table has them
  std::set<DataCentreId> kept_;  // from before a restore
  std::set<DataCentreId> in_force_;
  TimePoint kept_until_{};
  std::uint64_t era_ = 0;
  bool known_ = false;  // rows were applied
};

}  // namespace chiverail

#endif  // CHIVERAIL_OUT_OF_SERVICE_H_
