#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs no network: the program uses Go's
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/standin && GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-standin .)
