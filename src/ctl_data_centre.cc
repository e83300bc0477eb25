#include "ctl_data_centre.h"

#include "ctl_platform.h"
#include "ctl_publish.h"
#include "json_fields.h"

namespace chiverail {
namespace {

std::vector<std::string> DataCentreNames(const Manifest& manifest) {
  std::vector<std::string> names;
  for (const DataCentre& data_centre : manifest.data_centres) {
    names.push_back(data_centre.id);
  }
  return names;
}

void CheckDeclared(const std::vector<std::string>& names, const DataCentreId& name) {
  for (const std::string& declared : names) {
    if (declared == name) {
      return;
    }
  }
  const std::string nearest = NearestWord(name, names);
  throw CtlError(ExitCode::kFailed,
                 "the manifest in force has no data centre " + name +
                     (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?"));
}

// Rejects a misspelt name and taking out the last data centre in service.
void CheckMayTakeOut(const InForce& in_force, const DataCentreId& name) {
  const std::vector<std::string> names = DataCentreNames(in_force.manifest);
  CheckDeclared(names, name);
  for (const std::string& other : names) {
    if (other != name && in_force.head.data_centres_out.count(other) == 0) {
      return;
    }
  }
  throw CtlError(
      ExitCode::kFailed,
      "no other data centre would be in service; use --force to take out " + name + " anyway");
}

}  // namespace

// With --force the manifest is not read, so that a data centre can be taken out while the object
// store is down.
void TakeDataCentreOut(const CtlContext& context, const std::vector<std::string>& arguments) {
  if (!context.options.force) {
    CheckMayTakeOut(ReadInForce(context), arguments[0]);
  }
  Publish(context, {TakeOutDataCentre{arguments[0]}, arguments[0] + " out", {}, {}});
}

void BringDataCentreBack(const CtlContext& context, const std::vector<std::string>& arguments) {
  // A data centre that is out needs no check. Any other name must be declared, so that a misspelt
  // name is not reported as already in service.
  if (ReadHead(context).data_centres_out.count(arguments[0]) == 0) {
    CheckDeclared(DataCentreNames(ReadInForce(context).manifest), arguments[0]);
  }
  Publish(context, {RestoreDataCentre{arguments[0]}, arguments[0] + " back", {}, {}});
}

}  // namespace chiverail
