#!/usr/bin/env bash
# Runs clang-format in check mode and clang-tidy with the compilation database.
set -euo pipefail
build=${1:-build}
git ls-files '*.h' '*.cc' | xargs clang-format --dry-run --Werror
git ls-files '*.cc' | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings generated' >&2 || true)
echo "formatter and linter: clean"
