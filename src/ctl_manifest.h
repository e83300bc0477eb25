#ifndef CHIVERAIL_CTL_MANIFEST_H_
#define CHIVERAIL_CTL_MANIFEST_H_

#include <string>
#include <vector>

#include "ctl_command.h"

namespace chiverail {

// Sub-commands of `chiverailctl manifest`; the table in ctl_command.cc describes them.
void CheckManifest(const CtlContext& context, const std::vector<std::string>& arguments);
void DiffManifest(const CtlContext& context, const std::vector<std::string>& arguments);
void ApplyManifest(const CtlContext& context, const std::vector<std::string>& arguments);
void ShowHistory(const CtlContext& context, const std::vector<std::string>& arguments);
void RollForward(const CtlContext& context, const std::vector<std::string>& arguments);

}  // namespace chiverail

#endif  // CHIVERAIL_CTL_MANIFEST_H_
