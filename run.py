"""Starts a controller; everything is done by roadbend.cli.

`python3 -S run.py`: nothing outside the standard library, `target/deps` and this folder is used, so
the interpreter need not look for site packages.
"""

import gc
import sys

ROOT = __file__.rpartition("/")[0] or "."
# A controller may write nothing beside /tmp, so it can't keep compiled modules itself: the build
# leaves them here (`--compile`), and a start reads them. A source that is newer is compiled anew.
sys.pycache_prefix = f"{ROOT}/target/bytecode"
sys.path[:0] = [f"{ROOT}/target/deps", ROOT]
# What is imported stays: looking for garbage in it is time lost. `roadbend.cli` turns it on again.
gc.disable()

from roadbend.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
