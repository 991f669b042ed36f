"""The command line. Exit status: 0 for success, 2 for invalid arguments or settings."""

# Imports that only some commands need are local: checking settings and printing help don't load the
# controller, and a controller without extensions loads none of their modules.
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

    # Installs an optional feature in a controller that has not started yet.
    Extension = Callable[[Controller], object]

# Subcommands for operators, besides starting a controller: each module has a `main(argv)` and is
# imported only when its subcommand is used.
SUBCOMMANDS = {"recovery": "roadbend.recovery.commands"}
# The exit status for invalid settings; `argparse` uses the same for invalid arguments.
BAD_SETTINGS = 2
# Placement allocates and releases many small objects that are in no reference cycle, so the garbage
# collector runs only after 50,000 net allocations.
GC_THRESHOLDS = (50_000, 20, 20)
OPERATOR_FILE = Path(__file__).resolve().parent.parent / "deploy" / "roadbend.sexp"


def parser() -> argparse.ArgumentParser:
    """Return the parser of the options for starting a controller."""
    argument_parser = argparse.ArgumentParser(
        prog="roadbend", description="A cluster scheduler whose controllers bid for jobs."
    )
    argument_parser.add_argument(
        "--config",
        type=Path,
        help="the platform's settings file (TOML); required to start a controller",
    )
    argument_parser.add_argument(
        "--operator",
        type=Path,
        default=OPERATOR_FILE,
        help="the operators' settings file (S-expressions); without it the defaults apply",
    )
    argument_parser.add_argument(
        "--recovery",
        type=Path,
        help="enable recovery with this settings file (deploy/recovery.sexp)",
    )
    argument_parser.add_argument(
        "--tracing", type=Path, help="enable tracing with this settings file (deploy/tracing.sexp)"
    )
    argument_parser.add_argument("--check", action="store_true", help="check the settings and exit")
    argument_parser.add_argument(
        "--compile",
        action="store_true",
        help="only import a controller's modules, to cache their bytecode (for the build)",
    )
    argument_parser.add_argument("--version", action="version", version=f"roadbend {__version__}")
    return argument_parser


def main(argv: list[str] | None = None) -> int:
    """Start a controller, or run a subcommand, and return the exit status.

    `argv` defaults to the arguments of the process.
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
        return _print_error(error)
    if arguments.check:
        print("settings are good")
        return 0
    log.setup()
    status = 0
    try:
        _run(settings, operator, extensions)
    except* SettingsError as group:
        # Whether an address can be listened on is only known after the controller has started.
        status = _print_error(_first_error(group))
    return status


def _print_error(error: BaseException) -> int:
    """Print the error in the settings as one line, and return the exit status."""
    print(f"roadbend: {error}", file=sys.stderr)
    return BAD_SETTINGS


def _first_error(group: BaseExceptionGroup) -> BaseException:
    """Return the first error of a group, in nested groups as well."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def load_extensions(recovery: Path | None, tracing: Path | None) -> list[Extension]:
    """Return the enabled extensions, with their settings.

    Raises `SettingsError`.
    """
    extensions: list[Extension] = []
    if recovery is not None:
        from roadbend.recovery import service, settings

        extensions.append(partial(service.install, settings=settings.load(recovery)))
    if tracing is not None:
        from roadbend.tracing import settings as tracing_settings
        from roadbend.tracing import switch

        # Tracing is installed first, since the later extensions notify it of events.
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

    # Imported objects are excluded from garbage collection: they stay until the process ends.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()

    async def start() -> None:
        controller = Controller(settings, operator, Net(), random.Random(os.urandom(16)))
        for install in extensions:
            install(controller)
        await controller.run()

    trio.run(start)
