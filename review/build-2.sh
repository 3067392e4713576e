#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start: one program in a module of its own, without dependencies.
set -eu
cd "$(dirname "$0")/rig/platform"
go build -o ../../../target/review-2/rig .
