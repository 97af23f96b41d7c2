#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/11 to review/15 start.
# Run after the build command of deploy/system.toml. The scripts there so far
# start the daemon alone, so nothing has to be built.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/turmericpitch-sessions
