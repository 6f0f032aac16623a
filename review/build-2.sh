#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the standard library only.
cd "$(dirname "$0")/stand-2" || exit 2
mkdir -p ../../target && GOFLAGS= GOPROXY=off go build -o ../../target/stand-2 .
