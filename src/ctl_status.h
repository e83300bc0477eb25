#ifndef CHIVERAIL_CTL_STATUS_H_
#define CHIVERAIL_CTL_STATUS_H_

#include <string>
#include <vector>

#include "ctl_command.h"

namespace chiverail {

// Sub-commands that show the state of the fleet; the table in ctl_command.cc describes them.
void ShowStatus(const CtlContext& context, const std::vector<std::string>& arguments);
void ShowUpstreams(const CtlContext& context, const std::vector<std::string>& arguments);

}  // namespace chiverail

#endif  // CHIVERAIL_CTL_STATUS_H_
