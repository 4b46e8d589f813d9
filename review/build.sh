#!/bin/sh
# Builds the stand-ins of the cases into review/bin. They use the standard library only.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off go build -buildvcs=false -o ../bin/standin .
