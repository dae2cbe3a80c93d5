#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they start, under target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for n in 1 2 3; do
  if [ -e "review/$n/main.go" ]; then
    go build -o "target/review/case$n" "./review/$n"
  fi
done
