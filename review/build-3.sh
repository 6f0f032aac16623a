#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand-3"
mkdir -p ../../target/review-3
go build -o ../../target/review-3/stand-3 .
