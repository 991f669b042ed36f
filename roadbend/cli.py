"""The command line. Exit status: 0 all well, 2 bad arguments or settings."""

# What a command does not need is not imported: checking settings and printing help take no
# controller, and a controller without extensions takes none of theirs.
# ruff: noqa: PLC0415

from __future__ import annotations

import argparse
import gc
import importlib
import os
import random
import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from roadbend import __version__, log
from roadbend.settings import OperatorSettings, PlatformSettings, SettingsError, load

if TYPE_CHECKING:
    from roadbend.controller import Controller

    # Switches something on in a controller that has not started yet.
    Extension = Callable[[Controller], object]

# Commands of operators beside starting a controller: the module has a `main(argv)`, and is imported
# only when it is asked for.
SUBCOMMANDS = {"recovery": "roadbend.recovery.commands"}
# The exit status for bad settings; `argparse` ends with the same for bad arguments.
BAD_SETTINGS = 2
# Layouts make and drop many small objects that are in no cycle: looking for cycles is left to every
# 50,000th.
GC_THRESHOLDS = (50_000, 20, 20)
OPERATOR_FILE = Path(__file__).resolve().parent.parent / "deploy" / "roadbend.sexp"


def parser() -> argparse.ArgumentParser:
    """Describe the options of a start."""
    out = argparse.ArgumentParser(
        prog="roadbend", description="A cluster scheduler whose controllers bid for jobs."
    )
    out.add_argument(
        "--config", type=Path, help="the platform's settings file (TOML); needed to start"
    )
    out.add_argument(
        "--operator",
        type=Path,
        default=OPERATOR_FILE,
        help="operators' own settings (S-expressions); a missing file means the defaults",
    )
    out.add_argument(
        "--recovery", type=Path, help="switches recovery on: its settings (deploy/recovery.sexp)"
    )
    out.add_argument(
        "--tracing", type=Path, help="switches tracing on: its settings (deploy/tracing.sexp)"
    )
    out.add_argument(
        "--check", action="store_true", help="check the settings and end without starting"
    )
    out.add_argument(
        "--compile",
        action="store_true",
        help="only import what a controller needs, so that its bytecode is kept (for the build)",
    )
    out.add_argument("--version", action="version", version=f"roadbend {__version__}")
    return out


def main(argv: list[str] | None = None) -> int:
    """Start a controller, or carry out a subcommand, and return the exit status.

    `argv` is by default what the process was given.
    """
    argv = sys.argv[1:] if argv is None else argv
    if argv and argv[0] in SUBCOMMANDS:
        subcommand: Callable[[list[str]], int] = importlib.import_module(SUBCOMMANDS[argv[0]]).main
        return subcommand(argv[1:])
    arguments = parser().parse_args(argv)
    if arguments.compile:
        importlib.import_module("roadbend.controller")
        load_extensions(arguments.recovery, arguments.tracing)
        return 0
    if arguments.config is None:
        parser().error("the following arguments are required: --config")
    try:
        settings, operator = load(arguments.config, arguments.operator)
        extensions = load_extensions(arguments.recovery, arguments.tracing)
    except SettingsError as error:
        return _refuse(error)
    if arguments.check:
        print("settings are good")
        return 0
    log.setup()
    status = 0
    try:
        _run(settings, operator, extensions)
    except* SettingsError as group:
        # An address to listen on is only known to be taken, or to be none, when it is listened on.
        status = _refuse(_first_error(group))
    return status


def _refuse(error: BaseException) -> int:
    """Say on one line what is wrong with the settings, and return the exit status."""
    print(f"roadbend: {error}", file=sys.stderr)
    return BAD_SETTINGS


def _first_error(group: BaseExceptionGroup) -> BaseException:
    """Return the first error of a group, however deep it lies."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def load_extensions(recovery: Path | None, tracing: Path | None) -> list[Extension]:
    """Return what is switched on beside the core, with its settings.

    Raises `SettingsError`.
    """
    extensions: list[Extension] = []
    if recovery is not None:
        from roadbend.recovery import service, settings

        extensions.append(partial(service.install, settings=settings.load(recovery)))
    if tracing is not None:
        from roadbend.tracing import settings as tracing_settings
        from roadbend.tracing import switch

        # Tracing comes first: what is installed after it tells it what happens.
        extensions.insert(0, partial(switch.install, settings=tracing_settings.load(tracing)))
    return extensions


def _run(
    settings: PlatformSettings, operator: OperatorSettings, extensions: list[Extension]
) -> None:
    """Run a controller until the process is killed.

    Raises `SettingsError`, in a group, for an address that can't be listened on.
    """
    import trio

    from roadbend.controller import Controller
    from roadbend.http.net import Net

    # What was imported is never looked at again.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()

    async def start() -> None:
        controller = Controller(settings, operator, Net(), random.Random(os.urandom(16)))
        for install in extensions:
            install(controller)
        await controller.run()

    trio.run(start)
