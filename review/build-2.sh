#!/bin/sh
# Builds the programs of the second review's scripts into target/review-2. It needs no network once
# the modules of go.mod are there.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/review-2/ ./review/stage
