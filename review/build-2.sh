#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start: two programs in modules of their own, without dependencies.
set -eu
cd "$(dirname "$0")"
(cd rig/platform && go build -o ../../../target/review-2/rig .)
(cd ends/platform && go build -o ../../../target/review-2/ends .)
