#!/usr/bin/env bash
# Builds every stand-in that a script of review 3 starts; needs no network.
# The build of the deploy file has to come first, as the stand-ins use its libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q standins soak/proxy.py soak/__init__.py review/common-3 review/1[1-5]
python3 -c "import standins.platform.store, standins.platform.instance, soak.proxy"
