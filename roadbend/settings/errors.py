"""The error for invalid settings."""

from roadbend.errors import PermanentError


class SettingsError(PermanentError):
    """A settings file is invalid or unreadable; the message names the key or the file."""
