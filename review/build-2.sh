#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review.
set -eu
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target/review-2
GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../../target/review-2/harness2 .
