#!/bin/bash
# Builds the stand-ins and the programs of the scripts review/6 to review/10
# into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++17 -O2 -Wall -Wextra -pthread -Ireview/standins-2"
g++ $flags -c review/standins-2/Stage.cc -o "$out/Stage.o"
for number in 6 7 8 9 10; do
  if [ -f "review/$number/case.cc" ]; then
    g++ $flags "review/$number/case.cc" "$out/Stage.o" -o "$out/case-$number"
  fi
done
