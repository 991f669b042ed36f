"""Combined faults: each pair that the users listed, with the settings of both deployments.

Delays and order are drawn from a seed. The checker, `protocol_rules`, reports whether a rule was
broken, a job was forgotten, or a job was left pending; docs/meetings.md says how the rules are
upheld in each case.
"""

import random

import pytest
import trio

from roadbend.controller import cancellations
from roadbend.fakes.scenario import OBJECTIVES, OPERATOR, SITES, TEAMS, Scenario, job_id, play
from roadbend.fakes.submission import job
from roadbend.fakes.world import world

# The eighteen combinations, in the order of the users' page.


async def a_command_or_its_answer_is_held_up(s: Scenario):
    """Afterwards delayed stop orders arrive late, and delayed responses are dropped."""
    machines = s.east_machines()
    links = [("node-0", m) for m in machines] + [(m, "node-0") for m in machines]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(s.w.hold, s.rng.sample(links, len(links) * 2 // 3), s.rng.uniform(3, 16))
        nursery.start_soon(s.cancel, s.long_jobs[:3], 0.0, 6.0)
        await s.submit_more(30, yard="east")
        await s.submit_more(31, yard="east", rank="production")


async def jobs_of_one_zone_lose_machines(s: Scenario):
    for machine in s.sample_east_machines():
        s.w.cloud.kill(machine)
        await s.wait(0, 2)
    await s.w.hang(s.sample_east_machines(), s.rng.uniform(4, 25))


async def more_work_than_room_over_slow_links(s: Scenario):
    s.w.state.slow = 0.2
    for n in range(30, 42):
        await s.submit_more(
            n,
            legs=3,
            rank=s.rng.choice(("production", "normal", "best_effort")),
            yard=("east", None)[n % 2],
        )
    await s.wait(10, 30)
    s.w.state.slow = 0.0


async def the_state_refuses_the_leader_then_everybody(s: Scenario):
    await s.cancel_around_outage(s.rng.uniform(0.5, 4.0))


async def a_cancellation_meets_the_end(s: Scenario):
    ending = [job_id(n) for n in range(30, 36)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(s.w.cancel_at_end, list(ending))
        for n in range(30, 36):
            await s.submit_more(n)
        nursery.start_soon(s.w.send_malformed_requests, 25, s.rng)


async def a_leader_ends_while_machines_do_not_hear_the_new_one(s: Scenario):
    machines = s.sample_east_machines()
    async with trio.open_nursery() as nursery:
        if s.rng.random() < 0.5:
            nursery.start_soon(s.w.block_inbound, machines, s.rng.uniform(10, 40))
        else:
            pairs = [(f"node-{at}", m) for at in range(3) for m in machines]
            nursery.start_soon(s.w.block_pairs, pairs, s.rng.uniform(10, 40))
        await s.wait(0, 3)
        s.w.crash(0)
        await s.cancel(s.long_jobs[:3], 2.0, 15.0)
        s.w.start(0)


async def a_held_back_report_arrives_at_a_new_leader(s: Scenario):
    machines = s.sample_east_machines()
    links = [(m, f"node-{at}") for m in machines for at in (1, 2)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(s.w.hold, links, s.rng.uniform(14, 28))
        await s.wait(0, 2)
        s.w.crash(0)
        nursery.start_soon(s.cancel, s.long_jobs[:2], 5.0, 20.0)
        await s.wait(25, 30)
    s.w.start(0)


async def all_controllers_are_away_for_longer_than_a_lease(s: Scenario):
    for at in range(3):
        s.w.crash(at)
    await trio.sleep(s.lease_s + s.rng.uniform(1, 12))
    for at in range(3):
        s.w.start(at)
        await s.wait(0, 3)


async def a_zone_is_cut_off_for_longer_than_a_lease(s: Scenario):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(s.w.isolate_zone, 0, s.lease_s + s.rng.uniform(4, 40))
        await s.cancel(s.long_jobs[:3], 0.0, 20.0)


async def old_reports_arrive_after_newer_ones(s: Scenario):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(s.w.replay_heartbeats, 0.5, 60, s.rng)
        await s.wait(1, 8)
        # Leases expire, new attempts start, and copies of older heartbeats still arrive.
        nursery.start_soon(s.w.hang, s.sample_east_machines(), s.lease_s + 3)
        await s.cancel(s.long_jobs[:2], 5.0, 30.0)
        s.w.crash(0)
        await s.wait(0.1, 4)
        s.w.start(0)


async def controllers_hand_over_and_all_end_and_one_returns_within_a_second(s: Scenario):
    s.w.crash(0)
    await s.wait(9, 14)
    s.w.start(0)
    await s.wait(3, 12)
    for at in (0, 1, 2):
        s.w.crash(at)
    await s.wait(0.1, 0.9)
    s.w.start(2)
    await s.wait(0.1, 6)
    s.w.crash(2)
    await s.wait(0.1, 0.5)
    for at in s.rng.sample(range(3), 3):
        s.w.start(at)
        await s.wait(0.1, 4)


async def transactions_are_carried_out_late(s: Scenario):
    s.w.state.late_writes(0.35, s.rng)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(s.cancel, s.long_jobs[:3], 0.0, 20.0)
        for n in range(30, 38):
            await s.submit_more(n)
            await s.wait(0.5, 3)
        s.w.crash(1)
        await s.wait(0.1, 2)
        s.w.start(1)
        await s.wait(5, 15)
    s.w.state.late_writes(0.0, None)
    await trio.sleep(12)
    assert s.w.state.late_statuses


async def leaders_change_ten_times_also_inside_an_outage(s: Scenario):
    async with trio.open_nursery() as nursery:

        async def outages() -> None:
            await s.wait(20, 50)
            await s.w.outage(s.rng.uniform(10, 30))

        nursery.start_soon(outages)
        nursery.start_soon(s.cancel, s.long_jobs[:3], 10.0, 60.0)
        for _ in range(10):
            at = s.rng.randrange(3)
            s.w.crash(at)
            await s.wait(0.1, 3)
            s.w.start(at)
            await s.wait(7, 11)


async def jobs_are_cancelled_at_the_instant_of_the_refusal(s: Scenario):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(s.w.refuse, 0, 14.0)
        await s.wait(0, 0.2)
        nursery.start_soon(s.w.cancel_now, s.long_jobs[:4], s.rng.choice((0.0, 6.0, 20.0)))
        await s.wait(0.7, 1.3)
        await s.w.outage(s.cancel_s + 10)


async def workers_cannot_open_connections(s: Scenario):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(s.w.block_outbound, s.sample_east_machines(), s.rng.uniform(8, 45))
        await s.cancel(s.long_jobs[:3], 0.0, 20.0)


async def tasks_end_far_apart_across_a_change_of_leader(s: Scenario):
    for n in range(30, 34):
        body = job(n, legs=s.rng.choice((2, 3)), dueS=30.0, yard="east" if n % 2 else None)
        for task_index in range(body["legs"]):
            s.w.board.lengths[f"{job_id(n)}/{task_index}"] = 3.0 + 17.0 * task_index
        assert await s.w.submit(n % 3, body) in (200, 201)
    await s.wait(8, 20)
    for at in s.rng.sample(range(3), 2):
        s.w.crash(at)
        await s.wait(0.2, 8)
        s.w.start(at)


async def a_leader_is_left_with_its_workers_and_users(s: Scenario):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(s.w.isolate_controller, 0, s.cancel_s + s.rng.uniform(0, 15))
        await s.wait(0, 12)
        await s.cancel(s.long_jobs[:3], 0.0, 8.0)
        await s.submit_more(30, yard="east")


async def a_team_at_its_limit_meets_machines_that_cannot_be_asked(s: Scenario):
    for n in range(30, 40):
        await s.submit_more(n, legs=3)
    machines = s.sample_east_machines()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            s.w.block_pairs, [(f"node-{at}", m) for at in range(3) for m in machines], 25.0
        )
        await s.wait(0, 2)
        s.w.crash(0)
        await s.cancel([job_id(1), job_id(30)], 1.0, 12.0)
        s.w.start(0)


COMBINED_FAULTS = [
    a_command_or_its_answer_is_held_up,
    jobs_of_one_zone_lose_machines,
    more_work_than_room_over_slow_links,
    the_state_refuses_the_leader_then_everybody,
    a_cancellation_meets_the_end,
    a_leader_ends_while_machines_do_not_hear_the_new_one,
    a_held_back_report_arrives_at_a_new_leader,
    all_controllers_are_away_for_longer_than_a_lease,
    a_zone_is_cut_off_for_longer_than_a_lease,
    old_reports_arrive_after_newer_ones,
    controllers_hand_over_and_all_end_and_one_returns_within_a_second,
    transactions_are_carried_out_late,
    leaders_change_ten_times_also_inside_an_outage,
    jobs_are_cancelled_at_the_instant_of_the_refusal,
    workers_cannot_open_connections,
    tasks_end_far_apart_across_a_change_of_leader,
    a_leader_is_left_with_its_workers_and_users,
    a_team_at_its_limit_meets_machines_that_cannot_be_asked,
]


@pytest.mark.parametrize("seed, site", [(1, "visa"), (2, "pet")])
@pytest.mark.parametrize("faults", COMBINED_FAULTS, ids=lambda faults: faults.__name__)
async def test_no_rule_breaks_in_a_meeting(faults, seed, site):
    await play(faults, seed, site)


# `Scenario.cancel_around_outage`, alone and with an additional fault.


async def alone(s: Scenario):
    pass


async def a_peer_link_is_cut(s: Scenario):
    await s.w.block_pairs([("node-0", s.rng.choice(("node-1", "node-2")))], 40)


async def a_peer_restarts_inside(s: Scenario):
    await s.wait(5, 25)
    at = s.rng.choice((1, 2))
    s.w.crash(at)
    await s.wait(0.1, 3)
    s.w.start(at)


async def machines_hang(s: Scenario):
    await s.w.hang(s.sample_east_machines(), s.rng.uniform(5, 30))


async def machines_are_deaf(s: Scenario):
    await s.w.block_inbound(s.sample_east_machines(), s.rng.uniform(5, 30))


async def machines_are_mute(s: Scenario):
    await s.w.block_outbound(s.sample_east_machines(), s.rng.uniform(5, 30))


async def the_old_leader_stands_still(s: Scenario):
    """Delay all messages to and from the old leader, then deliver them at once."""
    others = ["node-1", "node-2", *s.east_machines()]
    links = [(o, "node-0") for o in others] + [("node-0", o) for o in others]
    await s.wait(1, 6)
    await s.w.hold(links, s.rng.uniform(3, 14))


async def more_cancellations_than_a_pulse_holds(s: Scenario):
    pass


ADDITIONAL_FAULTS = [
    alone,
    a_peer_link_is_cut,
    a_peer_restarts_inside,
    machines_hang,
    machines_are_deaf,
    machines_are_mute,
    the_old_leader_stands_still,
    more_cancellations_than_a_pulse_holds,
]


@pytest.mark.parametrize("site", ["visa", "pet"])
@pytest.mark.parametrize(
    "additional_fault", ADDITIONAL_FAULTS, ids=lambda additional_fault: additional_fault.__name__
)
async def test_the_gap_leaves_nothing_cancelled_on_a_machine(additional_fault, site, monkeypatch):
    if additional_fault is more_cancellations_than_a_pulse_holds:
        monkeypatch.setattr(cancellations, "MAX_CANCELLATIONS", 2)
    rng = random.Random(f"{additional_fault.__name__} {site}")
    async with world(
        capacity=10, operator=OPERATOR, teams=TEAMS, objectives=OBJECTIVES, **SITES[site]
    ) as w:
        scenario = Scenario(w, rng, site)
        await scenario.begin()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(additional_fault, scenario)
            await scenario.cancel_around_outage(rng.uniform(0.3, 4.0))
        assert await w.until_ready()
        await w.finish()


@pytest.mark.parametrize("site", ["visa", "pet"])
async def test_a_peer_that_began_anew_does_not_vouch_for_what_its_former_life_told(site):
    """A peer confirms a cancellation that no other controller receives, and terminates.

    It restarts during the outage with an empty list of cancellations. The leader can't read the
    records, and must not keep renewing workers' leases because of that list.
    """
    async with world(teams=TEAMS, **SITES[site]) as w:
        body = job(1, shape="daemon", yard="east", dueS=None)
        assert await w.submit(1, body, None) == 201
        assert await w.until(lambda: w.board.running(job_id(1)), 60)
        await trio.sleep(6)
        cancel_s = SITES[site]["cancel_within"].total_seconds()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(w.refuse, 0, 30.0)
            nursery.start_soon(w.block_pairs, [("node-0", "node-1")], 5.0)
            await trio.sleep(0.5)
            status, answer = await w.call(1, "POST", f"/v1/jobs/{job_id(1)}/withdraw", {})
            assert (status, answer["status"]) == (200, "aborted")
            w.crash(1)
            nursery.start_soon(w.outage, cancel_s + 20)
            await trio.sleep(2)
            w.start(1)
        assert w.rules.jobs[job_id(1)].cancelled_at is not None
        await w.finish()


async def test_owners_hear_of_a_cancellation_before_its_user_does():
    """A start is recorded, and its order waits for the machine's next heartbeat.

    At that moment the state store refuses the leader, and another controller confirms that the job
    is cancelled.
    """
    async with world(teams=TEAMS) as w:
        assert (
            await w.submit(1, job(1, shape="daemon", yard="east", dueS=None, loaners=False), None)
            == 201
        )
        assert await w.until(lambda: w.board.running(job_id(1)), 60)
        await trio.sleep(5)
        for n in range(30, 42):
            changes = {"legs": 1, "yard": "east", "dueS": 5.0, "loaners": False, "vcpus": 2.0}
            assert await w.submit(1, job(n, **changes), 60.0) == 201
            assert await w.until(
                lambda n=n: f"r/slice/east/{job_id(n)}/0" in w.state.values_with_prefix("r/slice/"),
                3,
                0.01,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(w.refuse, 0, 3.0)
                if n % 2:
                    nursery.start_soon(
                        w.block_pairs, [("node-0", "node-1"), ("node-0", "node-2")], 3.0
                    )
                assert (await w.call(1, "POST", f"/v1/jobs/{job_id(n)}/withdraw", {}))[0] == 200
            await trio.sleep(2 + n * 0.37 % 2.5)
        await w.finish()
