#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start besides target/oleanderfall. It needs no network.
set -eu
cd "$(dirname "$0")/stage3"
go build -o ../../target/review-stage3 .
