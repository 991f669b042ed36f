"""A user's commands for trying roadbend out: `python3 -m roadbend.fakes.user ADDRESS submit
ID`."""

import argparse
import sys
from datetime import timedelta

import trio

from roadbend.fakes.__main__ import ADDRESSES
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.net import Net


def submission(arguments: argparse.Namespace) -> dict:
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
        "loaners": True,
        "expectedS": 0.0 if arguments.service else arguments.seconds,
        "milestoneS": 0.0,
        "stowS": 0.0,
        "dueS": None,
    }


async def act(arguments: argparse.Namespace) -> int:
    client, net = Client(Net(), arguments.address), Net()
    path, within = f"/v1/jobs/{arguments.id}", timedelta(seconds=5)
    try:
        if arguments.verb == "submit":
            length = None if arguments.service else arguments.seconds
            await Client(net, ADDRESSES.lengths).request(
                "POST", "/", {"id": arguments.id, "seconds": length}, within=within
            )
            status, answer = await client.request(
                "POST", "/v1/jobs", submission(arguments), within=within
            )
        elif arguments.verb == "query":
            status, answer = await client.request("GET", path, within=within)
        else:
            status, answer = await client.request("POST", f"{path}/withdraw", {}, within=within)
    except NoAnswerError as error:
        print(f"no answer: {error}", file=sys.stderr)
        return 1
    print(status, answer)
    return 0 if status in (200, 201) else 1


def main() -> int:
    parser = argparse.ArgumentParser(prog="roadbend.fakes.user", description=__doc__)
    parser.add_argument("address", help="a controller, host:port")
    parser.add_argument("verb", choices=["submit", "query", "withdraw"])
    parser.add_argument("id", help="run- and digits")
    parser.add_argument("--tasks", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--service", action="store_true")
    parser.add_argument("--team", default="red")
    return trio.run(act, parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
