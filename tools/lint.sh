#!/usr/bin/env bash
# Checks the format of all sources and runs clang-tidy on those that changed
# since the last clean run in this build folder.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  '*.h' '*.cpp')
clang-format --dry-run --Werror "${files[@]}"

stamps=build/lint
mkdir -p "$stamps"
headers=$(cat .clang-tidy $(git ls-files --cached --others \
  --exclude-standard '*.h') | sha256sum)
check() {
  local source=$1 stamps=$2 headers=$3 stamp
  stamp=$stamps/$(echo "$headers" | cat - "$source" | sha256sum | cut -c1-32)
  [ -e "$stamp" ] && return 0
  clang-tidy --quiet -p build "$source" 2>/dev/null && touch "$stamp"
}
export -f check
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
  xargs -P "$(nproc)" -I{} bash -c 'check "$@"' _ {} "$stamps" "$headers"
echo "format and lint clean: ${#files[@]} files"
