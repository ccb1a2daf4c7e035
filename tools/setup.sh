#!/usr/bin/env bash
# Installs the packages that the build, the linters and the tests need.
set -euo pipefail

packages=(
  g++ cmake ninja-build ccache pkg-config
  clang clang-format clang-tidy libclang-rt-14-dev
  libcxxtools-dev libmsgpack-cxx-dev libboost-dev libcli11-dev
  libgoogle-glog-dev libcpputest-dev nlohmann-json3-dev libxxhash-dev
  librapidcheck-dev libmsgsl-dev curl
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive \
  "${as_root[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
