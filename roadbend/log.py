"""Structured logging to standard error: one event a line, with key=value fields.

The environment variable LOG_LEVEL sets how much is logged: error (the default), info or debug.
"""

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def setup() -> None:
    """Set up logging for the process, by LOG_LEVEL."""
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "error").strip().lower(), logging.ERROR)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(levelname).1s %(name)s %(message)s"
    )
    # A standard error that can't be written to must not bring tracebacks of the logging itself.
    logging.raiseExceptions = False


def _format(event: str, fields: dict[str, object]) -> str:
    return event + "".join(f" {key}={value}" for key, value in fields.items())


class Log:
    """A component's logger. It builds a line only if the level wants it."""

    def __init__(self, component: str) -> None:
        self._logger = logging.getLogger(component)

    def debug(self, event: str, /, **fields: object) -> None:
        """Log what helps in an investigation."""
        if self._logger.isEnabledFor(logging.DEBUG):
            self._logger.debug(_format(event, fields))

    def info(self, event: str, /, **fields: object) -> None:
        """Log what operators may want to follow."""
        if self._logger.isEnabledFor(logging.INFO):
            self._logger.info(_format(event, fields))

    def warning(self, event: str, /, **fields: object) -> None:
        """Log what must not happen and does no harm; shown at `info` and `debug`."""
        if self._logger.isEnabledFor(logging.WARNING):
            self._logger.warning(_format(event, fields))

    def error(self, event: str, /, **fields: object) -> None:
        """Log what operators must know."""
        self._logger.error(_format(event, fields))

    def crash(self, event: str, /, **fields: object) -> None:
        """Log an unexpected error that is being handled, with its traceback."""
        self._logger.error(_format(event, fields), exc_info=True)
