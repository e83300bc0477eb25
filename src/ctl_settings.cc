#include "ctl_settings.h"

#include "json_fields.h"
#include "settings.h"

namespace chiverail {

void CheckSettings(const CtlContext& context, const std::vector<std::string>& arguments) {
  const Settings settings = ParseSettings(ParseJsonText(ReadFile(arguments[0])));
  context.Print(
      "valid: instance " + settings.instance_id + " in " + settings.data_centre + "\n",
      {{"valid", true}, {"instance", settings.instance_id}, {"data_centre", settings.data_centre}});
}

void PrintSettingsTable(const CtlContext& context, const std::vector<std::string>&) {
  context.Print(SettingsMarkdown(), {{"markdown", SettingsMarkdown()}});
}

}  // namespace chiverail
