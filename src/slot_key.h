#ifndef CHIVERAIL_SLOT_KEY_H_
#define CHIVERAIL_SLOT_KEY_H_

#include <cstdint>
#include <functional>

#include "types.h"

namespace chiverail {

// Identifies a slot: one attempt of one request.
struct SlotKey {
  RequestId request;
  std::uint32_t attempt = 0;

  bool operator==(const SlotKey& other) const {
    return attempt == other.attempt && request == other.request;
  }
};

struct SlotKeyHash {
  std::size_t operator()(const SlotKey& key) const {
    return std::hash<RequestId>{}(key.request) * 31 + key.attempt;
  }
};

}  // namespace chiverail

#endif  // CHIVERAIL_SLOT_KEY_H_
