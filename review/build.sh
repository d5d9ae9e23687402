#!/bin/sh
# Builds the stand-ins of the scripts, after the build of the deploy file. They use the standard library only.
set -e
cd "$(dirname "$0")/lab"
GOFLAGS="$GOFLAGS -mod=mod" GOWORK=off go build -buildvcs=false -o ../../target/review-lab .
