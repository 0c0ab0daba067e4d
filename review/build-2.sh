#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && exec go build -o bin/review-2 ./review/kit2
