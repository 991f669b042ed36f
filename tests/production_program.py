"""The real program of the version in production, for deployments in memory.

`production` in `deploy/service.toml` names its commit. Its sources are taken out of this
repository, put under `target/production/<commit>` as a package of another name, and imported
beside today's. Unlike the fake (`roadbend.fakes.previous_version`) nothing here is today's program.
"""

from __future__ import annotations

import importlib.util
import io
import os
import random
import re
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from datetime import datetime
from functools import cache
from importlib import import_module
from pathlib import Path
from types import ModuleType
from typing import Any

from roadbend import clock
from roadbend.fakes.previous_version import TXN_OPS, VALUE_BYTES
from roadbend.http.net import Net
from roadbend.settings import OperatorSettings, PlatformSettings

ROOT = Path(__file__).resolve().parent.parent
# What the package is called in its own sources, and here beside today's.
PACKAGE = "roadbend"
RENAMED_PACKAGE = "roadbend_production"
# The package's name where it is imported: `from roadbend.x import y`, `from roadbend import y`.
_IMPORT = re.compile(rf"^(\s*(?:from|import)\s+){PACKAGE}\b", re.MULTILINE)


class ProductionSourcesError(Exception):
    """The sources of the version in production can't be had."""


def production_commit() -> str:
    """Return the commit of the version in production."""
    with (ROOT / "deploy" / "service.toml").open("rb") as file:
        return str(tomllib.load(file)["production"])


def _archive(commit: str) -> bytes:
    """Return the package's sources in a commit of this repository, as a tar file.

    Raises `ProductionSourcesError` if this repository lacks the commit, or there is no git.
    """
    command = ["git", "-C", str(ROOT), "archive", "--format=tar", commit, PACKAGE]
    # Not out of a repository around this one.
    environment = {**os.environ, "GIT_CEILING_DIRECTORIES": str(ROOT.parent)}
    try:
        done = subprocess.run(command, env=environment, capture_output=True, check=True)
    except FileNotFoundError as error:
        raise ProductionSourcesError("no git to read the version in production with") from error
    except subprocess.CalledProcessError as error:
        reason = error.stderr.decode(errors="replace").strip()
        raise ProductionSourcesError(
            f"can't read commit {commit} of the version in production: {reason}"
        ) from error
    return done.stdout


def _unpack_renamed(archive: bytes, folder: Path) -> None:
    """Write the package's modules into a folder, with its imports of itself renamed."""
    with tarfile.open(fileobj=io.BytesIO(archive)) as sources:
        for member in sources.getmembers():
            content = sources.extractfile(member)
            if content is None or not member.name.endswith(".py"):
                continue
            target = folder / Path(member.name).relative_to(PACKAGE)
            target.parent.mkdir(parents=True, exist_ok=True)
            text = content.read().decode()
            target.write_text(_IMPORT.sub(rf"\g<1>{RENAMED_PACKAGE}", text))


def unpack_sources(commit: str, parent: Path) -> Path:
    """Return the folder of the renamed package, which is made if it is not there.

    Several processes may do so at a time: each writes a folder of its own, and the first to rename
    it wins. Raises `ProductionSourcesError`.
    """
    finished = parent / commit
    package = finished / RENAMED_PACKAGE
    if package.is_dir():
        return package
    parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=parent, prefix="unfinished-") as temporary:
        mine = Path(temporary) / commit
        _unpack_renamed(_archive(commit), mine / RENAMED_PACKAGE)
        try:
            mine.rename(finished)
        except OSError:
            # Another process was faster.
            if not package.is_dir():
                raise
    return package


@cache
def load_program() -> ModuleType:
    """Import the program of the version in production, once a process, and return its package.

    Its time of day is today's program's from then on, so that both follow the same clock. Raises
    `ProductionSourcesError`.
    """
    folder = unpack_sources(production_commit(), ROOT / "target" / "production")
    spec = importlib.util.spec_from_file_location(
        RENAMED_PACKAGE, folder / "__init__.py", submodule_search_locations=[str(folder)]
    )
    if spec is None or spec.loader is None:
        raise ProductionSourcesError(f"not a package: {folder}")
    package = importlib.util.module_from_spec(spec)
    sys.modules[RENAMED_PACKAGE] = package
    spec.loader.exec_module(package)
    import_module(f"{RENAMED_PACKAGE}.clock").wall = _time_of_day
    return package


def _time_of_day() -> datetime:
    """Return today's program's time of day, as it is now: tests replace that function."""
    return clock.wall()


def program_module(name: str) -> ModuleType:
    """Return a module of the version in production by its name within the package."""
    load_program()
    return import_module(f"{RENAMED_PACKAGE}.{name}")


def translate_settings(today: PlatformSettings) -> Any:
    """Return today's platform settings as that version's, with the limits of its time."""
    version = program_module("settings")
    return version.Settings(
        name=today.name,
        zone=today.zone,
        listen=today.listen,
        back=today.back,
        peers=tuple(version.Peer(peer.name, peer.zone, peer.address) for peer in today.peers),
        cloud=today.cloud,
        state=today.state,
        zones=today.zones,
        teams={name: version.Team(**vars(team)) for name, team in today.teams.items()},
        clock_off=today.clock_off,
        report_every=today.heartbeat_interval,
        lease=today.lease,
        cancel_within=today.cancel_within,
        state_rps=today.state_rps,
        state_write_rps=today.state_write_rps,
        value_bytes=VALUE_BYTES,
        txn_ops=TXN_OPS,
        cloud_rps=today.cloud_rps,
        list_lag=today.list_lag,
        sockets=today.sockets,
        cpu=today.cpu,
        objectives=tuple(
            version.Objective(
                objective.kind,
                objective.job_class,
                objective.share,
                objective.within,
                objective.times,
            )
            for objective in today.objectives
        ),
    )


class _Election:
    """Which partitions a node of that version leads, asked as today's election is."""

    def __init__(self, ownership: Any) -> None:
        self._ownership = ownership

    def leadership(self, partition: str) -> Any:
        """Return its leadership of the partition (`Tenure` there); None if it does not lead it."""
        return self._ownership.tenure(partition)


class ProductionController:
    """A controller of the version in production, with the face that `World.start` needs.

    `node` is that version's own controller. It has that version's default operators' settings,
    whatever today's are. Raises `ProductionSourcesError`.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        _operator: OperatorSettings,
        net: Net,
        rng: random.Random,
        incarnation: str | None = None,
    ) -> None:
        node, version = program_module("node"), program_module("settings")
        self.settings = settings
        self.node = node.Node(
            translate_settings(settings), version.Operator(), net, rng, incarnation
        )
        self.election = _Election(self.node.ownership)

    def up(self, now: datetime) -> bool:
        """Tell whether it is up, as its answer to `/up` does."""
        return bool(self.node.up(now))

    async def run(self) -> None:
        """Run until cancelled."""
        await self.node.run()
