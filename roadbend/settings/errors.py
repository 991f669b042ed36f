"""What a settings file that can't be used raises."""

from roadbend.errors import RoadbendError


class SettingsError(RoadbendError):
    """A settings file can't be used; the message names the key."""
