"""Loading a controller's settings files."""

from pathlib import Path

from roadbend.settings.errors import SettingsError
from roadbend.settings.operator_settings import OperatorSettings, read_operator
from roadbend.settings.platform_file import read_platform
from roadbend.settings.platform_settings import PlatformSettings


def load(platform: Path, operator: Path | None) -> tuple[PlatformSettings, OperatorSettings]:
    """Read a controller's settings files; without an operators' file the defaults apply.

    Raises `SettingsError`.
    """
    settings = read_platform(read_file(platform))
    if operator is None or not operator.exists():
        return settings, OperatorSettings()
    return settings, read_operator(read_file(operator))


def read_file(path: Path) -> str:
    """Return a settings file's text; raise `SettingsError` if it can't be read."""
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't read {path.name}: {type(error).__name__}") from None
