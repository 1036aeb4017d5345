#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-drill ./review/drill
