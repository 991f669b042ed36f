"""Adapts the package to the compatibility tests; no other module here imports the package.

Arguments and results are plain values under names that belong to these tests: durations are numbers
of seconds, ranges are lists of pairs, and bad input raises `RefusedError` with the package's
message. When names in the package change, only imports and attribute names in this module follow.
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
# The time of day at which every test starts.
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class RefusedError(Exception):
    """The package rejected an input; the message is the package's own."""


@contextmanager
def _translate_errors() -> Iterator[None]:
    """Convert the package's errors about bad input to `RefusedError`."""
    try:
        yield
    except RoadbendError as error:
        raise RefusedError(str(error)) from error


def _seconds(length: timedelta | None) -> float | None:
    return None if length is None else length.total_seconds()


def _duration(seconds: float | None) -> timedelta | None:
    return None if seconds is None else timedelta(seconds=seconds)


def _pairs(value: tuple[tuple[int, int], ...]) -> list[list[int]]:
    return [list(pair) for pair in value]


def _ranges(pairs: list[list[int]]) -> tuple[tuple[int, int], ...]:
    return tuple((low, high) for low, high in pairs)


# The specification of a job, as its user submitted it.


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
        due=_duration(fields["due_s"]),
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
MAX_PAYLOAD_SIZE = frames.MAX_PAYLOAD


def encode_frame(kind: int, number: int, payload: bytes) -> bytes:
    """Return a complete frame."""
    with _translate_errors():
        return frames.pack(kind, number, payload)


def split_frames(data: bytes) -> list[tuple[int, int, bytes]]:
    """Return kind, call number and payload of each complete frame in the data."""
    with _translate_errors():
        return list(frames.FrameDecoder().feed(data))


def encode_heartbeat(fields: Fields) -> bytes:
    """Return the payload of a heartbeat between controllers."""
    with _translate_errors():
        return PeerHeartbeat(
            fields["boot"],
            timedelta(seconds=fields["uptime_s"]),
            _duration(fields["contact_age_s"]),
            tuple(fields["used_per_s"]),
            dict(fields["owned_terms"]),
            {
                partition: tuple(machines)
                for partition, machines in fields["machines_heard"].items()
            },
            timedelta(seconds=fields["cancellations_span_s"]),
            tuple(fields["cancelled_jobs"]),
        ).pack()


def decode_heartbeat(payload: bytes) -> Fields:
    """Decode the payload of a heartbeat between controllers."""
    with _translate_errors():
        heartbeat = PeerHeartbeat.unpack(payload)
    return {
        "boot": heartbeat.incarnation,
        "uptime_s": _seconds(heartbeat.uptime),
        "contact_age_s": _seconds(heartbeat.last_read_age),
        "used_per_s": list(heartbeat.request_rates),
        "owned_terms": heartbeat.led_partitions,
        "machines_heard": {
            partition: list(names) for partition, names in heartbeat.reporting_machines.items()
        },
        "cancellations_span_s": _seconds(heartbeat.cancellations_span),
        "cancelled_jobs": list(heartbeat.cancellations),
    }


def understands_gangs(boot: str) -> bool:
    """Return whether a controller is sent frames about gangs, by the boot id in its heartbeats."""
    heartbeat = PeerHeartbeat(boot, timedelta(), None, (0.0, 0.0, 0.0))
    return PeerState(heartbeat).supports(frames.GANGS_EXTENSION)


def encode_bid_request(fields: Fields) -> bytes:
    """Return the payload of a bid request, also of one that reschedules a waiting job."""
    with _translate_errors():
        return BidRequest(
            job=fields["job"],
            requests=fields["requests"],
            tasks=fields["free_tasks"],
            spec=_spec(fields["spec"]),
            from_partition=fields["waits_at_part"],
            requester_response=_duration(fields["response_time_s"]),
            requester_average=timedelta(seconds=fields["average_wait_s"]),
            waited=timedelta(seconds=fields["waited_s"]),
        ).pack()


def decode_bid_request(payload: bytes) -> Fields:
    """Decode the payload of a bid request."""
    with _translate_errors():
        bid_request = BidRequest.unpack(payload)
    return {
        "job": bid_request.job,
        "requests": bid_request.requests,
        "free_tasks": bid_request.tasks,
        "spec": _spec_fields(bid_request.spec),
        "waits_at_part": bid_request.from_partition,
        "response_time_s": _seconds(bid_request.requester_response),
        "average_wait_s": _seconds(bid_request.requester_average),
        "waited_s": _seconds(bid_request.waited),
    }


def encode_bids(rows: list[Fields]) -> bytes:
    """Return the payload of the reply to a bid request."""
    with _translate_errors():
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
    """Decode the payload of the reply to a bid request."""
    with _translate_errors():
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
    """Return the payload that assigns a job to a controller's partition."""
    with _translate_errors():
        return bidding_messages.Assignment(
            fields["job"], bytes.fromhex(fields["record_hex"]), fields["revision"]
        ).pack()


def decode_assignment(payload: bytes) -> Fields:
    """Decode the payload of an assignment."""
    with _translate_errors():
        assignment = bidding_messages.Assignment.unpack(payload)
    return {
        "job": assignment.job,
        "record_hex": assignment.value.hex(),
        "revision": assignment.mod_revision,
    }


def encode_revocation(fields: Fields) -> bytes:
    """Return the payload that notifies a controller that a job was assigned elsewhere."""
    with _translate_errors():
        return bidding_messages.Revocation(fields["job"]).pack()


def decode_revocation(payload: bytes) -> Fields:
    """Decode the payload of a revocation."""
    with _translate_errors():
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
# Enumerated words in records, and those in responses to users.
STORED_WORDS: dict[str, Any] = {
    "recovery_phases": sorted(str(phase) for phase in PhaseName),
    "differences": sorted(str(kind) for kind in Kind),
    "statuses": sorted(status.value for status in user_messages.JobStatus),
    "priorities": records.PRIORITY,
}
CATALOG_KEY = keys.CATALOG_KEY
LIVE_PREFIX = keys.LIVE


def _job(fields: Fields) -> Job:
    return Job(
        fields["job"],
        _spec(fields["spec"]),
        EPOCH + timedelta(seconds=fields["accepted_s"]),
        {partition: _ranges(pairs) for partition, pairs in fields["held_by_parts"].items()},
        _ranges(fields["over"]),
    )


def write_job(fields: Fields) -> tuple[str, Any]:
    """Return key and value of a live job's record."""
    return keys.job_key(fields["job"]), _job(fields).to_value()


def write_compact_job(fields: Fields) -> tuple[str, Any]:
    """Return key and value of a live job's record within a size limit."""
    return keys.job_key(fields["job"]), _job(fields).to_compact_value(fields["most_bytes"])


def write_slice(fields: Fields) -> tuple[str, Any]:
    """Return key and value of one shard of a job slice."""
    shard = SliceShard(
        fields["job"],
        fields["part"],
        fields["team"],
        Resources(*fields["need"]),
        _ranges(fields["over"]),
        {int(task): Attempt(*attempt) for task, attempt in fields["attempts"].items()},
        0,
        fields["shard"],
    )
    return shard.key, shard.to_value()


def write_team(fields: Fields) -> tuple[str, Any]:
    """Return key and value of a team's quota record, set partition by partition."""
    quota = QuotaRecord(fields["team"])
    for partition, cpus, gpus in fields["set_aside"]:
        quota = quota.with_partition(partition, cpus, gpus)
    return keys.team_key(fields["team"]), quota.to_value()


def write_recovery(fields: Fields) -> tuple[str, Any]:
    """Return key and value of the progress of a partition's recovery."""
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
    """Return key and value of the record of a job's end."""
    value = records.job_end_value(fields["status"], fields["tasks_done"])
    return keys.job_end_key(fields["job"]), value


def write_catalog(rows: list[Fields]) -> tuple[str, Any]:
    """Return key and value of the catalog's record, made from the cloud's response."""
    with _translate_errors():
        machine_types = read_machine_types(rows)
    return CATALOG_KEY, [machine_type.to_value() for machine_type in machine_types.values()]


WRITERS: dict[str, Callable[[Any], tuple[str, Any]]] = {
    "job": write_job,
    "small_job": write_compact_job,
    "slice": write_slice,
    "team": write_team,
    "recovery": write_recovery,
    "end": write_end,
    "catalog": write_catalog,
}


def read_records(rows: list[tuple[str, Any]]) -> Fields:
    """Return a controller's record view after it has read these records in this order.

    Records that can't be parsed are left out.
    """
    view = RecordView()
    for revision, (key, value) in enumerate(rows, 1):
        view.put(key, value, revision)
    known: Fields = {
        "jobs": {name: _job_fields(row) for name, row in view.jobs.items()},
        "gangs": sorted(view.gangs),
        "slices": {
            partition: {name: _slice_fields(job_slice) for name, job_slice in slices.items()}
            for partition, slices in view.job_slices.items()
            if slices
        },
        "teams": {
            name: {partition: list(amounts) for partition, amounts in quota.partitions.items()}
            for name, quota in view.quotas.items()
        },
        "terms": {
            partition: [term.number, term.controller] for partition, term in view.terms.items()
        },
        "owners": {
            partition: {
                "controller": leader.controller,
                "boot": leader.incarnation,
                "term": leader.term,
            }
            for partition, leader in view.partition_leaders.items()
        },
        "controllers": {
            name: registration.incarnation for name, registration in view.controllers.items()
        },
        "recoveries": {
            partition: _progress_fields(row) for partition, row in view.recoveries.items()
        },
        "unrecorded": view.unrecorded,
        "catalog": view.catalog,
    }
    return {kind: rows for kind, rows in known.items() if rows}


def _job_fields(row: Job) -> Fields:
    return {
        "spec": _spec_fields(row.spec),
        "accepted_s": (row.submitted_at - EPOCH).total_seconds(),
        "held_by_parts": {partition: _pairs(held) for partition, held in row.allocation.items()},
        "over": _pairs(row.done),
        "free": _pairs(row.unassigned),
    }


def _slice_fields(job_slice) -> Fields:
    return {
        "team": job_slice.team,
        "need": [job_slice.resources.cpus, job_slice.resources.gpus, job_slice.resources.memory],
        "over": _pairs(job_slice.done),
        "attempts": {str(task): list(attempt) for task, attempt in job_slice.attempts.items()},
        "shards": sorted(job_slice.shards),
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
    """Return the machine types of a catalog, from the cloud or from its record."""
    with _translate_errors():
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
    """Return ranges in their text form."""
    return ranges.to_text(_ranges(pairs))


def read_ranges(value: Any) -> list[list[int]]:
    """Read ranges in either stored form."""
    return _pairs(ranges.read(value))


# The interfaces of users and workers.


def read_submission(body: Any) -> Fields:
    """Parse a submission."""
    with _translate_errors():
        name, spec = user_messages.read_submission(body)
    return {"job": name, "spec": _spec_fields(spec)}


def read_report(body: Any) -> Fields:
    """Parse a worker's heartbeat."""
    with _translate_errors():
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
    """Return an order for a worker.

    A grace of integer 0 is that of an unrecorded attempt; every other grace is written as a float.
    """
    grace = [
        None if seconds == 0 and type(seconds) is int else _duration(seconds) for seconds in grace_s
    ]
    return worker_messages.order_to_wire(_ORDERS[verb](job, task, attempt, *grace))


def submission(number: int, **changes: Any) -> Fields:
    """Return the submission of an array, as a user would send it."""
    return job(number, **changes)


def gang_submission(number: int, tasks: int, **changes: Any) -> Fields:
    """Return the submission of a gang, as a user would send it."""
    return gang(number, tasks, **changes)


# Settings.

_OPERATOR_SETTINGS: dict[str, type] = {
    "roadbend": OperatorSettings,
    "recovery": recovery_settings.RecoverySettings,
    "tracing": tracing_settings.TracingSettings,
}


_LOADERS: dict[str, Callable[[Path], Any]] = {
    "recovery": recovery_settings.load,
    "tracing": tracing_settings.load,
}


def read_operator_settings(form: str, text: str, directory: Path) -> Fields:
    """Return every key of an operators' settings file with its value, from the file's text."""
    with _translate_errors():
        if form == "roadbend":
            settings: Any = read_operator(text)
        else:
            path = directory / f"{form}.sexp"
            path.write_text(text)
            settings = _LOADERS[form](path)
    return {
        key: _plain_value(getattr(settings, name)) for key, name in _operator_keys(form).items()
    }


def operator_defaults(form: str) -> Fields:
    """Return every key of an operators' settings file with its default."""
    settings = _OPERATOR_SETTINGS[form]()
    return {
        key: _plain_value(getattr(settings, name)) for key, name in _operator_keys(form).items()
    }


def _operator_keys(form: str) -> dict[str, str]:
    """Return the settings attribute of each key in the file."""
    names = [field.name for field in dataclass_fields(_OPERATOR_SETTINGS[form])]
    return {name.replace("_", "-"): name for name in names}


def _plain_value(value: Any) -> Any:
    return value.total_seconds() if isinstance(value, timedelta) else value


def read_platform_settings(text: str) -> Fields:
    """Return the platform settings from a file's text, with the values derived from them."""
    with _translate_errors():
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
    """Return whether the command line exits with the status for bad settings on this error."""
    return isinstance(error.__cause__, SettingsError)


# The command line and the log.

PACKAGE = roadbend.__name__


def run_command(arguments: list[str]) -> tuple[int, str, str]:
    """Run the command line in this process; return exit status, standard output and error."""
    output, errors = io.StringIO(), io.StringIO()
    with redirect_stdout(output), redirect_stderr(errors):
        try:
            status = cli.main(arguments)
        except SystemExit as exited:
            status = exited.code if isinstance(exited.code, int) else 1
    return status, output.getvalue(), errors.getvalue()


def logged_lines(level: str | None) -> list[str]:
    """Return the lines logged to standard error at a LOG_LEVEL, for one event per severity."""
    root, written = logging.getLogger(), io.StringIO()
    saved = (root.handlers, root.level, sys.stderr, logging.raiseExceptions)
    saved_log_level = os.environ.pop("LOG_LEVEL", None)
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
        root.handlers, saved_root_level, sys.stderr, logging.raiseExceptions = saved
        root.setLevel(saved_root_level)
        os.environ.pop("LOG_LEVEL", None)
        if saved_log_level is not None:
            os.environ["LOG_LEVEL"] = saved_log_level
    return written.getvalue().splitlines()


# An in-memory deployment.


def follow_mock_clock(monkeypatch: Any) -> None:
    """Make the package's time of day follow trio's clock, starting at `EPOCH`."""
    monkeypatch.setattr(clock, "wall", lambda: EPOCH + timedelta(seconds=trio.current_time()))


class Deployment:
    """Controllers, state store, cloud and machines in memory."""

    def __init__(self, fake_world: Any):
        self._world = fake_world

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a connection as a user."""
        return await self._world.network.port("user").connect(address)

    def outage(self, down: bool) -> None:
        """Make the state store refuse all requests, or end its outage."""
        if down:
            self._world.state.down = True
        else:
            self._world.state.end_outage()

    def set_task_duration(self, name: str, seconds: float | None) -> None:
        """Set how long each task of a job runs; None: until it is stopped."""
        self._world.board.lengths[name] = seconds

    def running(self, name: str) -> list[str]:
        """Return the tasks of a job that run on machines."""
        return self._world.board.running(name)

    def stop_controller(self, at: int) -> None:
        """Crash one controller."""
        self._world.crash(at)

    def stop_controllers(self) -> None:
        """Crash all controllers at once."""
        for at in range(self._world.count):
            self.stop_controller(at)

    async def start_controllers(self) -> None:
        """Start all controllers and wait until they lead their partitions."""
        for at in range(self._world.count):
            self._world.start(at)
        assert await self._world.until_ready()

    def lose_records(self, *prefixes: str) -> None:
        """Make the state store lose the records with these prefixes."""
        stored = self._world.state.keys
        for key in [key for key in stored if key.startswith(prefixes)]:
            del stored[key]


@asynccontextmanager
async def deployment(controllers: int, recovery: bool = False):
    """Provide a deployment with controllers that are ready.

    Violations that the fakes detect are ignored: the tests inject faults beyond those permitted.
    """

    def equip(node: Any) -> None:
        recovery_service.install(node, recovery_settings.RecoverySettings())

    async with world(
        count=controllers, equip=equip if recovery else None, on_broken_rules=lambda broken: None
    ) as fake_world:
        yield Deployment(fake_world)


# Arguments: connection number, sender, receiver, and the data, or None for a new connection.
RecordData = Callable[[int, str, str, bytes | None], None]


@contextmanager
def intercept_network(record_data: RecordData) -> Iterator[None]:
    """Pass all data sent over the in-memory network to `record_data`."""
    network_type: Any = Network
    original, count = network_type.connect, iter(range(1 << 30))

    async def connect(network: Any, host: str, address: str) -> trio.abc.Stream:
        stream = await original(network, host, address)
        number, send, receive = next(count), stream.send_all, stream.receive_some

        async def send_all(data: bytes) -> None:
            record_data(number, host, address, bytes(data))
            await send(data)

        async def receive_some(max_bytes: int | None = None) -> bytes:
            data = await receive(max_bytes)
            record_data(number, address, host, bytes(data))
            return bytes(data)

        intercepted: Any = stream
        intercepted.send_all, intercepted.receive_some = send_all, receive_some
        record_data(number, host, address, None)
        return stream

    network_type.connect = connect
    try:
        yield
    finally:
        network_type.connect = original


class _SingleStreamNetwork:
    """A network whose every address connects to the same stream."""

    def __init__(self, stream: trio.abc.Stream):
        self._stream = stream

    async def connect(self, _address: str) -> trio.abc.Stream:
        return self._stream


async def send_request(stream: trio.abc.Stream, method: str, target: str, body: Any) -> Any:
    """Send a request as a controller does to the state store, the cloud and machines.

    Returns status and body of the response.
    """
    client = Client(_SingleStreamNetwork(stream), "10.2.0.1:2379")  # type: ignore[arg-type]
    return await client.request(method, target, body, within=timedelta(seconds=5))


Scenario = Callable[[], Awaitable[None]]


def run_scenario(scenario: Scenario, name: str) -> None:
    """Run a scenario on trio's mock clock; `name` seeds the order in which tasks are scheduled."""
    random.seed(name)
    scheduler: Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(name)
    trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))
