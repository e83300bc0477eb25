#ifndef CHIVERAIL_CTL_PUBLISH_H_
#define CHIVERAIL_CTL_PUBLISH_H_

#include <set>
#include <string>

#include "config_publisher.h"
#include "ctl_command.h"
#include "manifest_chunks.h"

namespace chiverail {

// A change of the configuration to publish.
struct PublishRequest {
  ConfigChange change;
  std::string summary;             // for the audit entry
  ManifestObjects objects;         // written before the change; empty when they exist already
  std::set<std::string> existing;  // names of objects that are stored already
};

// Publishes a change, waits with --wait until it is in force at every live instance, and prints the
// outcome. Throws CtlError when the change was not accepted, its outcome is unknown, or it is not
// in force before the timeout.
void Publish(const CtlContext& context, const PublishRequest& request);

}  // namespace chiverail

#endif  // CHIVERAIL_CTL_PUBLISH_H_
