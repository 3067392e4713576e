#!/bin/sh
# Builds the stand-ins of the cases: one program in a module of its own, without dependencies.
set -eu
cd "$(dirname "$0")/platform"
go build -o ../../target/review-rig .
