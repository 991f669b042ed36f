"""Runs the stand-ins on loopback: `python3 -m roadbend.standins DIR`."""

import argparse
import sys
from pathlib import Path

import trio

from roadbend import clock
from roadbend.fakes.cloud import FakeCloud
from roadbend.fakes.rules import Rules
from roadbend.fakes.state import FakeStateService
from roadbend.fakes.worker import Board, FakeWorker
from roadbend.http.net import Net
from roadbend.http.server import Request, Response, Server, decode

ZONES = ("east", "north", "west")
MACHINE_TYPE = {
    "name": "g2",
    "vcpus": 24.0,
    "gpus": 2.0,
    "memoryGb": 144.0,
    "cacheGb": 100.0,
    "pullGbPerS": 1.0,
    "price": 6.0,
    "lowPrice": 2.0,
    "startupS": 3.0,
    "yards": list(ZONES),
}
HOST = "127.0.0.1"
STATE, CLOUD, LENGTHS = f"{HOST}:18379", f"{HOST}:18443", f"{HOST}:18400"


def settings(at: int) -> str:
    others = "".join(
        f'[[others]]\nhost_name = "node-{n}"\ndomain = "{ZONES[n]}"\n'
        f'address = "{HOST}:{18090 + n}"\n'
        for n in range(3)
        if n != at
    )
    return f"""host_name = "node-{at}"
domain = "{ZONES[at]}"
client_listen = "{HOST}:{18080 + at}"
back = "{HOST}:{18090 + at}"
{others}
[outside]
cloud = "{CLOUD}"
state = "{STATE}"
[deployment]
count = 3
zones = {list(ZONES)}
clock_off_ms = 25.0
[[deployment.teams]]
name = "red"
gpus = 4.0
gpus_max = 8.0
[deployment.workers]
report_s = 2.5
lease_s = 18.0
cancel_s = 38.0
[deployment.state]
rps = 250.0
write_rps = 60.0
value_kb = 32.0
txn_ops = 16
[deployment.cloud]
rps = 4.0
list_lag_s = 5.0
[deployment.machine_limits]
sockets = 1000
""".replace("'", '"')


def write_settings(directory: Path) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    for at in range(3):
        (directory / f"node-{at}.toml").write_text(settings(at))


async def serve(directory: Path) -> None:
    rules = Rules([MACHINE_TYPE], (), 0.0, trio.current_time)
    net, board, state = Net(), Board(rules), FakeStateService()
    nodes = {f"node-{n}": f"{HOST}:{18080 + n}" for n in range(3)}
    ports = iter(range(19000, 20000))

    async with trio.open_nursery() as nursery:

        def make(machine: str, machine_type: str, zone: str, spot: bool) -> FakeWorker:
            address = f"{HOST}:{next(ports)}"
            print(f"{clock.now():%H:%M:%S} machine {machine} is up in {zone}", flush=True)
            return FakeWorker(
                net,
                board,
                nodes,
                machine=machine,
                address=address,
                machine_type=machine_type,
                zone=zone,
                spot=spot,
            )

        async def upload(request: Request) -> Response:
            """Users upload what the workers need to know of a job: here, how long a task runs."""
            body = decode(request.body)
            board.lengths[body["id"]] = body["seconds"]
            return Response(200, {})

        cloud = FakeCloud(nursery, [MACHINE_TYPE], 8, make)
        await nursery.start(net.listen, STATE, Server(state.handle, most=256).serve)
        await nursery.start(net.listen, CLOUD, Server(cloud.handle, most=256).serve)
        await nursery.start(net.listen, LENGTHS, Server(upload, most=64).serve)
        print("The stand-ins run. Start the controllers, each in a shell of its own:")
        for at in range(3):
            print(f"    LOG_LEVEL=info python3 run.py --config {directory / f'node-{at}.toml'}")
        sys.stdout.flush()
        while True:
            await trio.sleep(1)
            for broken in rules.broken:
                print(f"RULE BROKEN: {broken}", flush=True)
            rules.broken.clear()


def main() -> int:
    parser = argparse.ArgumentParser(prog="roadbend.standins", description=__doc__)
    parser.add_argument("directory", type=Path, help="where the settings files are written")
    arguments = parser.parse_args()
    write_settings(arguments.directory)
    try:
        trio.run(serve, arguments.directory)
    except KeyboardInterrupt:
        pass
    return 0


if __name__ == "__main__":
    sys.exit(main())
