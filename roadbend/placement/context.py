"""What a controller's partitions have in common, and what teams' limits and guarantees leave
them."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.autoscaler.cloud import MachineType
from roadbend.observer import Observer
from roadbend.partitions.election import LeaderElection
from roadbend.placement import quota_allowance
from roadbend.placement.recovery_hooks import Recovery
from roadbend.settings import OperatorSettings, PlatformSettings
from roadbend.store.client import StateStoreClient
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView
from roadbend.store.records import Job, JobSpec

# For how many times as long as it took to work out a layout or a round of hiring it serves, with a
# whole core.
REST = 12
# Most cancellations remembered that peers told of, beside those whose jobs the records still name
# as live.
MAX_CANCELLED = 16_384
# Job classes of which something is remembered.
MAX_CLASSES = 256
# Where no aim says otherwise, a job's own deadline counts, once.
NO_DEADLINES = (1.0,)


@dataclass
class ControllerContext:
    """What a controller's partitions have in common."""

    settings: PlatformSettings
    operator: OperatorSettings
    state: StateStoreClient
    view: RecordView
    reader: RecordReader
    election: LeaderElection
    machine_types: dict[str, MachineType] = field(default_factory=dict)
    # Jobs that a peer told its user are cancelled, before the records say so here.
    cancelled: OrderedDict[str, datetime] = field(default_factory=OrderedDict)
    # Who is within its team's guarantee; it changes only when a job comes or goes.
    guarantee: tuple[int, set[str]] = (-1, set())
    # Jobs that have waited too long without beginning, by team, and when that was last looked at.
    overdue_jobs: dict[str, dict[str, int]] = field(default_factory=dict)
    overdue_at: datetime = clock.ORIGIN
    # Machines that we deleted lately; the cloud's list goes on showing them for a while.
    deleted: OrderedDict[str, datetime] = field(default_factory=OrderedDict)
    # By job class, at which times of the due time its aims count: the settings say so once.
    _deadlines: dict[str, tuple[float, ...]] = field(default_factory=dict)
    # By job class, how long tasks ran over how long their owner said, learnt as they end.
    factors: dict[str, float] = field(default_factory=dict)
    # Asked before records that may not match the machines yet are acted on.
    recovery: Recovery = field(default_factory=Recovery)
    # Told what happens to jobs and attempts.
    observer: Observer = field(default_factory=Observer)

    def rest(self, took: timedelta) -> timedelta:
        """For how long what took so long to work out serves before it is worked out anew. Of a core
        of which we have a quarter it may take a quarter of what it might of a whole one; a
        controller that holds the parts of others, too, looks at each of them less often. So reports
        are still answered."""
        return took * (REST / self.settings.cpu * max(1, len(self.election.leaderships)))

    def cancel(self, jobs: Iterable[str]) -> bool:
        """Takes in what peers told their users; says whether any of it is news. Once the records
        have ceased to name a job as live they say it all, so only those beyond the bound that they
        don't name are dropped: one that still runs here is never forgotten, however many are called
        off in an outage."""
        now, news = clock.now(), [job for job in jobs if job not in self.cancelled]
        for job in news:
            self.cancelled[job] = now
        if len(self.cancelled) > MAX_CANCELLED and news:
            for job in [job for job in self.cancelled if job not in self.view.jobs]:
                if len(self.cancelled) <= MAX_CANCELLED:
                    break
                del self.cancelled[job]
        return bool(news)

    def factor(self, job_class: str) -> float:
        return self.factors.get(job_class, 1.0)

    def start_within(self, spec: JobSpec) -> timedelta | None:
        """How soon a task should start, where an aim says so, of its class or of work in a
        guarantee."""
        rows = [
            o.within
            for o in self.settings.objectives
            if o.within is not None
            and (o.kind == "wait" and o.job_class == spec.job_class or o.kind == "guarantee")
        ]
        return min(rows, default=None) if spec.service or spec.gang else None

    def deadlines(self, spec: JobSpec) -> tuple[float, ...]:
        """The times of its due time at which a job's aims count, the first one first."""
        found = self._deadlines.get(spec.job_class)
        if found is None:
            rows = {
                o.times
                for o in self.settings.objectives
                if o.kind == "deadline" and o.job_class == spec.job_class
            }
            found = tuple(sorted(x for x in rows if x >= 1.0)) or NO_DEADLINES
            if len(self._deadlines) >= MAX_CLASSES:
                self._deadlines.clear()
            self._deadlines[spec.job_class] = found
        return found

    def patience(self, spec: JobSpec, boot: timedelta) -> timedelta:
        """How long a service may be held back from machines on which it is dear."""
        within = self.start_within(spec)
        spare = (within - boot * 1.1) / 2 if within is not None else clock.ZERO
        return max(self.operator.dear_wait, spare)

    def learn(self, job: Job, ran: timedelta) -> None:
        if job.spec.expected_duration > timedelta(seconds=1):
            x = min(4.0, max(0.25, ran / job.spec.expected_duration))
            self.factors[job.spec.job_class] = 0.93 * self.factor(job.spec.job_class) + 0.07 * x
            while len(self.factors) > MAX_CLASSES:
                self.factors.pop(next(iter(self.factors)))

    def guaranteed(self) -> set[str]:
        if self.guarantee[0] != self.view.membership:
            self.guarantee = (
                self.view.membership,
                within_guarantee(self.view.jobs.values(), self.settings),
            )
        return self.guarantee[1]

    def begun(self, job: Job) -> bool:
        rows = (job_slices.get(job.id) for job_slices in self.view.job_slices.values())
        return bool(job.done) or any(
            job_slice is not None and (job_slice.attempts or job_slice.done) for job_slice in rows
        )

    def overdue(self, now: datetime) -> dict[str, dict[str, int]]:
        """Team -> jobs that have begun nothing for long, with their priority. Whatever the order of
        work is, such a job comes next, and other partitions leave its team's room to it; but not
        for ever, for it may be one that no machine can be had for."""
        if now - self.overdue_at >= timedelta(seconds=1):
            self.overdue_at, wall, limit = now, clock.wall(), self.operator.begin_within
            self.overdue_jobs = {}
            for job in self.view.jobs.values():
                if (
                    limit <= wall - job.submitted_at < limit * 3
                    and job.id not in self.cancelled
                    and not self.begun(job)
                ):
                    self.overdue_jobs.setdefault(job.spec.team, {})[job.id] = job.spec.priority
        return self.overdue_jobs

    def limits(self, team: str) -> tuple[float, float] | None:
        """A team's most cores and GPUs; None for a team that we don't know."""
        row = self.settings.teams.get(team)
        return None if row is None else (row.cpus_max or float("inf"), row.gpus_max or float("inf"))

    def most_for(self, team: str, partition: str) -> tuple[float, float] | None:
        """What a partition may use for a team at most: the limit less what other partitions have
        set aside."""
        most = self.limits(team)
        if most is None:
            return None
        use = self.view.quotas.get(team)
        others = [row for name, row in use.partitions.items() if name != partition] if use else []
        return most[0] - sum(c for c, _ in others), most[1] - sum(g for _, g in others)

    def room_left(self, spec: JobSpec, partition: str) -> int:
        """How many more of a job's tasks its team's limit lets a partition start."""
        most = self.most_for(spec.team, partition)
        if most is None:
            return 0
        used = self.view.usage.get(partition, {}).get(spec.team, (0.0, 0.0))
        return quota_allowance.tasks_within(
            quota_allowance.QuotaAmount(most[0] - used[0], most[1] - used[1]), spec.resources
        )


def within_guarantee(jobs: Iterable[Job], settings: PlatformSettings) -> set[str]:
    """Jobs that fit into their team's guarantee together with its earlier unfinished jobs."""
    used: dict[str, list[float]] = {}
    out = set()
    for job in sorted(jobs, key=lambda j: (j.submitted_at, j.id)):
        team = settings.teams.get(job.spec.team)
        if team is None:
            continue
        sums = used.setdefault(team.name, [0.0, 0.0])
        total = job.spec.resources.times(job.spec.task_count)
        sums[0] += total.cpus
        sums[1] += total.gpus
        fits = (team.cpus <= 0 or sums[0] <= team.cpus) and (team.gpus <= 0 or sums[1] <= team.gpus)
        if fits and (team.cpus > 0 or team.gpus > 0):
            out.add(job.id)
    return out
