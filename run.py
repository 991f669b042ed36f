"""Starts a controller; everything is done by roadbend.cli."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

from roadbend.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
