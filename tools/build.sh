#!/usr/bin/env bash
# Builds one variant: build.sh [plain|address|thread] (default plain).
set -euo pipefail
cd "$(dirname "$0")/.."

variant=${1:-plain}
case "$variant" in
  plain) folder=build sanitize= ;;
  address) folder=build-address sanitize=address,undefined ;;
  thread) folder=build-thread sanitize=thread ;;
  *) echo "build.sh: unknown variant '$variant'" >&2; exit 2 ;;
esac
cmake -S . -B "$folder" -G Ninja -DHEMLOCKHAVEN_SANITIZE="$sanitize" >/dev/null
if [ -n "$sanitize" ]; then
  cmake --build "$folder" --target hemlockhaven_checks
else
  cmake --build "$folder"
fi
