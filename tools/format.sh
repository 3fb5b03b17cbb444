#!/usr/bin/env bash
# Formats all sources. With --check, only reports unformatted sources.
set -eu
cd "$(dirname "$0")/.."
mode=-i
[ "${1:-}" = --check ] && mode="--dry-run --Werror"
# shellcheck disable=SC2086
git ls-files -co --exclude-standard '*.hpp' '*.cpp' | xargs -P 6 -n 20 clang-format $mode
echo "format: done"
