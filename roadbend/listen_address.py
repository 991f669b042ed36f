"""Errors that name the setting whose address can't be listened on."""

from collections.abc import Iterator
from contextlib import contextmanager

from roadbend.http.net import ListenError
from roadbend.settings import SettingsError


@contextmanager
def listen_address(key: str) -> Iterator[None]:
    """Convert a `ListenError` into a `SettingsError` that names the key of the address."""
    try:
        yield
    except ListenError as error:
        raise SettingsError(f"bad value for {key}: {error}") from None
