#!/usr/bin/env bash
# Builds what the scripts start: the daemon as the deploy file builds it, and the
# stand-ins, which are Python modules and are only compiled to show that they can be.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d target/deps/skylarktrail ]; then
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 2
fi
python3 -m compileall -q standins demo soak review
