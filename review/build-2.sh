#!/bin/sh
# Builds the stand-ins of cases 6 and on, after the build of the deploy file. They are
# Python programs that need only the libraries in target/deps, so this compiles them and
# checks that their imports are there. It needs no network.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/common-2
PYTHONPATH="target/deps:.:review/common-2" python3 -c "
import standins.platform.store
import breaking_instance, echoing_instance, poisoned_key_instance, restarter, small_site
"
