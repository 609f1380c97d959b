#!/usr/bin/env bash
# Builds every stand-in of the cases: one program with the clients, backends and discovery. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand"
mkdir -p ../bin
GOTOOLCHAIN=local GOWORK=off GOFLAGS=-mod=mod go build -o ../bin/stand .
