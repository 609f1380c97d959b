#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into bin/review-2/. It needs no network: they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
mkdir -p ../../bin/review-2
for number in 6 7 8 9 10; do
  GOTOOLCHAIN=local GOWORK=off GOFLAGS=-mod=mod go build -o "../../bin/review-2/case$number" "./case$number"
done
