"""Runs the fakes on loopback: `python3 -m roadbend.fakes DIR`."""

import argparse
import contextlib
import sys
from pathlib import Path

import trio

from roadbend.fakes.loopback import HOST, Addresses, Limits, Loopback, write_settings

ADDRESSES = Addresses(
    [f"{HOST}:{18080 + n}" for n in range(3)],
    [f"{HOST}:{18090 + n}" for n in range(3)],
    f"{HOST}:18379",
    f"{HOST}:18443",
    f"{HOST}:18400",
)


async def serve(paths: list[Path]) -> None:
    """Serve until cancelled, and print each broken rule."""
    async with trio.open_nursery() as nursery:
        fakes = Loopback(nursery, ADDRESSES, Limits())
        await fakes.start()
        print("The fakes run. Start the controllers, each in a shell of its own:")
        for path in paths:
            print(f"    LOG_LEVEL=info python3 run.py --config {path}")
        sys.stdout.flush()
        while True:
            await trio.sleep(1)
            for broken in fakes.rules.broken:
                print(f"RULE BROKEN: {broken}", flush=True)
            fakes.rules.broken.clear()


def main() -> int:
    """Write the settings files and serve the fakes."""
    parser = argparse.ArgumentParser(prog="roadbend.fakes", description=__doc__)
    parser.add_argument("directory", type=Path, help="where the settings files are written")
    arguments = parser.parse_args()
    paths = write_settings(arguments.directory, ADDRESSES, Limits())
    with contextlib.suppress(KeyboardInterrupt):
        trio.run(serve, paths)
    return 0


if __name__ == "__main__":
    sys.exit(main())
