#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: the project's own fakes and the helpers that the cases
# share, which are Python modules. Run it from anywhere, after the build of the deploy file; it needs
# no network. What it makes lies under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX="$PWD/target/review-2-bytecode"
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/common-2"
python3 -S -m compileall -q review/common-2 roadbend/fakes roadbend/checkers
python3 -S -c 'import stand_ins; print("stand-ins ready:", stand_ins.__name__)'
