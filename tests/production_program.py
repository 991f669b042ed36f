"""Runs the released program of the version in production in in-memory deployments.

`production` in `deploy/service.toml` names its commit. Its sources are read from this repository's
git history, written to `target/production/<commit>` as a package with another name, and imported
beside the current package. Unlike the fake (`roadbend.fakes.previous_version`), it shares no code
with the current version.
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
# The package's name in its own sources, and the name under which it is imported here.
PACKAGE = "roadbend"
RENAMED_PACKAGE = "roadbend_production"
# Matches imports of the package: `from roadbend.x import y`, `from roadbend import y`.
_IMPORT = re.compile(rf"^(\s*(?:from|import)\s+){PACKAGE}\b", re.MULTILINE)


class ProductionSourcesError(Exception):
    """The sources of the version in production are not available."""


def production_commit() -> str:
    """Return the commit of the version in production."""
    with (ROOT / "deploy" / "service.toml").open("rb") as file:
        return str(tomllib.load(file)["production"])


def _archive(commit: str) -> bytes:
    """Return the package's sources at a commit of this repository, as a tar file.

    Raises `ProductionSourcesError` if this repository lacks the commit or git is not installed.
    """
    command = ["git", "-C", str(ROOT), "archive", "--format=tar", commit, PACKAGE]
    # Keeps git from using a repository that encloses this directory.
    environment = {**os.environ, "GIT_CEILING_DIRECTORIES": str(ROOT.parent)}
    try:
        completed = subprocess.run(command, env=environment, capture_output=True, check=True)
    except FileNotFoundError as error:
        raise ProductionSourcesError(
            "git is not installed; it is needed to read the version in production"
        ) from error
    except subprocess.CalledProcessError as error:
        reason = error.stderr.decode(errors="replace").strip()
        raise ProductionSourcesError(
            f"can't read commit {commit} of the version in production: {reason}"
        ) from error
    return completed.stdout


def _unpack_renamed(archive: bytes, directory: Path) -> None:
    """Write the package's modules to a directory and rename the package in their imports."""
    with tarfile.open(fileobj=io.BytesIO(archive)) as sources:
        for member in sources.getmembers():
            content = sources.extractfile(member)
            if content is None or not member.name.endswith(".py"):
                continue
            target = directory / Path(member.name).relative_to(PACKAGE)
            target.parent.mkdir(parents=True, exist_ok=True)
            text = content.read().decode()
            target.write_text(_IMPORT.sub(rf"\g<1>{RENAMED_PACKAGE}", text))


def unpack_sources(commit: str, parent: Path) -> Path:
    """Return the directory of the renamed package; create it if it is missing.

    Safe for several processes at a time: each writes a temporary directory, and the first to rename
    its own to the final name wins. Raises `ProductionSourcesError`.
    """
    finished = parent / commit
    package = finished / RENAMED_PACKAGE
    if package.is_dir():
        return package
    parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=parent, prefix="unfinished-") as temporary:
        unfinished = Path(temporary) / commit
        _unpack_renamed(_archive(commit), unfinished / RENAMED_PACKAGE)
        try:
            unfinished.rename(finished)
        except OSError:
            # Another process has created it meanwhile.
            if not package.is_dir():
                raise
    return package


@cache
def load_program() -> ModuleType:
    """Import the program of the version in production, once per process, and return its package.

    From then on it takes the time of day from the current version, so that both follow the same
    clock. Raises `ProductionSourcesError`.
    """
    directory = unpack_sources(production_commit(), ROOT / "target" / "production")
    spec = importlib.util.spec_from_file_location(
        RENAMED_PACKAGE, directory / "__init__.py", submodule_search_locations=[str(directory)]
    )
    if spec is None or spec.loader is None:
        raise ProductionSourcesError(f"not a package: {directory}")
    package = importlib.util.module_from_spec(spec)
    sys.modules[RENAMED_PACKAGE] = package
    spec.loader.exec_module(package)
    import_module(f"{RENAMED_PACKAGE}.clock").wall = _time_of_day
    return package


def _time_of_day() -> datetime:
    """Return the current version's time of day; looked up at each call, as tests replace `wall`."""
    return clock.wall()


def program_module(name: str) -> ModuleType:
    """Return a module of the version in production by its name inside the package."""
    load_program()
    return import_module(f"{RENAMED_PACKAGE}.{name}")


def translate_settings(current: PlatformSettings) -> Any:
    """Convert current platform settings to that version's, with the limits that applied to it."""
    version = program_module("settings")
    return version.Settings(
        name=current.name,
        zone=current.zone,
        listen=current.listen,
        back=current.back,
        peers=tuple(version.Peer(peer.name, peer.zone, peer.address) for peer in current.peers),
        cloud=current.cloud,
        state=current.state,
        zones=current.zones,
        teams={name: version.Team(**vars(team)) for name, team in current.teams.items()},
        clock_off=current.clock_off,
        report_every=current.heartbeat_interval,
        lease=current.lease,
        cancel_within=current.cancel_within,
        state_rps=current.state_rps,
        state_write_rps=current.state_write_rps,
        value_bytes=VALUE_BYTES,
        txn_ops=TXN_OPS,
        cloud_rps=current.cloud_rps,
        list_lag=current.list_lag,
        sockets=current.sockets,
        cpu=current.cpu,
        objectives=tuple(
            version.Objective(
                objective.kind,
                objective.job_class,
                objective.share,
                objective.within,
                objective.times,
            )
            for objective in current.objectives
        ),
    )


class _Election:
    """Adapts that version's partition ownership to the interface of the current election."""

    def __init__(self, ownership: Any) -> None:
        self._ownership = ownership

    def leadership(self, partition: str) -> Any:
        """Return its leadership of the partition (`Tenure` there); None if it is not the leader."""
        return self._ownership.tenure(partition)


class ProductionController:
    """A controller of the version in production, with the interface that `World.start` needs.

    `node` is that version's own controller. It uses that version's default operator settings,
    whatever the current ones are. Raises `ProductionSourcesError`.
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
        """Return whether it is up, as its response to `/up` says."""
        return bool(self.node.up(now))

    async def run(self) -> None:
        """Run until cancelled."""
        await self.node.run()
