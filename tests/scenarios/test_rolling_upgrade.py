"""Tests compatibility with the version in production (`production` in deploy/service.toml).

Frames and records are compared with bytes written by that version, and rolling upgrades run with
injected faults.
"""

import random
from dataclasses import replace
from datetime import UTC, datetime, timedelta

import cbor2
import pytest
import trio

from roadbend.bidding import messages
from roadbend.bidding.casa import Bid
from roadbend.bidding.messages import BidRequest
from roadbend.fakes import previous_version
from roadbend.fakes.platform import settings_for
from roadbend.fakes.submission import gang, job
from roadbend.fakes.world import World, world
from roadbend.partitions.leadership import Leadership
from roadbend.peers import frames
from roadbend.peers.heartbeat import PeerHeartbeat
from roadbend.placement import shard_split
from roadbend.placement.transaction import TransactionBuilder
from roadbend.settings import OperatorSettings, Team
from roadbend.store import keys, ranges, records
from roadbend.store.record_view import RecordView
from roadbend.store.records import Attempt, Job, JobSpec, QuotaRecord, Resources, SliceShard
from roadbend.store.request_budget import RequestBudget

SECOND = timedelta(seconds=1)
FRAMES = {
    "hello": ("0000000c0201000000006e6f64652d30"),
    "ping": (
        "0000005a020200000003000262310000000000002328ffffffff3fc000003e8000003f0000000000ea60000100046561"
        "737400000000000000070001000477657374000200036d2d3100036d2d320002000572756e2d31000572756e2d32"
    ),
    "pong": (
        "0000002c028200000003000262320000000000002328000007d03fc000003e8000003f00000000000000000000000000"
    ),
    "request": (
        "0000009f020300000004000572756e2d3100030000000900037265640005706c616e7300010000000940200000000000"
        "003ff00000000000004045c000000000000002000267320007c3bc6d6c617574010004656173740001010005696d672d"
        "3140190000000000004034000000000000403e0000000000004010000000000000408c2000000000000000bff0000000"
        "00000000000000000000004000000000000000"
    ),
    "request-service": (
        "0000008c020300000004000572756e2d320003000000040004626c756500046c69766501030000000440200000000000"
        "003ff00000000000004044000000000000ffff000000000005696d672d323ff000000000000000000000000000000000"
        "0000000000000000000000000000bff00000000000000000bff000000000000000000000000000000000000000000000"
    ),
    "inform": (
        "000000a3020600000005000572756e2d3100030000000900037265640005706c616e7300010000000940200000000000"
        "003ff00000000000004045c000000000000002000267320007c3bc6d6c617574010004656173740001010005696d672d"
        "3140190000000000004034000000000000403e0000000000004010000000000000408c20000000000000046561737440"
        "1c00000000000040080000000000004044000000000000"
    ),
    "bids": (
        "00000036028300000004000100046561737400066e6f64652d30403400000000000040080000000000003ff000000000"
        "0000000000040000000c"
    ),
    "assign": ("0000001a020400000006000572756e2d31000000000000004d00000001a0"),
    "revoke": ("0000000d020500000000000572756e2d31"),
}
RECORDS = {
    "r/job/run-1": (
        "a461738f6372656465706c616e7300010983fb4020000000000000fb3ff0000000000000fb4045c00000000000826267"
        "3267c3bc6d6c617574646561737400010165696d672d31fb401900000000000083fb4034000000000000fb403e000000"
        "000000fb4010000000000000fb408c2000000000006261741b0000019b76daa8006161a2646561737482820003820509"
        "647765737481820305616481820002"
    ),
    "r/job/run-2": (
        "a261738f64626c7565646c69766501030483fb4020000000000000fb3ff0000000000000fb4044000000000000f6f600"
        "000065696d672d32fb3ff000000000000083fb0000000000000000fb0000000000000000fb0000000000000000f66261"
        "741b0000019b76daa800"
    ),
    "r/slice/east/run-1/0": (
        "a4617463726564616e83fb4020000000000000fb3ff0000000000000fb4045c000000000006164818200026172828307"
        "676d2d30303030318602056132050661338308686d2d30303030313483060160"
    ),
    "r/team/red": (
        "a2646561737482fb4030000000000000fb4000000000000000647765737482fb4021000000000000fb3ff0000000000000"
    ),
    "fin/run-3": ("a2617364646f6e65616e09"),
}
SPEC = JobSpec(
    "red",
    "plans",
    False,
    1,
    9,
    Resources(8.0, 1.0, 43.5),
    ("g2", "ümlaut"),
    "east",
    False,
    True,
    True,
    "img-1",
    6.25,
    20 * SECOND,
    30 * SECOND,
    4 * SECOND,
    900 * SECOND,
)
SERVICE = JobSpec(
    "blue",
    "live",
    True,
    3,
    4,
    Resources(8.0, 1.0, 40.0),
    None,
    None,
    False,
    False,
    False,
    "img-2",
    1.0,
    0 * SECOND,
    0 * SECOND,
    0 * SECOND,
    None,
)
ACCEPTED_AT = datetime(2026, 1, 1, tzinfo=UTC)
ATTEMPTS = {
    2: Attempt(7 << 32 | 5, "m-000012"),
    5: Attempt(7 << 32 | 6, "m-000013"),
    6: Attempt(8 << 32 | 1, "m-000014"),
}
JOB = Job("run-1", SPEC, ACCEPTED_AT, {"east": ((0, 3), (5, 9)), "west": ((3, 5),)}, ((0, 2),))
SLICE = SliceShard("run-1", "east", "red", SPEC.resources, ((0, 2),), ATTEMPTS)
PEER_HEARTBEAT = PeerHeartbeat(
    "b1",
    9 * SECOND,
    None,
    (1.5, 0.25, 0.5),
    {"east": 7},
    {"west": ("m-1", "m-2")},
    60 * SECOND,
    ("run-1", "run-2"),
)
BID_REQUEST = BidRequest(job="run-1", requests=3, tasks=9, spec=SPEC, waited=2 * SECOND)
RESCHEDULE_REQUEST = BidRequest(
    job="run-1",
    requests=3,
    tasks=9,
    spec=SPEC,
    from_partition="east",
    requester_response=7 * SECOND,
    requester_average=3 * SECOND,
    waited=40 * SECOND,
)
BIDS = [
    Bid(
        partition="east",
        controller="node-0",
        job_time=20 * SECOND,
        queue_time=3 * SECOND,
        shadow_time=1 * SECOND,
        startable_now=4,
        capacity=12,
    )
]


def test_frames_are_written_as_production_writes_them_and_its_frames_are_read():
    encoded = {
        "hello": frames.pack(frames.FrameKind.HELLO, 0, b"node-0"),
        "ping": frames.pack(frames.FrameKind.HEARTBEAT, 3, PEER_HEARTBEAT.pack()),
        "pong": frames.pack(
            frames.FrameKind.HEARTBEAT | frames.REPLY_BIT,
            3,
            PeerHeartbeat("b2", 9 * SECOND, 2 * SECOND, (1.5, 0.25, 0.5)).pack(),
        ),
        "request": frames.pack(frames.FrameKind.REQUEST, 4, BID_REQUEST.pack()),
        "request-service": frames.pack(
            frames.FrameKind.REQUEST,
            4,
            BidRequest(job="run-2", requests=3, tasks=4, spec=SERVICE).pack(),
        ),
        "inform": frames.pack(frames.FrameKind.INFORM, 5, RESCHEDULE_REQUEST.pack()),
        "bids": frames.pack(
            frames.FrameKind.REQUEST | frames.REPLY_BIT, 4, messages.pack_bids(BIDS)
        ),
        "assign": frames.pack(
            frames.FrameKind.ASSIGN, 6, messages.Assignment("run-1", b"\xa0", 77).pack()
        ),
        "revoke": frames.pack(frames.FrameKind.REVOKE, 0, messages.Revocation("run-1").pack()),
    }
    assert {name: data.hex() for name, data in encoded.items()} == FRAMES
    payloads = {
        name: next(iter(frames.FrameDecoder().feed(bytes.fromhex(data))))[2]
        for name, data in FRAMES.items()
    }
    assert (
        PeerHeartbeat.unpack(payloads["ping"]) == PEER_HEARTBEAT
        and BidRequest.unpack(payloads["request"]) == BID_REQUEST
    )
    assert (
        BidRequest.unpack(payloads["inform"]) == RESCHEDULE_REQUEST
        and BidRequest.unpack(payloads["request-service"]).spec == SERVICE
    )
    assert messages.unpack_bids(payloads["bids"]) == BIDS
    assert messages.Assignment.unpack(payloads["assign"]) == messages.Assignment(
        "run-1", b"\xa0", 77
    )
    assert not payloads["ping"].endswith(b"+gangs")


def test_records_are_written_as_production_writes_them_and_its_records_are_read():
    values = {
        keys.job_key("run-1"): JOB.to_value(),
        keys.job_key("run-2"): Job("run-2", SERVICE, ACCEPTED_AT).to_value(),
        SLICE.key: SLICE.to_value(),
        keys.team_key("red"): QuotaRecord("red")
        .with_partition("east", 16.0, 2.0)
        .with_partition("west", 8.5, 1.0)
        .to_value(),
        keys.job_end_key("run-3"): records.job_end_value("done", 9),
    }
    assert {key: cbor2.dumps(value).hex() for key, value in values.items()} == RECORDS
    view = RecordView()
    for mod_revision, (key, data) in enumerate(RECORDS.items(), 1):
        if key.startswith("r/"):
            view.put(key, cbor2.loads(bytes.fromhex(data)), mod_revision)
    assert view.jobs["run-1"].allocation == JOB.allocation and view.jobs["run-1"].spec == SPEC
    assert (
        view.jobs["run-2"].spec == SERVICE and view.job_slices["east"]["run-1"].attempts == ATTEMPTS
    )
    assert view.quotas["red"].partitions == {"east": (16.0, 2.0), "west": (8.5, 1.0)}


def test_a_gang_stays_one_when_a_version_before_gangs_has_written_its_record():
    view, gang_job = RecordView(), Job("run-1", SPEC, ACCEPTED_AT).as_gang()
    view.put(keys.gang_key("run-1"), 1, 1)
    view.put(keys.job_key("run-1"), gang_job.to_value(), 1)
    assert view.jobs["run-1"].spec.gang
    view.put(keys.job_key("run-1"), {k: v for k, v in gang_job.to_value().items() if k != "g"}, 2)
    assert view.jobs["run-1"].spec.gang
    # The job's record alone is enough: it may arrive by an assignment before the other is read.
    other_view = RecordView()
    other_view.put(keys.job_key("run-1"), gang_job.to_value(), 2)
    assert other_view.jobs["run-1"].spec.gang


def test_a_job_whose_ranges_outgrow_the_values_to_come_is_written_smaller_and_read_the_same():
    rng = random.Random(4)
    spec = JobSpec(
        "red",
        "plans",
        False,
        1,
        100_000,
        Resources(8.0, 1.0, 43.5),
        None,
        None,
        False,
        False,
        True,
        "img-1",
        6.25,
        20 * SECOND,
        30 * SECOND,
        4 * SECOND,
        900 * SECOND,
    )
    bounds = sorted(rng.sample(range(100_000), 240))
    pairs = ranges.normalize(zip(bounds[::2], bounds[1::2], strict=True))
    large_job = Job(
        "run-1", spec, ACCEPTED_AT, {"east": pairs[::3], "west": pairs[1::3]}, pairs[2::3]
    )
    assert 2048 < records.value_size_bound(large_job.to_value()) < 4096
    compact_value = large_job.to_compact_value(2048)
    assert (
        records.value_size_bound(compact_value) <= 2048
        and Job.from_value("run-1", compact_value, 0) == large_job
    )
    assert JOB.to_compact_value(2048) == JOB.to_value()


async def test_the_rate_of_changes_falls_when_the_service_says_so_and_not_before():
    budget = RequestBudget(1000.0, 100.0, 1, 20.0)

    async def count_writes(seconds: float) -> int:
        write_count, end = 0, trio.current_time() + seconds
        while trio.current_time() < end:
            await budget.take(1, urgent=False)
            write_count += 1
        return write_count

    await count_writes(5)
    assert await count_writes(10) > 800
    budget.throttle(True)
    await count_writes(3)
    assert 150 < await count_writes(10) < 210
    # The higher rate is tried again only after more than 10 minutes.
    await trio.sleep(11 * 60)
    budget.borrow([])
    await count_writes(3)
    assert await count_writes(10) > 800


# Machine names in the fakes are short, so these limits are smaller than real ones: records of the
# version in production must exceed them.
SMALL_LIMITS = dict(
    value_bytes=1200, txn_ops=4, state_write_rps=25.0, state_rps=80.0, state_write_rps_next=18.0
)
TEAMS = {"red": Team("red", 0, 0, 4, 200), "blue": Team("blue", 0, 0, 4, 60)}


async def upgrade_controllers(w: World, rng: random.Random, fault) -> None:
    """Restart the controllers one by one with the new version, while a fault is injected.

    One may crash before its turn and restart with the old version.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fault, w, rng)
        for at in rng.sample(range(3), 3):
            w.crash(at)
            await trio.sleep(rng.uniform(0.3, 5))
            w.start(at)
            await trio.sleep(rng.uniform(6, 14))


async def nothing(w: World, rng: random.Random) -> None:
    pass


async def crash_of_an_old_one(w: World, rng: random.Random) -> None:
    not_upgraded = [
        at
        for at in range(3)
        if isinstance(w.controllers.get(f"node-{at}"), previous_version.PreviousVersionController)
    ]
    at = rng.choice(not_upgraded)
    w.crash(at)
    await trio.sleep(rng.uniform(0.2, 0.9))
    if f"node-{at}" not in w.controllers:
        w.start(at, True)


async def outage(w: World, rng: random.Random) -> None:
    await trio.sleep(rng.uniform(0, 12))
    await w.outage(rng.uniform(5, 30))


async def cut(w: World, rng: random.Random) -> None:
    await trio.sleep(rng.uniform(0, 8))
    await w.isolate_controller(rng.randrange(3), rng.uniform(8, 25))


async def late(w: World, rng: random.Random) -> None:
    w.state.late_writes(0.25, rng)
    await trio.sleep(25)
    w.state.late_writes(0.0, None)


@pytest.mark.parametrize(
    "fault", [nothing, crash_of_an_old_one, outage, cut, late], ids=lambda t: t.__name__
)
async def test_a_roll_with_troubles_in_it_loses_nothing_and_the_limits_to_come_break_nothing(
    fault,
):
    rng = random.Random(fault.__name__)
    async with world(
        capacity=40,
        previous_version=True,
        teams=TEAMS,
        operator=OperatorSettings(reoffer_every=2 * SECOND),
        cancel_within=48 * SECOND,
        **SMALL_LIMITS,
    ) as w:
        w.state.set_limits(previous_version.VALUE_BYTES, previous_version.TXN_OPS)
        assert (
            await w.submit(
                0, job(1, shape="daemon", legs=6, apart=True, dueS=None, loaners=False), None
            )
            == 201
        )
        # Wide enough for records that the announced limits don't permit.
        assert await w.submit(1, job(2, legs=120, yard="east", dueS=20.0, crew="red"), 110.0) == 201
        assert await w.submit(2, job(3, legs=5, crew="blue", dueS=30.0), 60.0) == 201
        assert (
            await w.submit(2, job(4, shape="daemon", legs=2, crew="blue", dueS=None), None) == 201
        )
        assert await w.until(lambda: len(w.board.running("run-000002")) == 120, 90)
        assert (await w.call(0, "POST", "/v1/jobs", gang(9)))[0] == 400
        assert any(
            records.value_size_bound(value) > 1200
            for value in w.state.values_with_prefix("r/slice/").values()
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(upgrade_controllers, w, rng, fault)
            await trio.sleep(rng.uniform(1, 20))
            await w.cancel_job("run-000004", 120)
            for n in range(10, 14):
                await w.submit(n % 3, job(n, legs=2, crew="blue", dueS=30.0), 8.0)
        assert await w.until_ready()
        assert all(
            not isinstance(controller, previous_version.PreviousVersionController)
            for controller in w.controllers.values()
        )
        w.state.set_limits(1200, 4)
        assert await w.submit(1, gang(20, 8, crew="blue"), 10.0) in (200, 201)
        assert await w.submit(2, gang(21, 3, crew="blue"), 10.0) in (200, 201)
        await w.finish()
        assert w.state.values_with_prefix("r/gang/") == {}


def test_a_slice_that_outgrew_the_values_is_split_so_that_each_task_is_in_one_record():
    settings = settings_for(0, 1, value_bytes=1200, txn_ops=4)
    view = RecordView()
    attempts = {n: Attempt(7 << 32 | n, f"m-{n:06d}") for n in range(102)}
    large_shard = SliceShard("run-1", "east", "red", SPEC.resources, ((200, 210),), attempts)
    view.put(large_shard.key, large_shard.to_value(), 5)
    job_slice = view.job_slices["east"]["run-1"]
    leadership = Leadership("east", 7, 1, ACCEPTED_AT)
    remaining_shard = replace(
        large_shard,
        attempts={
            task_index: attempt for task_index, attempt in attempts.items() if task_index != 3
        },
        mod_revision=5,
    )
    transaction = TransactionBuilder(view, "east", leadership, settings)
    shards = shard_split.split(transaction, job_slice, remaining_shard, settings.shard_width)
    assert 1 < len(shards) <= 4 and all(transaction.fits(shard) for shard in shards)
    tasks = [
        (task_index, attempt) for shard in shards for task_index, attempt in shard.attempts.items()
    ]
    assert (
        sorted(tasks) == sorted(remaining_shard.attempts.items())
        and len(tasks) == len(dict(tasks)) == 101
    )
    # A shard that one transaction can't split stays whole until fewer of its tasks remain.
    wide_shard = replace(
        large_shard, attempts={n: Attempt(7 << 32 | n, f"m-{n:06d}") for n in range(400)}
    )
    assert (
        shard_split.split(
            TransactionBuilder(view, "east", leadership, settings),
            job_slice,
            wide_shard,
            settings.shard_width,
        )
        == []
    )
