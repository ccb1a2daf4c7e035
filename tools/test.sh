#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
tools/build.sh plain
tools/run-tests.sh build
