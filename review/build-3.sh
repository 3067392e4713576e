#!/bin/sh
# Builds the stand-ins that the cases 11 to 15 start: one program in a module of its own, without dependencies. The
# router is built by the build line of deploy/system.toml before.
set -eu
cd "$(dirname "$0")"
(cd rig3/platform && go build -o ../../../target/review-3/rig3 .)
