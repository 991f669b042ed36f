"""Settings: the platform's file (TOML) and the operators' files (S-expressions)."""

from roadbend.settings.errors import SettingsError
from roadbend.settings.files import load, read_file
from roadbend.settings.forms import number, read_form, seconds
from roadbend.settings.operator_settings import OperatorSettings, read_operator
from roadbend.settings.platform_file import read_platform
from roadbend.settings.platform_settings import (
    Peer,
    PlatformSettings,
    ServiceLevelObjective,
    Team,
)

__all__ = [
    "OperatorSettings",
    "Peer",
    "PlatformSettings",
    "ServiceLevelObjective",
    "SettingsError",
    "Team",
    "load",
    "number",
    "read_file",
    "read_form",
    "read_operator",
    "read_platform",
    "seconds",
]
