#!/usr/bin/env bash
# Builds the programs that the scripts in review/11 to review/15 start beside
# the project's own, into target/review-3. Needs g++ and nlohmann-json3-dev,
# which the build of the deploy file needs too.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
sources=review/harness-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread)
for part in http minion deployment; do
    g++ "${flags[@]}" -c "$sources/$part.cpp" -o "$out/$part.o"
done
for program in many_occurrences late_start late_orders wide_gang; do
    g++ "${flags[@]}" "$sources/$program.cpp" \
        "$out/http.o" "$out/minion.o" "$out/deployment.o" -o "$out/$program"
done
