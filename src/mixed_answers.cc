#include "mixed_answers.h"

#include <algorithm>
#include <utility>

namespace chiverail {

void MixedAnswers::Begin(std::string request_id) {
  const std::string earlier = std::exchange(request_id_, std::move(request_id));
  if (earlier.size() >= kMinIdBytes && earlier != request_id_) {
    earlier_ids_.push_back(earlier);
    if (earlier_ids_.size() > kMaxIds) {
      earlier_ids_.erase(earlier_ids_.begin());
    }
  }
  End();
}

bool MixedAnswers::Contains(std::string_view text, std::size_t begin_before) const {
  constexpr std::string_view kHeadStart = "HTTP/1.";
  return std::any_of(earlier_ids_.begin(), earlier_ids_.end(), [&](const std::string& id) {
    const std::size_t at = text.find(id);
    const std::size_t head = at == std::string_view::npos ? at : text.rfind(kHeadStart, at);
    return head < begin_before;
  });
}

bool MixedAnswers::Add(std::string_view bytes) {
  if (earlier_ids_.empty()) {
    return false;
  }
  tail_.append(bytes);
  const bool contains = Contains(tail_, tail_.size());
  if (tail_.size() > kMaxHeadBytes) {
    tail_.erase(0, tail_.size() - kMaxHeadBytes);
  }
  return contains;
}

bool MixedAnswers::EndsWith(std::string_view bytes_after) const {
  return !tail_.empty() && Contains(tail_ + std::string(bytes_after), tail_.size());
}

}  // namespace chiverail
