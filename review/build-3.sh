#!/usr/bin/env bash
# Builds the stand-ins and the programs of the scripts review/11 to review/15
# into target/review-3/. Needs the packages of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++17 -O2 -Wall -Wextra -pthread -Ireview/standins-3)
g++ "${flags[@]}" -c review/standins-3/Rig.cc -o "$out/Rig.o"
for number in 11 12 13 14 15; do
  if [ -f "review/$number/case.cc" ]; then
    g++ "${flags[@]}" "review/$number/case.cc" "$out/Rig.o" \
      -o "$out/case-$number"
  fi
done
