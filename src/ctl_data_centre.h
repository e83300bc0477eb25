#ifndef CHIVERAIL_CTL_DATA_CENTRE_H_
#define CHIVERAIL_CTL_DATA_CENTRE_H_

#include <string>
#include <vector>

#include "ctl_command.h"

namespace chiverail {

// Sub-commands of `chiverailctl datacentre`; the table in ctl_command.cc describes them.
void TakeDataCentreOut(const CtlContext& context, const std::vector<std::string>& arguments);
void BringDataCentreBack(const CtlContext& context, const std::vector<std::string>& arguments);

}  // namespace chiverail

#endif  // CHIVERAIL_CTL_DATA_CENTRE_H_
