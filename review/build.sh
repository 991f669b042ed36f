#!/bin/sh
# Builds the stand-ins that the cases start: the project's own fakes and the helpers beside the
# cases. They are Python; compiling them shows that all of them can be imported by the build's
# libraries. Everything that is made lies under target/.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:.:review/common" PYTHONPYCACHEPREFIX="target/review-bytecode" \
    python3 -S -c "import deployment, trio; import roadbend.fakes.loopback"
