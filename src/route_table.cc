#include "route_table.h"

#include <algorithm>
#include <stdexcept>

namespace chiverail {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

// Returns the path of a request target, without the query.
std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

RouteTable::RouteTable(RoutingConfig config) : config_(std::move(config)) {
  for (std::size_t i = 0; i < config_.routes.size(); ++i) {
    const Route& route = config_.routes[i];
    routes_of_host_[LowerCase(route.host)].push_back(i);
    for (const RouteTarget& target : route.targets) {
      int& most_urgent = most_urgent_.try_emplace(target.service, route.priority).first->second;
      most_urgent = std::min(most_urgent, route.priority);
      Duration& timeout = longest_timeout_[target.service];
      timeout = std::max(timeout, route.timeout);
    }
  }
  for (auto& [host, positions] : routes_of_host_) {
    std::stable_sort(positions.begin(), positions.end(), [this](std::size_t a, std::size_t b) {
      return config_.routes[a].prefix.size() > config_.routes[b].prefix.size();
    });
  }
  for (std::size_t i = 0; i < config_.services.size(); ++i) {
    service_positions_.emplace(config_.services[i].name, i);
  }
}

const Route* RouteTable::Match(std::string_view host, std::string_view target) const {
  const auto found = routes_of_host_.find(LowerCase(host.substr(0, host.find(':'))));
  if (found == routes_of_host_.end()) {
    return nullptr;
  }
  const std::string_view path = PathOf(target);
  for (const std::size_t position : found->second) {
    if (StartsWith(path, config_.routes[position].prefix)) {
      return &config_.routes[position];
    }
  }
  return nullptr;
}

const WorkspaceId* RouteTable::WorkspaceOfKey(const std::string& key) const {
  const auto found = config_.workspace_of_key.find(key);
  return found == config_.workspace_of_key.end() ? nullptr : &found->second;
}

const ServiceConfig* RouteTable::Service(const std::string& name) const {
  const auto found = service_positions_.find(name);
  return found == service_positions_.end() ? nullptr : &config_.services[found->second];
}

Duration RouteTable::LongestTimeout(const std::string& service) const {
  const auto found = longest_timeout_.find(service);
  return found == longest_timeout_.end() ? Duration::zero() : found->second;
}

int RouteTable::HighestPriority(const std::string& service) const {
  const auto found = most_urgent_.find(service);
  return found == most_urgent_.end() ? 0 : found->second;
}

const RouteTarget& PickTarget(const Route& route, std::uint64_t random) {
  if (route.targets.empty()) {
    throw std::invalid_argument("route " + route.name + " has no target");
  }
  std::uint64_t total = 0;
  for (const RouteTarget& target : route.targets) {
    total += target.weight;
  }
  std::uint64_t offset = total == 0 ? 0 : random % total;
  for (const RouteTarget& target : route.targets) {
    if (offset < target.weight) {
      return target;
    }
    offset -= target.weight;
  }
  return route.targets.front();
}

}  // namespace chiverail
