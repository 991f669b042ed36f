"""The only module here that imports the package.

Everything goes in and out as plain values, with names that belong to these tests: seconds are
numbers, ranges are lists of pairs, and each refusal is a `RefusedError` with the package's text.
When the package's names change, only imports and attribute names in this module follow.
"""

import io
import logging
import os
import random
import sys
from collections.abc import Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, redirect_stderr, redirect_stdout
from dataclasses import fields as dataclass_fields
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import trio
import trio.testing

import roadbend
from roadbend import cli, clock, log
from roadbend.bidding import messages as bidding_messages
from roadbend.bidding.casa import Bid
from roadbend.bidding.messages import BidRequest
from roadbend.cloud.messages import read_machine_types
from roadbend.errors import RoadbendError
from roadbend.fakes.network import Network
from roadbend.fakes.submission import gang, job
from roadbend.fakes.world import world
from roadbend.fleet import messages as worker_messages
from roadbend.http.client import Client
from roadbend.intake import messages as user_messages
from roadbend.peers import frames
from roadbend.peers.heartbeat import PeerHeartbeat, PeerState
from roadbend.recovery import service as recovery_service
from roadbend.recovery import settings as recovery_settings
from roadbend.recovery.differences import Kind
from roadbend.recovery.phases import PhaseName
from roadbend.settings import OperatorSettings, SettingsError, read_operator, read_platform
from roadbend.store import keys, ranges, records
from roadbend.store.record_view import RecordView
from roadbend.store.records import (
    Attempt,
    Job,
    JobSpec,
    QuotaRecord,
    RecoveryProgress,
    Resources,
    SliceShard,
)
from roadbend.tracing import settings as tracing_settings

Fields = dict[str, Any]
# The time of day at which every test begins.
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class RefusedError(Exception):
    """The package refused an input; the text is the package's own."""


@contextmanager
def _refusals() -> Iterator[None]:
    """Turns the package's errors about bad input into `RefusedError`."""
    try:
        yield
    except RoadbendError as error:
        raise RefusedError(str(error)) from error


def _seconds(length: timedelta | None) -> float | None:
    return None if length is None else length.total_seconds()


def _length(seconds: float | None) -> timedelta | None:
    return None if seconds is None else timedelta(seconds=seconds)


def _pairs(value: tuple[tuple[int, int], ...]) -> list[list[int]]:
    return [list(pair) for pair in value]


def _ranges(pairs: list[list[int]]) -> tuple[tuple[int, int], ...]:
    return tuple((low, high) for low, high in pairs)


# A job as its user submitted it.


def _spec(fields: Fields) -> JobSpec:
    return JobSpec(
        team=fields["team"],
        job_class=fields["job_class"],
        service=fields["service"],
        priority=fields["priority"],
        task_count=fields["task_count"],
        resources=Resources(*fields["need"]),
        machine_types=None if fields["machine_types"] is None else tuple(fields["machine_types"]),
        zone=fields["zone"],
        together=fields["together"],
        apart=fields["apart"],
        spot=fields["spot"],
        image=fields["image"],
        image_gb=fields["image_gb"],
        expected_duration=timedelta(seconds=fields["expected_s"]),
        checkpoint=timedelta(seconds=fields["checkpoint_s"]),
        save=timedelta(seconds=fields["save_s"]),
        due=_length(fields["due_s"]),
        gang=fields["gang"],
    )


def _spec_fields(spec: JobSpec) -> Fields:
    return {
        "team": spec.team,
        "job_class": spec.job_class,
        "service": spec.service,
        "priority": spec.priority,
        "task_count": spec.task_count,
        "need": [spec.resources.cpus, spec.resources.gpus, spec.resources.memory],
        "machine_types": None if spec.machine_types is None else list(spec.machine_types),
        "zone": spec.zone,
        "together": spec.together,
        "apart": spec.apart,
        "spot": spec.spot,
        "image": spec.image,
        "image_gb": spec.image_gb,
        "expected_s": _seconds(spec.expected_duration),
        "checkpoint_s": _seconds(spec.checkpoint),
        "save_s": _seconds(spec.save),
        "due_s": _seconds(spec.due),
        "gang": spec.gang,
    }


# Frames between controllers.

FRAME_KINDS = {
    "hello": frames.FrameKind.HELLO,
    "heartbeat": frames.FrameKind.HEARTBEAT,
    "bid_request": frames.FrameKind.REQUEST,
    "assignment": frames.FrameKind.ASSIGN,
    "revocation": frames.FrameKind.REVOKE,
    "offer_again": frames.FrameKind.INFORM,
    "gang_bid_request": frames.FrameKind.GANG_REQUEST,
    "gang_offer_again": frames.FrameKind.GANG_INFORM,
}
REPLY_BIT = frames.REPLY_BIT
LONGEST_PAYLOAD = frames.MAX_PAYLOAD


def encode_frame(kind: int, number: int, payload: bytes) -> bytes:
    """A whole frame."""
    with _refusals():
        return frames.pack(kind, number, payload)


def split_frames(data: bytes) -> list[tuple[int, int, bytes]]:
    """Kind, call number and payload of every whole frame in the data."""
    with _refusals():
        return list(frames.FrameDecoder().feed(data))


def encode_heartbeat(fields: Fields) -> bytes:
    """A heartbeat's payload."""
    with _refusals():
        return PeerHeartbeat(
            fields["boot"],
            timedelta(seconds=fields["uptime_s"]),
            _length(fields["contact_age_s"]),
            tuple(fields["used_per_s"]),
            dict(fields["owned_terms"]),
            {part: tuple(machines) for part, machines in fields["machines_heard"].items()},
            timedelta(seconds=fields["cancellations_span_s"]),
            tuple(fields["cancelled_jobs"]),
        ).pack()


def decode_heartbeat(payload: bytes) -> Fields:
    """What a heartbeat's payload says."""
    with _refusals():
        heartbeat = PeerHeartbeat.unpack(payload)
    return {
        "boot": heartbeat.incarnation,
        "uptime_s": _seconds(heartbeat.uptime),
        "contact_age_s": _seconds(heartbeat.last_read_age),
        "used_per_s": list(heartbeat.request_rates),
        "owned_terms": heartbeat.led_partitions,
        "machines_heard": {
            part: list(names) for part, names in heartbeat.reporting_machines.items()
        },
        "cancellations_span_s": _seconds(heartbeat.cancellations_span),
        "cancelled_jobs": list(heartbeat.cancellations),
    }


def understands_gangs(boot: str) -> bool:
    """Whether a controller is sent frames about gangs, by the boot id in its heartbeats."""
    heartbeat = PeerHeartbeat(boot, timedelta(), None, (0.0, 0.0, 0.0))
    return PeerState(heartbeat).supports(frames.GANGS_EXTENSION)


def encode_bid_request(fields: Fields) -> bytes:
    """The payload of a request for bids, and of an offer of a job that waits elsewhere."""
    with _refusals():
        return BidRequest(
            job=fields["job"],
            requests=fields["requests"],
            tasks=fields["free_tasks"],
            spec=_spec(fields["spec"]),
            from_partition=fields["waits_at_part"],
            requester_response=_length(fields["response_time_s"]),
            requester_average=timedelta(seconds=fields["average_wait_s"]),
            waited=timedelta(seconds=fields["waited_s"]),
        ).pack()


def decode_bid_request(payload: bytes) -> Fields:
    """What such a payload says."""
    with _refusals():
        ask = BidRequest.unpack(payload)
    return {
        "job": ask.job,
        "requests": ask.requests,
        "free_tasks": ask.tasks,
        "spec": _spec_fields(ask.spec),
        "waits_at_part": ask.from_partition,
        "response_time_s": _seconds(ask.requester_response),
        "average_wait_s": _seconds(ask.requester_average),
        "waited_s": _seconds(ask.waited),
    }


def encode_bids(rows: list[Fields]) -> bytes:
    """The payload of the answer to a request for bids."""
    with _refusals():
        return bidding_messages.pack_bids(
            [
                Bid(
                    partition=row["part"],
                    controller=row["controller"],
                    job_time=timedelta(seconds=row["job_time_s"]),
                    queue_time=timedelta(seconds=row["queue_time_s"]),
                    shadow_time=timedelta(seconds=row["shadow_time_s"]),
                    startable_now=row["starts_now"],
                    capacity=row["room"],
                )
                for row in rows
            ]
        )


def decode_bids(payload: bytes) -> list[Fields]:
    """What such a payload says."""
    with _refusals():
        bids = bidding_messages.unpack_bids(payload)
    return [
        {
            "part": bid.partition,
            "controller": bid.controller,
            "job_time_s": _seconds(bid.job_time),
            "queue_time_s": _seconds(bid.queue_time),
            "shadow_time_s": _seconds(bid.shadow_time),
            "starts_now": bid.startable_now,
            "room": bid.capacity,
        }
        for bid in bids
    ]


def encode_assignment(fields: Fields) -> bytes:
    """The payload that tells a controller of a job that its part now holds."""
    with _refusals():
        return bidding_messages.Assignment(
            fields["job"], bytes.fromhex(fields["record_hex"]), fields["revision"]
        ).pack()


def decode_assignment(payload: bytes) -> Fields:
    """What such a payload says."""
    with _refusals():
        assignment = bidding_messages.Assignment.unpack(payload)
    return {
        "job": assignment.job,
        "record_hex": assignment.value.hex(),
        "revision": assignment.mod_revision,
    }


def encode_revocation(fields: Fields) -> bytes:
    """The payload that tells a controller that a job went elsewhere."""
    with _refusals():
        return bidding_messages.Revocation(fields["job"]).pack()


def decode_revocation(payload: bytes) -> Fields:
    """What such a payload says."""
    with _refusals():
        return {"job": bidding_messages.Revocation.unpack(payload).job}


ENCODERS: dict[str, Callable[[Any], bytes]] = {
    "heartbeat": encode_heartbeat,
    "bid_request": encode_bid_request,
    "bids": encode_bids,
    "assignment": encode_assignment,
    "revocation": encode_revocation,
}
DECODERS: dict[str, Callable[[bytes], Any]] = {
    "heartbeat": decode_heartbeat,
    "bid_request": decode_bid_request,
    "bids": decode_bids,
    "assignment": decode_assignment,
    "revocation": decode_revocation,
}


# Records.

KEYS: dict[str, Callable[..., str]] = {
    "job": keys.job_key,
    "slice": keys.slice_key,
    "gang": keys.gang_key,
    "team": keys.team_key,
    "term": keys.term_key,
    "owner": keys.leader_key,
    "controller": keys.controller_key,
    "recovery": keys.recovery_key,
    "unrecorded": keys.unrecorded_key,
    "end": keys.job_end_key,
}
# Words that are stored, and what users are told.
WORDS: dict[str, Any] = {
    "recovery_phases": sorted(str(phase) for phase in PhaseName),
    "differences": sorted(str(kind) for kind in Kind),
    "statuses": sorted(status.value for status in user_messages.JobStatus),
    "priorities": records.PRIORITY,
}
CATALOG_KEY = keys.CATALOG_KEY
FOLLOWED_PREFIX = keys.LIVE


def _job(fields: Fields) -> Job:
    return Job(
        fields["job"],
        _spec(fields["spec"]),
        EPOCH + timedelta(seconds=fields["accepted_s"]),
        {part: _ranges(pairs) for part, pairs in fields["held_by_parts"].items()},
        _ranges(fields["over"]),
    )


def write_job(fields: Fields) -> tuple[str, Any]:
    """Key and value of a live job's record."""
    return keys.job_key(fields["job"]), _job(fields).to_value()


def write_small_job(fields: Fields) -> tuple[str, Any]:
    """The same within a limit of the value's size."""
    return keys.job_key(fields["job"]), _job(fields).to_compact_value(fields["most_bytes"])


def write_slice(fields: Fields) -> tuple[str, Any]:
    """Key and value of a shard of what a part runs of a job."""
    made = SliceShard(
        fields["job"],
        fields["part"],
        fields["team"],
        Resources(*fields["need"]),
        _ranges(fields["over"]),
        {int(task): Attempt(*attempt) for task, attempt in fields["attempts"].items()},
        0,
        fields["shard"],
    )
    return made.key, made.to_value()


def write_team(fields: Fields) -> tuple[str, Any]:
    """Key and value of what parts may use for a team, set part by part."""
    use = QuotaRecord(fields["team"])
    for part, cpus, gpus in fields["set_aside"]:
        use = use.with_partition(part, cpus, gpus)
    return keys.team_key(fields["team"]), use.to_value()


def write_recovery(fields: Fields) -> tuple[str, Any]:
    """Key and value of how far a part's recovery is."""
    progress = RecoveryProgress(
        fields["term"],
        fields["phase"],
        fields["lost_writes"],
        fields["machines_expected"],
        fields["machines_heard"],
        fields["differences"],
        fields["took_s"],
    )
    return keys.recovery_key(fields["part"]), progress.to_value()


def write_end(fields: Fields) -> tuple[str, Any]:
    """Key and value of a job's end."""
    value = records.job_end_value(fields["status"], fields["tasks_done"])
    return keys.job_end_key(fields["job"]), value


def write_catalog(rows: list[Fields]) -> tuple[str, Any]:
    """Key and value of the catalog as it is kept, from the cloud's answer."""
    with _refusals():
        machine_types = read_machine_types(rows)
    return CATALOG_KEY, [machine_type.to_value() for machine_type in machine_types.values()]


WRITERS: dict[str, Callable[[Any], tuple[str, Any]]] = {
    "job": write_job,
    "small_job": write_small_job,
    "slice": write_slice,
    "team": write_team,
    "recovery": write_recovery,
    "end": write_end,
    "catalog": write_catalog,
}


def read_records(rows: list[tuple[str, Any]]) -> Fields:
    """What a controller knows after it has read these records, in this order. A record that can't
    be read is left out."""
    view = RecordView()
    for revision, (key, value) in enumerate(rows, 1):
        view.put(key, value, revision)
    known: Fields = {
        "jobs": {name: _job_fields(row) for name, row in view.jobs.items()},
        "gangs": sorted(view.gangs),
        "slices": {
            part: {name: _work_fields(work) for name, work in works.items()}
            for part, works in view.job_slices.items()
            if works
        },
        "teams": {
            name: {part: list(amounts) for part, amounts in use.partitions.items()}
            for name, use in view.quotas.items()
        },
        "terms": {part: [term.number, term.controller] for part, term in view.terms.items()},
        "owners": {
            part: {"controller": own.controller, "boot": own.incarnation, "term": own.term}
            for part, own in view.partition_leaders.items()
        },
        "controllers": {name: live.incarnation for name, live in view.controllers.items()},
        "recoveries": {part: _progress_fields(row) for part, row in view.recoveries.items()},
        "unrecorded": view.unrecorded,
        "catalog": view.catalog,
    }
    return {kind: rows for kind, rows in known.items() if rows}


def _job_fields(row: Job) -> Fields:
    return {
        "spec": _spec_fields(row.spec),
        "accepted_s": (row.submitted_at - EPOCH).total_seconds(),
        "held_by_parts": {part: _pairs(held) for part, held in row.allocation.items()},
        "over": _pairs(row.done),
        "free": _pairs(row.unassigned),
    }


def _work_fields(work) -> Fields:
    return {
        "team": work.team,
        "need": [work.resources.cpus, work.resources.gpus, work.resources.memory],
        "over": _pairs(work.done),
        "attempts": {str(task): list(attempt) for task, attempt in work.attempts.items()},
        "shards": sorted(work.shards),
    }


def _progress_fields(progress: RecoveryProgress) -> Fields:
    return {
        "term": progress.term,
        "phase": progress.phase,
        "lost_writes": progress.lost_writes,
        "machines_expected": progress.expected,
        "machines_heard": progress.heard,
        "differences": progress.differences,
        "took_s": progress.took,
    }


def read_catalog(value: Any) -> list[Fields]:
    """The machine types of a catalog, from the cloud or from its record."""
    with _refusals():
        machine_types = read_machine_types(value)
    return [
        {
            "name": row.name,
            "room": [row.capacity.cpus, row.capacity.gpus, row.capacity.memory],
            "cache_gb": row.cache_gb,
            "pull_gb_per_s": row.fetch_gb_per_s,
            "price": row.price,
            "spot_price": row.spot_price,
            "startup_s": _seconds(row.startup),
            "zones": list(row.zones),
        }
        for row in machine_types.values()
    ]


def write_ranges(pairs: list[list[int]]) -> str:
    """Ranges as text."""
    return ranges.to_text(_ranges(pairs))


def read_ranges(value: Any) -> list[list[int]]:
    """Ranges in either stored form."""
    return _pairs(ranges.read(value))


# The interfaces of users and workers.


def read_submission(body: Any) -> Fields:
    """What a submission says."""
    with _refusals():
        name, spec = user_messages.read_submission(body)
    return {"job": name, "spec": _spec_fields(spec)}


def read_report(body: Any) -> Fields:
    """What a worker's report says."""
    with _refusals():
        report = worker_messages.parse_heartbeat(body)
    return {
        "machine": report.machine,
        "address": report.address,
        "machine_type": report.machine_type,
        "zone": report.zone,
        "spot": report.spot,
        "session": report.position.epoch,
        "number": report.position.sequence,
        "token": report.token,
        "notice_s": report.notice,
        "tasks": [list(task) for task in report.tasks],
    }


_ORDERS: dict[str, Callable[..., worker_messages.WorkerOrder]] = {
    "run": worker_messages.StartTask,
    "kill": worker_messages.StopTask,
    "forget": worker_messages.ForgetTask,
}


def write_order(verb: str, job: str, task: int, attempt: int, *grace_s: float) -> Fields:
    """An order for a machine. An integer 0 as grace is what an attempt that no record names gets;
    every other grace is written as a decimal number."""
    grace = [
        None if seconds == 0 and type(seconds) is int else _length(seconds) for seconds in grace_s
    ]
    return worker_messages.order_to_wire(_ORDERS[verb](job, task, attempt, *grace))


def submission(number: int, **changes: Any) -> Fields:
    """A submission of an array, as a user would send it."""
    return job(number, **changes)


def gang_submission(number: int, tasks: int, **changes: Any) -> Fields:
    """The same of a gang."""
    return gang(number, tasks, **changes)


# Settings.

_OPERATOR_FORMS: dict[str, type] = {
    "roadbend": OperatorSettings,
    "recovery": recovery_settings.RecoverySettings,
    "tracing": tracing_settings.TracingSettings,
}


_LOADERS: dict[str, Callable[[Path], Any]] = {
    "recovery": recovery_settings.load,
    "tracing": tracing_settings.load,
}


def read_operator_settings(form: str, text: str, directory: Path) -> Fields:
    """Every key of the operators' settings with its value, from a file's text."""
    with _refusals():
        if form == "roadbend":
            made: Any = read_operator(text)
        else:
            path = directory / f"{form}.sexp"
            path.write_text(text)
            made = _LOADERS[form](path)
    return {key: _plain(getattr(made, name)) for key, name in _operator_keys(form).items()}


def operator_defaults(form: str) -> Fields:
    """Every key of the operators' settings with its default."""
    made = _OPERATOR_FORMS[form]()
    return {key: _plain(getattr(made, name)) for key, name in _operator_keys(form).items()}


def _operator_keys(form: str) -> dict[str, str]:
    """Key in the file -> attribute."""
    names = [field.name for field in dataclass_fields(_OPERATOR_FORMS[form])]
    return {name.replace("_", "-"): name for name in names}


def _plain(value: Any) -> Any:
    return value.total_seconds() if isinstance(value, timedelta) else value


def read_platform_settings(text: str) -> Fields:
    """What the platform's file says, and the figures that follow from it."""
    with _refusals():
        settings = read_platform(text)
    return {
        "name": settings.name,
        "zone": settings.zone,
        "listen": settings.listen,
        "listen_for_controllers": settings.back,
        "others": [[peer.name, peer.zone, peer.address] for peer in settings.peers],
        "cloud": settings.cloud,
        "state": settings.state,
        "zones": list(settings.zones),
        "teams": {
            name: [team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max]
            for name, team in settings.teams.items()
        },
        "clock_off_s": _seconds(settings.clock_off),
        "report_s": _seconds(settings.heartbeat_interval),
        "lease_s": _seconds(settings.lease),
        "cancel_s": _seconds(settings.cancel_within),
        "state_requests_per_s": settings.state_rps,
        "state_changes_per_s": settings.state_write_rps,
        "state_changes_per_s_to_come": settings.state_write_rps_next,
        "value_bytes": settings.value_bytes,
        "changes_in_a_transaction": settings.txn_ops,
        "cloud_calls_per_s": settings.cloud_rps,
        "list_lag_s": _seconds(settings.list_lag),
        "sockets": settings.sockets,
        "cpu": settings.cpu,
        "gang_wait_s": _seconds(settings.gang_wait),
        "gang_peer_s": _seconds(settings.gang_peer),
        "objectives": [
            [row.kind, row.job_class, row.share, _seconds(row.within), row.times]
            for row in settings.objectives
        ],
        "tasks_in_a_shard": settings.shard_width,
        "widest_gang": settings.widest_gang,
        "widest_apart_gang": settings.widest_apart_gang,
    }


def is_settings_error(error: RefusedError) -> bool:
    """Whether the command line ends with the status for bad settings."""
    return isinstance(error.__cause__, SettingsError)


# The command line and the log.

PACKAGE = roadbend.__name__


def run_command(arguments: list[str]) -> tuple[int, str, str]:
    """Runs the command line in this process: exit status, output and errors."""
    output, errors = io.StringIO(), io.StringIO()
    with redirect_stdout(output), redirect_stderr(errors):
        try:
            status = cli.main(arguments)
        except SystemExit as ended:
            status = ended.code if isinstance(ended.code, int) else 1
    return status, output.getvalue(), errors.getvalue()


def logged_lines(level: str | None) -> list[str]:
    """The lines written to standard error at this LOG_LEVEL, for one event of each severity."""
    root, written = logging.getLogger(), io.StringIO()
    kept = (root.handlers, root.level, sys.stderr, logging.raiseExceptions)
    kept_level = os.environ.pop("LOG_LEVEL", None)
    try:
        root.handlers, sys.stderr = [], written
        if level is not None:
            os.environ["LOG_LEVEL"] = level
        log.setup()
        logger = log.Log("slice")
        logger.debug("first", job="run-1", part=None)
        logger.info("second", seconds=1.5)
        logger.warning("third")
        logger.error("fourth", text="two words")
    finally:
        root.handlers, level_before, sys.stderr, logging.raiseExceptions = kept
        root.setLevel(level_before)
        os.environ.pop("LOG_LEVEL", None)
        if kept_level is not None:
            os.environ["LOG_LEVEL"] = kept_level
    return written.getvalue().splitlines()


# A deployment in memory.


def go_with_the_mock_clock(monkeypatch: Any) -> None:
    """The package's time of day goes with trio's clock, from `EPOCH` on."""
    monkeypatch.setattr(clock, "wall", lambda: EPOCH + timedelta(seconds=trio.current_time()))


class Deployment:
    """Controllers, state service, cloud and machines in memory."""

    def __init__(self, made: Any):
        self._world = made

    async def connect(self, address: str) -> trio.abc.Stream:
        """A user's connection."""
        return await self._world.network.port("user").connect(address)

    def outage(self, down: bool) -> None:
        """The state service refuses everyone, or serves again."""
        if down:
            self._world.state.down = True
        else:
            self._world.state.end_outage()

    def runs_for(self, name: str, seconds: float | None) -> None:
        """How long each task of a job runs; None: until it is stopped."""
        self._world.board.lengths[name] = seconds

    def running(self, name: str) -> list[str]:
        """A job's tasks that are on a machine."""
        return self._world.board.running(name)

    def stop_controller(self, at: int) -> None:
        """One controller ends."""
        self._world.crash(at)

    def stop_controllers(self) -> None:
        """All controllers end at once."""
        for at in range(self._world.count):
            self.stop_controller(at)

    async def start_controllers(self) -> None:
        """All controllers begin anew."""
        for at in range(self._world.count):
            self._world.start(at)
        assert await self._world.until_ready()

    def lose_records(self, *prefixes: str) -> None:
        """The state service loses records."""
        stored = self._world.state.keys
        for key in [key for key in stored if key.startswith(prefixes)]:
            del stored[key]


@asynccontextmanager
async def deployment(controllers: int, recovery: bool = False):
    """A deployment whose controllers have taken up their work. The rules that its fakes watch are
    not looked at: troubles here go beyond what the rules permit."""

    def equip(node: Any) -> None:
        recovery_service.install(node, recovery_settings.RecoverySettings())

    async with world(
        count=controllers, equip=equip if recovery else None, on_broken_rules=lambda broken: None
    ) as made:
        yield Deployment(made)


# Who sends to whom, and what; `None` where the connection was opened.
Note = Callable[[int, str, str, bytes | None], None]


@contextmanager
def watched_network(note: Note) -> Iterator[None]:
    """Tells of everything that goes over the network in memory: the connection's number, sender,
    receiver and data."""
    network_type: Any = Network
    original, count = network_type.connect, iter(range(1 << 30))

    async def connect(network: Any, host: str, address: str) -> trio.abc.Stream:
        stream = await original(network, host, address)
        number, send, receive = next(count), stream.send_all, stream.receive_some

        async def send_all(data: bytes) -> None:
            note(number, host, address, bytes(data))
            await send(data)

        async def receive_some(max_bytes: int | None = None) -> bytes:
            data = await receive(max_bytes)
            note(number, address, host, bytes(data))
            return bytes(data)

        watched: Any = stream
        watched.send_all, watched.receive_some = send_all, receive_some
        note(number, host, address, None)
        return stream

    network_type.connect = connect
    try:
        yield
    finally:
        network_type.connect = original


class _OneConnection:
    """A network on which every address is the same stream."""

    def __init__(self, stream: trio.abc.Stream):
        self._stream = stream

    async def connect(self, _address: str) -> trio.abc.Stream:
        return self._stream


async def send_request(stream: trio.abc.Stream, method: str, target: str, body: Any) -> Any:
    """Sends one request as a controller does to the state service, the cloud and machines, and
    gives status and body of the answer."""
    client = Client(_OneConnection(stream), "10.2.0.1:2379")  # type: ignore[arg-type]
    return await client.request(method, target, body, within=timedelta(seconds=5))


Scenario = Callable[[], Awaitable[None]]


def run_scenario(scenario: Scenario, name: str) -> None:
    """Runs a scenario on trio's mock clock; the order in which tasks go on follows from `name`."""
    random.seed(name)
    scheduler: Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(name)
    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
