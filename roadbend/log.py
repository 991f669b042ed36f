"""Structured logging to standard error: one event per line, with key=value fields.

The environment variable LOG_LEVEL sets the level: error (the default), info or debug.
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
    # If standard error can't be written to, the logging module must not raise errors of its own.
    logging.raiseExceptions = False


def _format(event: str, fields: dict[str, object]) -> str:
    return event + "".join(f" {key}={value}" for key, value in fields.items())


class Log:
    """A component's logger. It formats a line only if the level is enabled."""

    def __init__(self, component: str) -> None:
        self._logger = logging.getLogger(component)

    def debug(self, event: str, /, **fields: object) -> None:
        """Log details for investigations."""
        if self._logger.isEnabledFor(logging.DEBUG):
            self._logger.debug(_format(event, fields))

    def info(self, event: str, /, **fields: object) -> None:
        """Log events that operators may want to follow."""
        if self._logger.isEnabledFor(logging.INFO):
            self._logger.info(_format(event, fields))

    def warning(self, event: str, /, **fields: object) -> None:
        """Log an unexpected but harmless event; shown at `info` and `debug`."""
        if self._logger.isEnabledFor(logging.WARNING):
            self._logger.warning(_format(event, fields))

    def error(self, event: str, /, **fields: object) -> None:
        """Log an event that operators must know of."""
        self._logger.error(_format(event, fields))

    def crash(self, event: str, /, **fields: object) -> None:
        """Log an unexpected error that is being handled, with its traceback."""
        self._logger.error(_format(event, fields), exc_info=True)
