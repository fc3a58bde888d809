#!/bin/sh
# Builds the stand-ins and clients of the cases with a script.
set -e
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(dirname "$source")
    g++ -std=c++20 -O1 -Wall -Wextra -o "build/case-$number" "$source" -pthread
done
