"""What a settings file that can't be used raises."""

from roadbend.errors import PermanentError


class SettingsError(PermanentError):
    """A settings file can't be used; the message names the key."""
