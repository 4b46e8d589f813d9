#!/usr/bin/env bash
# Installs the linter into .tools, and spin with gcc by apt, if they are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
LINT_VERSION=v2.15.0
if ! .tools/golangci-lint version 2>/dev/null | grep -q "${LINT_VERSION#v}"; then
  GOWORK=off GOBIN="$PWD/.tools" go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$LINT_VERSION"
fi
if ! command -v spin >/dev/null; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq spin gcc libc6-dev >/dev/null
fi
