#!/bin/sh
# Builds the stand-ins of review/6 to review/10 into target/. The cases also need the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/stage2 ./review/stage2
