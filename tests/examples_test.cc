#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include "json_fields.h"
#include "manifest.h"
#include "settings.h"
#include "source_file.h"

using namespace chiverail;

namespace {

std::size_t CountKind(const Manifest& manifest, UpstreamKind kind) {
  return std::count_if(manifest.upstreams.begin(), manifest.upstreams.end(),
                       [kind](const Upstream& upstream) { return upstream.kind == kind; });
}

}  // namespace

// Guards against examples that the parsers reject after a key or a range has changed.
TEST_CASE("The example files are valid and have the sizes of the current sites") {
  struct Site {
    std::string name;
    std::size_t engines;
  };
  for (const Site& site : {Site{"emmental", 12}, Site{"caledonian", 18}}) {
    SECTION(site.name) {
      const std::string folder = "examples/" + site.name;
      const Manifest manifest =
          ParseManifest(ParseJsonText(ReadSourceFile(folder + "/manifest.json")));
      CHECK(manifest.site == site.name);
      CHECK(CountKind(manifest, UpstreamKind::kEngine) == site.engines);
      CHECK(CountKind(manifest, UpstreamKind::kPlain) == 3);
      CHECK(manifest.workspaces.size() == 10);
      CHECK(manifest.data_centres.size() == 3);

      const Settings settings =
          ParseSettings(ParseJsonText(ReadSourceFile(folder + "/settings.json")));
      CHECK(settings.data_centre == manifest.data_centres[0].id);
    }
  }
}
