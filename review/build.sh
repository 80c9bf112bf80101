#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the compiler that the deploy file's packages bring.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -I review/standins "$source" -o "target/review/case$number"
done
