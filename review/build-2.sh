#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts in build/review-2. Needs a
# C++ compiler and nlohmann-json, which the deploy file names.
set -eu
cd "$(dirname "$0")/.."

out=build/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/harness-2)
mkdir -p "$out"
"${CXX:-g++}" "${flags[@]}" review/harness-2/ports.cpp -o "$out/ports"
"${CXX:-g++}" "${flags[@]}" -c review/harness-2/standins.cpp \
    -o "$out/standins.o"
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" "${flags[@]}" "$source" "$out/standins.o" \
        -o "$out/case-$number"
done
