#!/usr/bin/env bash
# Builds the programs that the cases start, beside the project's own, which the build command of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/case.cc; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -pthread "$source" -o "build/case-$(dirname "$source")"
done
