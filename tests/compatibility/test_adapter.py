"""Checks that only the adapter imports the package."""

import ast
from pathlib import Path

from tests.compatibility import adapter

DIRECTORY = Path(__file__).resolve().parent


def imported_by(path: Path) -> set[str]:
    """Return the top-level packages that a module imports."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            found.add(node.module.partition(".")[0])
    return found


def test_only_the_adapter_imports_the_package():
    """A rename in the package then affects only one module here."""
    importers = [
        path.name for path in DIRECTORY.glob("*.py") if adapter.PACKAGE in imported_by(path)
    ]
    assert importers == ["adapter.py"]
