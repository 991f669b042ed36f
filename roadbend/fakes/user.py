"""A user's commands for trying roadbend out.

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

# Users wait this long for an answer.
ANSWER_WAIT = timedelta(seconds=5)
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


async def act(arguments: argparse.Namespace) -> int:
    """Carry out one command, print the answer and return the exit status."""
    client, net = Client(Net(), arguments.address), Net()
    path = f"/v1/jobs/{arguments.id}"
    try:
        if arguments.verb == "submit":
            length = None if arguments.service else arguments.seconds
            await Client(net, ADDRESSES.lengths).request(
                "POST", "/", {"id": arguments.id, "seconds": length}, within=ANSWER_WAIT
            )
            status, answer = await client.request(
                "POST", "/v1/jobs", submission(arguments), within=ANSWER_WAIT
            )
        elif arguments.verb == "query":
            status, answer = await client.request("GET", path, within=ANSWER_WAIT)
        else:
            status, answer = await client.request(
                "POST", f"{path}/withdraw", {}, within=ANSWER_WAIT
            )
    except NoAnswerError as error:
        print(f"no answer: {error}", file=sys.stderr)
        return 1
    print(status, answer)
    return 0 if status in ACCEPTED_STATUSES else 1


def parser() -> argparse.ArgumentParser:
    """Describe the command line."""
    out = argparse.ArgumentParser(prog="roadbend.fakes.user", description=__doc__)
    out.add_argument("address", help="a controller, host:port")
    out.add_argument("verb", choices=["submit", "query", "withdraw"])
    out.add_argument("id", help="run- and digits")
    out.add_argument("--tasks", type=int, default=1)
    out.add_argument("--seconds", type=float, default=10.0)
    out.add_argument("--service", action="store_true")
    out.add_argument("--team", default="red")
    return out


def main() -> int:
    """Run one command from the process's arguments."""
    return trio.run(act, parser().parse_args())


if __name__ == "__main__":
    sys.exit(main())
