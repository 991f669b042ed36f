"""The injected faults have the documented effects, and the checker finds each broken rule."""

import random
from datetime import timedelta

import pytest
import trio

from roadbend.checkers.observed_jobs import Place
from roadbend.checkers.protocol_rules import Rules
from roadbend.fakes.board import Board
from roadbend.fakes.network import Network
from roadbend.fakes.platform import MACHINE_TYPE
from roadbend.fakes.state import FakeStateService
from roadbend.fakes.submission import gang, job
from roadbend.fakes.worker_tasks import WorkerSettings, WorkerTasks
from roadbend.fakes.world import World, world
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.server import Server
from roadbend.settings import Team

EAST, WEST = Place("m-1", "g2", "east", False), Place("m-2", "g2", "west", False)
NAME, PATH = "run-000001", "/v1/jobs/run-000001"


class Harness:
    """A rules' checker with one accepted job and an adjustable clock."""

    def __init__(self, **changes):
        self.now = 0.0
        teams = [Team("red", 0, 0, 4, 6), Team("blue", 0, 0, 4, 12)]
        self.rules = Rules([MACHINE_TYPE], teams, 38.0, lambda: self.now)
        self.body = job(1, **changes)
        self.submit(self.body, 201)

    def submit(self, body: dict, status: int) -> None:
        self.rules.record_submission(body)
        self.rules.check_answer("POST", "/v1/jobs", body, status, {"status": "pending"}, self.now)

    def query(
        self,
        job_status: str | None,
        status: int = 200,
        began: float | None = None,
        path: str = PATH,
    ) -> None:
        answer = {"status": job_status} if status == 200 else None
        began = self.now if began is None else began
        self.rules.check_answer("GET", path, None, status, answer, began)

    def withdraw(self) -> None:
        self.rules.record_cancellation_request(PATH + "/withdraw")
        self.rules.check_answer(
            "POST", PATH + "/withdraw", {}, 200, {"status": "aborted"}, self.now
        )

    def broken(self) -> set[str]:
        return {text.split(" ")[0] for text in self.rules.broken}


def check(harness: Harness, at: float, machines=(), hung=()) -> None:
    harness.now = at
    harness.rules.check(set(hung), list(machines))


FREE_MACHINE = (EAST, (24.0, 2.0, 144.0))


def breach_twice(h):
    h.rules.check_start(f"{NAME}/0", EAST)
    h.rules.check_start(f"{NAME}/0", WEST)


def breach_quota(h):
    for n in range(2, 9):
        h.submit(job(n), 201)
        h.rules.check_start(f"run-{n:06d}/0", Place(f"m-{n}", "g2", "east", False))


def breach_place(h):
    h.submit(job(2, yard="west"), 201)
    h.rules.check_start("run-000002/0", EAST)


def breach_spot(h):
    h.submit(job(2, loaners=False), 201)
    h.rules.check_start("run-000002/0", Place("m-1", "g2", "east", True))


def breach_together(h):
    h.submit(job(2, legs=2, together=True), 201)
    h.rules.check_start("run-000002/0", EAST)
    h.rules.check_start("run-000002/1", WEST)


def breach_apart(h):
    h.submit(job(2, legs=2, apart=True), 201)
    h.rules.check_start("run-000002/0", EAST)
    h.rules.check_start("run-000002/1", Place("m-3", "g2", "east", False))


def breach_cancelled(h):
    h.rules.check_start(f"{NAME}/0", EAST)
    h.withdraw()
    check(h, 37.0)
    assert h.broken() == set()
    check(h, 38.5)


def breach_started_late(h):
    h.withdraw()
    h.now = 1.0
    h.rules.check_start_order(f"{NAME}/0", "m-1")


def breach_forgotten(h):
    h.now = 1.0
    h.query(None, 404)


def breach_repeat_refused(h):
    h.now = 1.0
    h.submit({**h.body, "vcpus": -1}, 400)


def breach_unanswered(h):
    h.rules.mark_faults_ended()
    for at in range(0, 70, 10):
        h.now = float(at)
        h.query(None, 503)
    check(h, 74.0)
    assert h.broken() == set()
    check(h, 76.0)


def breach_invented(h):
    h.query("pending", path="/v1/jobs/run-000777")


def breach_not_done(h):
    h.query("done")


def breach_back(h):
    h.rules.record_completion(f"{NAME}/0")
    h.query("done")
    h.now = 1.0
    h.query("running")


def breach_cancelled_by_nobody(h):
    h.query("aborted")


def breach_both(h):
    h.rules.record_completion(f"{NAME}/0")
    h.withdraw()
    h.now = 1.0
    h.query("done")


def breach_waiting(h):
    h.rules.mark_faults_ended()
    for at in range(0, 90, 5):
        h.query("pending")
        check(h, float(at), [FREE_MACHINE])
        assert h.broken() == set()
    h.query("pending")
    check(h, 92.0, [FREE_MACHINE])


def breach_unfit(h):
    h.submit(job(2, vcpus=25.0), 201)


def breach_lacking(h):
    body = job(2)
    del body["loaners"]
    h.submit(body, 201)


@pytest.mark.parametrize(
    "breach, rule",
    [
        (breach_twice, "ran_twice"),
        (breach_quota, "quota"),
        (breach_place, "wrong_place"),
        (breach_spot, "wrong_place"),
        (breach_together, "wrong_place"),
        (breach_apart, "wrong_place"),
        (breach_cancelled, "ran_cancelled"),
        (breach_started_late, "ran_cancelled"),
        (breach_forgotten, "forgotten"),
        (breach_repeat_refused, "forgotten"),
        (breach_unanswered, "forgotten"),
        (breach_invented, "invented"),
        (breach_not_done, "not_done"),
        (breach_back, "went_back"),
        (breach_cancelled_by_nobody, "went_back"),
        (breach_both, "went_back"),
        (breach_waiting, "left_waiting"),
        (breach_unfit, "accepted_unfit"),
        (breach_lacking, "accepted_lacking"),
    ],
)
def test_the_judge_sees_each_breach(breach, rule):
    harness = Harness()
    breach(harness)
    assert harness.broken() == {rule}


def test_the_judge_lets_pass_what_the_page_permits():
    h = Harness(legs=2)
    # A query that began before the cancellation was confirmed may return an older state. A task is
    # removed from its old machine before it starts on the next.
    h.rules.check_start(f"{NAME}/0", EAST)
    h.rules.record_removal(f"{NAME}/0", "m-1")
    h.rules.check_start(f"{NAME}/0", WEST)
    h.now = 5.0
    h.withdraw()
    h.now = 6.0
    h.query("running", began=4.0)
    # A task on a hung machine does nothing. No job counts as left waiting if its team is at its
    # limit or no machine has free capacity for it.
    check(h, 60.0, hung=["m-2"])
    h.rules.record_removal(f"{NAME}/0", "m-2")
    for n in range(2, 9):
        h.submit(job(n), 201)
    for n in range(2, 8):
        h.rules.check_start(f"run-{n:06d}/0", Place(f"m-{n}", "g2", "east", False))
    h.rules.mark_faults_ended()
    for at in range(60, 200, 5):
        h.now = float(at)
        for n in range(2, 9):
            h.query("pending", path=f"/v1/jobs/run-{n:06d}")
        check(h, float(at), [FREE_MACHINE])
    assert h.rules.broken == []


async def test_a_late_transaction_comes_after_newer_ones_and_fails_on_its_conditions():
    state, body = (
        FakeStateService(),
        {"when": [{"path": "a", "stamp": 0}], "apply": [{"write": "a", "value": 1}]},
    )
    async with trio.open_nursery() as nursery:
        network = Network(nursery)
        w = Serving(network, state)
        state.late_writes(1.0, random.Random(1))
        with pytest.raises(NoAnswerError):
            await w.send("POST", "/multi", body, 1)
        assert state.value("a") is None
        state.late_writes(0.0, None)
        assert (await w.send("POST", "/multi", {**body, "apply": [{"write": "a", "value": 2}]}, 1))[
            0
        ] == 200
        await trio.sleep(13)
        assert (await w.send("GET", "/keys/a", None, 1))[1]["value"] == 2
        assert state.late_statuses == [409]
        nursery.cancel_scope.cancel()


class Serving:
    """A service on a network, and a client for it."""

    def __init__(self, network: Network, service):
        async def accept(stream, source):
            await Server(lambda request: service.handle(request, source), max_connections=16).serve(
                stream
            )

        network.register("state:1", "state", accept)
        self._network = network

    async def send(self, method, path, body, within):
        client = Client(self._network.port("user"), "state:1")
        try:
            return await client.request(method, path, body, within=timedelta(seconds=within))
        finally:
            await client.close()


async def test_what_is_held_back_arrives_after_its_sender_has_given_up():
    state = FakeStateService()
    async with trio.open_nursery() as nursery:
        network = Network(nursery)
        w = Serving(network, state)
        network.hold("user", "state")
        with pytest.raises(NoAnswerError):
            await w.send("POST", "/multi", {"apply": [{"write": "a", "value": 1}]}, 2)
        await trio.sleep(5)
        assert state.value("a") is None
        network.release("user", "state")
        await trio.sleep(0.1)
        assert state.value("a") == 1
        nursery.cancel_scope.cancel()


async def started(w: World, **changes) -> tuple[str, object]:
    """Start a service; return its machine and worker."""
    assert await w.submit(0, job(1, shape="daemon", dueS=None, **changes), None) == 201
    assert await w.until(lambda: w.board.running(NAME), 60)
    machine = next(iter(w.board.machines_by_task[f"{NAME}/0"]))
    await trio.sleep(6)
    return machine, w.cloud.machines[machine].worker


@pytest.mark.parametrize("fault", ["deaf", "mute", "hang", "held"])
async def test_troubles_of_a_machine(fault):
    """Guards against faults that let through more or less traffic than they are to."""
    async with world(count=1) as w:
        w.cloud.refuse_deletion = True
        machine, worker = await started(w)
        epoch, sequence, machine_state = (
            worker.epoch,
            worker.sequence,
            w.controllers["node-0"].leaders["east"].machines[machine],
        )
        run = {
            "deaf": lambda: w.block_inbound([machine], 16),
            "mute": lambda: w.block_outbound([machine], 16),
            "hang": lambda: w.hang([machine], 16),
            "held": lambda: w.hold([(machine, "node-0")], 16),
        }[fault]
        client = Client(w.network.port("node-0"), worker.address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            before = machine_state.contact.position
            await trio.sleep(8)
            # Heartbeats arrive only from a machine whose inbound traffic is blocked. Commands reach
            # machines that can't open connections or whose packets are held back; the answers of
            # the latter are held back, too.
            assert (machine_state.contact.position > before) == (fault == "deaf")
            answered = True
            try:
                await client.request("GET", "/inspect", within=timedelta(seconds=1))
            except NoAnswerError:
                answered = False
            assert answered == (fault in ("mute",))
            assert w.board.running(NAME) == [f"{NAME}/0"] and worker.hung == (fault == "hang")
        await client.close()
        await trio.sleep(0.2)
        if fault != "held":
            # A lease that has not expired continues.
            assert worker.epoch == epoch and worker.sequence > sequence
        await trio.sleep(30)


async def test_a_machine_that_hung_beyond_its_lease_has_lost_its_tasks_when_it_goes_on():
    async with world(count=1) as w:
        w.cloud.refuse_deletion = True
        machine, worker = await started(w)
        epoch = worker.epoch
        await w.hang([machine], 20)
        await trio.sleep(0.3)
        assert worker.epoch == epoch + 1 and machine not in w.board.machines_by_task.get(
            f"{NAME}/0", set()
        )


async def test_copies_of_reports_arrive_again_and_are_nobodys_news():
    async with world(count=1) as w:
        await started(w)
        statuses, original_handle = [], w.controllers["node-0"].fleet.handle_heartbeat

        async def handle_heartbeat(request):
            answer = await original_handle(request)
            statuses.append(answer.status)
            return answer

        w.controllers["node-0"].fleet.handle_heartbeat = handle_heartbeat
        await w.replay_heartbeats(1.0, 20, random.Random(2))
        await trio.sleep(45)
        assert (
            statuses.count(503) >= 5
            and w.board.running(NAME) == [f"{NAME}/0"]
            and len(w.board.starts) == 1
        )


async def test_users_call_off_at_once_and_at_the_end_and_send_odd_things():
    async with world(count=1, capacity=20) as w:
        for n in range(1, 5):
            assert await w.submit(0, job(n, crew="blue", dueS=20.0), 60.0 if n < 4 else 8.0) == 201
        assert await w.until(lambda: all(w.board.running(f"run-{n:06d}") for n in range(1, 4)), 60)
        ended: list[str] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(w.cancel_at_end, ["run-000004"])
            began = trio.current_time()
            await w.cancel_now(["run-000001", "run-000002"], 6.0)
            assert {
                w.rules.jobs[n].cancelled_at - began < 1.0 for n in ("run-000001", "run-000002")
            } == {True}
            assert trio.current_time() - began > 5.9
            await w.send_malformed_requests(20, random.Random(3))
        assert w.rules.jobs["run-000004"].has_ended and not ended
        malformed = [job for job_id, job in w.rules.jobs.items() if job_id >= "run-900000"]
        assert malformed and all(job.accepted_at is None for job in malformed)
        await w.finish()


async def test_a_controller_that_runs_is_not_started_a_second_time():
    """Guards against two processes of one controller, which DEPLOY rules out.

    Two combined faults crashed the same controller, and each started it again. The two processes
    then acquired their partition from each other forever (pairs of faults, seed 2, with a third of
    the execution orders of trio's tasks: `left_waiting`).
    """
    async with world() as w:
        w.crash(1)
        running = w.start(1)
        assert w.start(1) is running
        assert await w.until_ready()
        await trio.sleep(20)
        assert w.controllers["node-1"].election.leadership("north").term == 2


async def test_a_task_that_is_stopped_in_the_instant_of_its_start_stays_ended():
    """Guards against a gang's task that is first reported as ended and then as waiting.

    When a machine continues after a hang, it executes a held start and stop at one instant.
    """
    async with world(caches_images=True) as w:
        w.rules.record_submission(gang(1, 2))
        assert await w.submit(0, job(2, shape="daemon", dueS=None), None) == 201
        assert await w.until(lambda: w.board.running("run-000002"), 60)
        worker = w.workers()[0]
        task = {"leg": "run-000001/0", "try": 7}
        worker.execute([{"verb": "run", **task}, {"verb": "kill", "windDownS": 0, **task}])
        await trio.sleep(0.3)
        assert worker.tasks["run-000001/0", 7].ended


def tasks_of_a_worker(board: Board, place: Place, nursery: trio.Nursery) -> WorkerTasks:
    """Return the tasks of a worker that never hangs and reports to nobody."""

    async def never_hung() -> None:
        pass

    settings = WorkerSettings(caches_images=True)
    tasks = WorkerTasks(
        board,
        place,
        settings,
        wait_while_hung=never_hung,
        is_hung=lambda: False,
        on_change=lambda: None,
    )
    tasks.nursery = nursery
    return tasks


async def test_a_second_attempt_of_a_task_that_is_on_the_machine_is_refused_as_busy():
    board, task = Board(Harness().rules), f"{NAME}/0"
    async with trio.open_nursery() as nursery:
        worker = tasks_of_a_worker(board, EAST, nursery)
        worker.execute([{"verb": "run", "leg": task, "try": attempt} for attempt in (7, 8)])
        assert worker.tasks[task, 8].cause == "busy" and not worker.tasks[task, 7].ended
        worker.end(worker.tasks[task, 7], "stopped")
        worker.execute([{"verb": "run", "leg": task, "try": 9}])
        assert not worker.tasks[task, 9].ended
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("first, second", [(EAST, EAST), (EAST, WEST)], ids=["there", "elsewhere"])
async def test_a_completed_task_that_is_started_again_exits_once_it_has_its_image(first, second):
    """Guards against a second full run of a completed task, which broke its team's limit.

    The worker had lost the completed task with its lease, and the task was started again. The limit
    was exceeded once a delayed heartbeat had reported the first completion (search, seed 60).
    """
    board, task, key = Board(Harness(legs=2).rules), f"{NAME}/0", (f"{NAME}/0", 7)
    board.lengths[NAME] = 20.0
    run = [{"verb": "run", "leg": task, "try": 7}]
    async with trio.open_nursery() as nursery:
        worker = tasks_of_a_worker(board, first, nursery)
        worker.execute(run)
        await trio.sleep(20.9)
        assert worker.tasks[key].state == "running" and board.running(NAME)
        await trio.sleep(0.2)
        assert worker.tasks[key].cause == "done" and not board.running(NAME)
        worker.wipe()
        again = worker if second is first else tasks_of_a_worker(board, second, nursery)
        again.execute(run)
        await trio.sleep(0.1 if again is worker else 0.9)
        assert again is worker or again.tasks[key].state == "fetching"
        await trio.sleep(0.2)
        assert again.tasks[key].cause == "done" and not board.running(NAME)
        # The second start is still recorded.
        assert [machine for _, _, machine in board.starts] == [first.machine, second.machine]
        assert board.rules.broken == []


async def test_a_task_that_has_not_completed_runs_for_its_whole_length_when_it_is_started_again():
    board, key = Board(Harness(legs=2).rules), (f"{NAME}/1", 8)
    board.lengths[NAME] = 20.0
    async with trio.open_nursery() as nursery:
        worker = tasks_of_a_worker(board, EAST, nursery)
        worker.execute([{"verb": "run", "leg": f"{NAME}/0", "try": 7}])
        worker.execute([{"verb": "run", "leg": f"{NAME}/1", "try": 7}])
        await trio.sleep(15)
        worker.execute([{"verb": "kill", "leg": f"{NAME}/1", "try": 7, "windDownS": 0}])
        await trio.sleep(10)
        worker.execute([{"verb": "run", "leg": f"{NAME}/1", "try": 8}])
        await trio.sleep(19.9)
        assert worker.tasks[key].state == "running"
        await trio.sleep(0.2)
        assert worker.tasks[key].cause == "done"


async def test_no_task_of_a_gang_gathers_once_one_of_them_has_completed():
    board, key = Board(Harness(shape="group", legs=2).rules), (f"{NAME}/1", 8)
    board.record_completion(f"{NAME}/0")
    async with trio.open_nursery() as nursery:
        worker = tasks_of_a_worker(board, EAST, nursery)
        worker.execute([{"verb": "run", "leg": key[0], "try": 8}])
        await trio.sleep(1.1)
        assert worker.tasks[key].cause == "done" and not board.running(NAME)


@pytest.mark.parametrize(
    ("change", "executed"), [("none", True), ("token", False), ("epoch", False), ("restart", True)]
)
async def test_a_copy_of_an_executed_command_arrives_once_at_whatever_worker_runs_by_then(
    change, executed
):
    """Guards against a copy that ends with its connection, or ignores the token or the epoch."""
    async with world(count=1, caches_images=True) as w:
        machine, worker = await started(w)
        w.network.block_outbound(machine)
        w.nursery.start_soon(w.repeat_commands, 1.0, 0.5, random.Random(3))
        command = {"baton": worker.token, "stint": worker.epoch, "orders": []}
        client = Client(w.network.port("node-0"), worker.address)
        answer = await client.request("POST", "/commands", command, within=timedelta(seconds=1))
        await client.close()
        assert answer[0] == 200
        if change == "restart":
            w.cloud.reboot(machine)
            await trio.sleep(0.01)
        latest, results = w.cloud.machines[machine].worker, []
        assert (latest is worker) == (change != "restart")
        latest.lease.token += change == "token"
        latest.lease.epoch += change == "epoch"
        receive_copy = latest.receive_copy

        async def record_copy(body):
            results.append((body, await receive_copy(body)))

        latest.receive_copy = record_copy
        await trio.sleep(1.9)
        assert results == []
        await trio.sleep(14.2)
        assert results == [(command, executed)]
