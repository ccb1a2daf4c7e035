#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review. The daemon itself is
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
flags=(-std=c++17 -O1 -pthread -Wall -Wextra -Ireview/standins)
g++ "${flags[@]}" -c review/standins/World.cc -o target/review/World.o
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  name=case-$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review/World.o -o "target/review/$name"
done
