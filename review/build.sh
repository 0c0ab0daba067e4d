#!/bin/sh
# Builds the stand-ins and the checks of all cases into review/bin. It needs the Go tool chain and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in 1 2 3; do
	if [ -f "review/$case/main.go" ]; then
		go build -o "review/bin/case$case" "./review/$case"
	fi
done
