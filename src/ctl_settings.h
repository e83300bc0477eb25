#ifndef CHIVERAIL_CTL_SETTINGS_H_
#define CHIVERAIL_CTL_SETTINGS_H_

#include <string>
#include <vector>

#include "ctl_command.h"

namespace chiverail {

// Sub-commands of `chiverailctl settings`; the table in ctl_command.cc describes them.
void CheckSettings(const CtlContext& context, const std::vector<std::string>& arguments);
void PrintSettingsTable(const CtlContext& context, const std::vector<std::string>& arguments);

}  // namespace chiverail

#endif  // CHIVERAIL_CTL_SETTINGS_H_
