#!/bin/sh
# Builds the stand-ins that the scripts start. Run it in the root of the repository, after the
# build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/cases
