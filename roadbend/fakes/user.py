"""Command line of a user, to try roadbend out.

Run as `python3 -m roadbend.fakes.user ADDRESS submit ID`.
"""

import argparse
import sys
from datetime import timedelta
from typing import Any

import trio

from roadbend.fakes.__main__ import ADDRESSES
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.net import Net

ANSWER_TIMEOUT = timedelta(seconds=5)
ACCEPTED_STATUSES = (200, 201)


def submission(arguments: argparse.Namespace) -> dict[str, Any]:
    """Build the body of a submission from the command line."""
    return {
        "id": arguments.id,
        "lane": "try",
        "crew": arguments.team,
        "shape": "daemon" if arguments.service else "batch",
        "rank": "normal",
        "legs": arguments.tasks,
        "vcpus": 8.0,
        "gpus": 1.0,
        "memoryGb": 40.0,
        "bundle": "img-1",
        "imageGb": 1.0,
        "together": False,
        "apart": False,
        "loaners": True,
        "expectedS": 0.0 if arguments.service else arguments.seconds,
        "milestoneS": 0.0,
        "stowS": 0.0,
        "dueS": None,
    }


async def run_command(arguments: argparse.Namespace) -> int:
    """Run one command, print the answer and return the exit status."""
    client, net = Client(Net(), arguments.address), Net()
    path = f"/v1/jobs/{arguments.id}"
    try:
        if arguments.verb == "submit":
            task_seconds = None if arguments.service else arguments.seconds
            await Client(net, ADDRESSES.lengths).request(
                "POST", "/", {"id": arguments.id, "seconds": task_seconds}, within=ANSWER_TIMEOUT
            )
            status, answer = await client.request(
                "POST", "/v1/jobs", submission(arguments), within=ANSWER_TIMEOUT
            )
        elif arguments.verb == "query":
            status, answer = await client.request("GET", path, within=ANSWER_TIMEOUT)
        else:
            status, answer = await client.request(
                "POST", f"{path}/withdraw", {}, within=ANSWER_TIMEOUT
            )
    except NoAnswerError as error:
        print(f"no answer: {error}", file=sys.stderr)
        return 1
    print(status, answer)
    return 0 if status in ACCEPTED_STATUSES else 1


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    argument_parser = argparse.ArgumentParser(prog="roadbend.fakes.user", description=__doc__)
    argument_parser.add_argument("address", help="a controller, host:port")
    argument_parser.add_argument("verb", choices=["submit", "query", "withdraw"])
    argument_parser.add_argument("id", help="run- and digits")
    argument_parser.add_argument("--tasks", type=int, default=1)
    argument_parser.add_argument("--seconds", type=float, default=10.0)
    argument_parser.add_argument("--service", action="store_true")
    argument_parser.add_argument("--team", default="red")
    return argument_parser


def main() -> int:
    """Run the command of the process's arguments."""
    return trio.run(run_command, parser().parse_args())


if __name__ == "__main__":
    sys.exit(main())
