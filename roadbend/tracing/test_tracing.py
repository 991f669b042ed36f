"""Spans of jobs and recoveries, their export, and collectors that fail."""

import json
import subprocess
import sys
import time
from datetime import UTC, datetime, timedelta

import pytest
import trio
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter

from roadbend.fakes.collector import FakeCollector
from roadbend.fakes.submission import job
from roadbend.fakes.world import world
from roadbend.fleet.terminations import Termination
from roadbend.recovery.service import install as install_recovery
from roadbend.recovery.settings import RecoverySettings
from roadbend.settings import SettingsError
from roadbend.store.records import Attempt, Job, JobSpec, Resources
from roadbend.tracing.export import FileExporter
from roadbend.tracing.ids import attempt_ids, job_ids, read_trace_parent, recovery_ids
from roadbend.tracing.settings import TracingSettings, load
from roadbend.tracing.switch import Tracing, create_exporters, install

S = timedelta(seconds=1)
AT = datetime(2026, 1, 1, tzinfo=UTC)
SPEC = JobSpec(
    "red", "plans", False, 1, 1, Resources(1, 1, 1), None, None, False, False, True, "i", 1.0,
    S, S, S, None,
)  # fmt: skip
JOB = Job("run-000001", SPEC, AT)


def tracing_to(*exporters, **changes) -> Tracing:
    settings = TracingSettings(**{"export_every": 0.05 * S, **changes})
    return Tracing("east", "node-0", settings, list(exporters))


def end_job(tracing: Tracing, number: int = 1) -> None:
    tracing.recorder.job_ended(Job(f"run-{number:06d}", SPEC, AT), "done")


def until(check, seconds: float = 10) -> bool:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return True
        time.sleep(0.01)
    return False


@pytest.fixture
def collector():
    fake = FakeCollector()
    yield fake
    fake.close()


def test_ids_follow_from_records_alone():
    ids = job_ids("run-000001", 5)
    assert ids == job_ids("run-000001", 5) and ids != job_ids("run-000001", 6)
    assert attempt_ids(ids, 0, 1, "m").trace == ids.trace
    assert recovery_ids("east", 3) != recovery_ids("east", 4)
    assert read_trace_parent(ids.trace_parent()) == ids


@pytest.mark.parametrize(
    "header",
    [
        "",
        "00",
        "00-" + "0" * 32 + "-" + "1" * 16 + "-01",
        "00-" + "1" * 32 + "-" + "0" * 16 + "-01",
        "01-" + "1" * 32 + "-" + "1" * 16 + "-01",
        "00-" + "G" * 32 + "-" + "1" * 16 + "-01",
        "x" * 100_000,
    ],
)
def test_nonsense_trace_parents_are_ignored_and_counted(header):
    tracing = tracing_to(InMemorySpanExporter())
    tracing.recorder.job_accepted(JOB, header)
    assert read_trace_parent(header) is None and tracing.recorder.malformed_headers == 1


def test_a_collector_gets_spans_with_their_ids_times_and_resource(collector):
    tracing = tracing_to(*create_exporters(TracingSettings(collector=collector.url)))
    recorder = tracing.recorder
    user_trace_parent = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"
    recorder.job_accepted(JOB, user_trace_parent)
    recorder.attempt_recorded("east", JOB, 0, Attempt(7, "m-1"))
    recorder.attempt_ended("east", JOB.id, 0, Termination(7, "m-1", False, "error"))
    end_job(tracing)
    assert until(lambda: len(collector.spans) == 3)
    spans = {span.name: span for span in collector.spans}
    root = spans["job"]
    ids = job_ids(JOB.id, int(AT.timestamp() * 1000))
    assert (root.trace_id.hex(), root.span_id.hex()) == (f"{ids.trace:032x}", f"{ids.span:016x}")
    assert {span.trace_id for span in collector.spans} == {root.trace_id}
    assert spans["attempt"].parent_span_id == spans["job.accept"].parent_span_id == root.span_id
    assert spans["job.accept"].links[0].trace_id.hex() == "a" * 32
    attributes = {row.key: row.value.string_value for row in spans["attempt"].attributes}
    assert attributes["error.type"] == "error" and attributes["host.id"] == "m-1"
    assert collector.resources[0]["service.instance.id"] == "node-0"
    assert collector.problems == []


@pytest.mark.parametrize("fault", ["hangs", "refuses", "vanished"])
def test_a_bad_collector_delays_nothing_and_what_is_lost_is_counted(collector, fault):
    if fault == "hangs":
        collector.hang.clear()
    elif fault == "refuses":
        collector.status = 400
    else:
        collector.close()
    settings = TracingSettings(collector=collector.url, export_within=0.5 * S)
    tracing = tracing_to(*create_exporters(settings), queue_most=32, batch_most=8)
    (processor,) = tracing.processors
    began = time.monotonic()
    for number in range(500):
        end_job(tracing, number)
    assert time.monotonic() - began < 2
    assert processor.pending <= 32
    assert until(lambda: processor.failed > 0, 15)
    accounted_for = processor.exported + processor.failed + processor.dropped + processor.pending
    assert accounted_for == 500 and processor.exported == 0 and processor.dropped >= 400


def test_all_controllers_choose_the_same_jobs():
    exporters = [InMemorySpanExporter(), InMemorySpanExporter()]
    for exporter in exporters:
        tracing = tracing_to(exporter, share=0.3)
        for number in range(200):
            end_job(tracing, number)
        tracing.processors[0].force_flush()
    first, second = [
        {span.attributes["roadbend.job.id"] for span in exporter.get_finished_spans()}
        for exporter in exporters
    ]
    assert first == second and 30 < len(first) < 90


def test_a_file_holds_otlp_as_json_and_is_bounded(tmp_path):
    path = tmp_path / "spans.jsonl"
    tracing = tracing_to(FileExporter(path, 3000), batch_most=1)
    end_job(tracing)
    tracing.processors[0].force_flush()
    (line,) = path.read_text().splitlines()
    (span,) = json.loads(line)["resourceSpans"][0]["scopeSpans"][0]["spans"]
    assert span["traceId"] == f"{job_ids(JOB.id, int(AT.timestamp() * 1000)).trace:032x}"
    for number in range(20):
        end_job(tracing, number)
    tracing.processors[0].force_flush()
    assert path.stat().st_size <= 3000 and tracing.processors[0].failed > 0


async def test_spans_of_several_controllers_join_one_trace():
    exporter = InMemorySpanExporter()

    def equip(controller):
        install(controller, TracingSettings(export_every=0.05 * S), [exporter])
        install_recovery(controller, RecoverySettings())

    async with world(equip=equip) as w:
        assert await w.submit(0, job(1, legs=2, dueS=None), 20.0) == 201
        assert await w.until(lambda: len(w.board.running("run-000001")) == 2, 60)
        for at in range(3):
            w.crash(at)
        for at in range(3):
            w.start(at)

        async def done():
            return await w.status(1, "run-000001") == "done"

        assert await w.until(done, 90)
        await trio.sleep(1)
    assert until(lambda: any(span.name == "job" for span in exporter.get_finished_spans()))
    spans = exporter.get_finished_spans()
    of_job = [span for span in spans if span.attributes.get("roadbend.job.id") == "run-000001"]
    assert {"job", "job.accept", "job.assign"} <= {span.name for span in of_job}
    assert len({span.context.trace_id for span in of_job}) == 1
    names = {span.name for span in spans}
    assert {"recovery", "recovery.gathering", "recovery.machine"} <= names


def test_off_nothing_of_it_is_imported():
    """Guards controllers without tracing and recovery against the cost of their libraries."""
    code = (
        "import sys, roadbend.controller, roadbend.cli\n"
        "found = [m for m in sys.modules if m.split('.')[0] in "
        "('opentelemetry', 'pyroaring', 'datasketches', 'numpy', 'google')"
        " or m.startswith(('roadbend.tracing', 'roadbend.recovery', 'roadbend.rehearsal'))]\n"
        "print(found)"
    )
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert out.stdout.strip() == "[]"


@pytest.mark.parametrize(
    "text, word",
    [
        ("(tracing)", "collector or file"),
        ('(tracing (collector "ftp://x"))', "collector"),
        ("(tracing (collector 5))", "collector"),
        ('(tracing (file "/tmp/x") (share 1.5))', "share"),
        ('(tracing (file "/tmp/x") (colour 1))', "colour"),
    ],
)
def test_bad_settings_are_refused_by_name(tmp_path, text, word):
    path = tmp_path / "tracing.sexp"
    path.write_text(text)
    with pytest.raises(SettingsError, match=word):
        load(path)
