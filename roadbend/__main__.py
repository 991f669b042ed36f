"""`python3 -m roadbend`, which does the same as run.py."""

import sys

from roadbend.cli import main

sys.exit(main())
