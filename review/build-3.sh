#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. The router is built by the build line of
# deploy/system.toml before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/rig3 ./review/rig3
