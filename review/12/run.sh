#!/usr/bin/env bash
# Starts four hosts and moves a route; the host that reads the store for the others loses power. See claim.txt.
cd "$(dirname "$0")/../.."
exec target/review-stage3 configuration review/12
