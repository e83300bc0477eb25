#!/usr/bin/env bash
# Installs the Debian packages required by the build. Does nothing if all are installed.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy git python3 curl
  libcaf-dev libnng-dev libboost1.81-dev libboost-context1.81-dev libabsl-dev libspdlog-dev
  catch2 nlohmann-json3-dev librapidcheck-dev libxxhash-dev libssl-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  as_root=()
  [ "$(id -u)" -eq 0 ] || as_root=(sudo)
  "${as_root[@]}" apt-get update -qq
  DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq "${missing[@]}"
fi
