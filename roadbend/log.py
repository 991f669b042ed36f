"""One event a line, key=value, to standard error. The amount is LOG_LEVEL: error, info or debug."""

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def setup() -> None:
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "error").strip().lower(), logging.ERROR)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(levelname).1s %(name)s %(message)s"
    )
    logging.raiseExceptions = False


def line(event: str, /, **fields) -> str:
    return event + "".join(f" {key}={value}" for key, value in fields.items())


class Log:
    """A logger that builds its line only when the level wants it."""

    def __init__(self, name: str):
        self._log = logging.getLogger(name)

    def debug(self, event: str, /, **fields) -> None:
        if self._log.isEnabledFor(logging.DEBUG):
            self._log.debug(line(event, **fields))

    def info(self, event: str, /, **fields) -> None:
        if self._log.isEnabledFor(logging.INFO):
            self._log.info(line(event, **fields))

    def warning(self, event: str, /, **fields) -> None:
        """Something that must not happen and does no harm: shown at `info` and `debug`."""
        if self._log.isEnabledFor(logging.WARNING):
            self._log.warning(line(event, **fields))

    def error(self, event: str, /, **fields) -> None:
        self._log.error(line(event, **fields))

    def crash(self, event: str, /, **fields) -> None:
        self._log.error(line(event, **fields), exc_info=True)
