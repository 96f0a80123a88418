#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library only, so this
# checks that they compile and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q harness_2 6 7 8 9 10
test -d ../target/deps
