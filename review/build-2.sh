#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2/. The
# daemon itself comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread -o target/review-2/cases \
    review/standins-2/lab.cpp review/standins-2/cases.cpp
