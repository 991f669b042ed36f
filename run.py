"""Starts a controller by calling roadbend.cli.

Run it as `python3 -S run.py`: only the standard library, `target/deps` and this folder are used, so
the interpreter need not search for site packages.
"""

import gc
import sys

ROOT = __file__.rpartition("/")[0] or "."
# A controller may write only to /tmp, so it can't cache compiled modules itself: the build puts
# them here (`--compile`), and a start reads them. Modules with a newer source are compiled again.
sys.pycache_prefix = f"{ROOT}/target/bytecode"
sys.path[:0] = [f"{ROOT}/target/deps", ROOT]
# Imported objects are never freed: garbage collection during imports would only cost time.
# `roadbend.cli` enables it again.
gc.disable()

from roadbend.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
