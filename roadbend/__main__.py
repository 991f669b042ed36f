import sys

from roadbend.cli import main

sys.exit(main())
