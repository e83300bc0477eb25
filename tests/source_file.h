#ifndef CHIVERAIL_TESTS_SOURCE_FILE_H_
#define CHIVERAIL_TESTS_SOURCE_FILE_H_

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

namespace chiverail {

// Reads a file of the source tree; `name` is its path relative to the root. The root is the nearest
// directory at or above the working directory that contains the file, because tests run both from
// the root and from the build directory below it.
inline std::string ReadSourceFile(const std::string& name) {
  std::filesystem::path root = std::filesystem::current_path();
  while (!std::filesystem::exists(root / name)) {
    if (root == root.parent_path()) {
      throw std::runtime_error("cannot find " + name + " at or above the working directory");
    }
    root = root.parent_path();
  }
  std::ifstream file(root / name);
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

}  // namespace chiverail

#endif  // CHIVERAIL_TESTS_SOURCE_FILE_H_
