"""Checks the layering of imports that docs/architecture.md explains.

Imports used only for type annotations count too: a reader follows them like any other.
"""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = "roadbend"

# Each package or top-level module, with those that it may import. Lower layers come first: a unit
# may import only units that are listed above it in this table.
MAY_IMPORT: dict[str, set[str]] = {
    PACKAGE: set(),
    "errors": set(),
    "log": set(),
    "clock": set(),
    "retry": set(),
    "http": {"errors", "log"},
    "wire_values": {"http"},
    "settings": {"errors"},
    "listen_address": {"http", "settings"},
    "store": {"errors", "log", "clock", "retry", "http", "settings"},
    "peers": {"errors", "log", "clock", "retry", "http", "settings"},
    "partitions": {"log", "clock", "http", "settings", "store", "peers"},
    "cloud": {"errors", "clock", "http", "wire_values", "store"},
    "fleet": {"log", "clock", "http", "wire_values", "settings", "store", "peers"}
    | {"partitions", "cloud"},
    "observer": {"store", "fleet"},
    "placement": {"log", "clock", "settings", "store", "partitions", "cloud", "fleet", "observer"},
    "autoscaler": {"log", "clock", "retry", "http", "settings", "store", "cloud", "fleet"}
    | {"placement"},
    "bidding": {"log", "clock", "retry", "settings", "store", "peers", "partitions", "cloud"}
    | {"placement"},
    "intake": {"errors", "log", "clock", "http", "wire_values", "settings", "store", "cloud"}
    | {"placement"},
    "controller": {"log", "clock", "http", "settings", "listen_address", "store", "peers"}
    | {"partitions", "cloud", "fleet", "placement", "autoscaler", "bidding", "intake"},
    "recovery": {"errors", "log", "clock", "http", "settings", "store", "cloud", "fleet"}
    | {"placement", "controller"},
    "tracing": {PACKAGE, "log", "clock", "settings", "store", "fleet", "observer", "controller"},
    "cli": {PACKAGE, "log", "http", "settings", "controller", "recovery", "tracing"},
    "__main__": {"cli"},
    # Not part of a controller. The fakes use the rules of the checkers, and the checkers' search
    # runs deployments of fakes: the two import each other.
    "fakes": {"clock", "http", "settings", "store", "peers", "cloud", "intake", "placement"}
    | {"controller", "checkers"},
    "checkers": {"clock", "settings", "controller", "recovery", "fakes"},
    "rehearsal": {"errors", "settings", "controller", "recovery", "fakes", "checkers"},
}
MUTUAL_IMPORTS = {("fakes", "checkers")}


def _module_name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def _is_test(path: Path) -> bool:
    return path.name.startswith("test_") or path.name == "conftest.py"


MODULES = {
    _module_name(path): path
    for path in sorted((ROOT / PACKAGE).rglob("*.py"))
    if not _is_test(path)
}


def _imported(path: Path) -> Iterator[str]:
    """Yield the modules of the package that a module imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith(PACKAGE):
            for name in node.names:
                submodule = f"{node.module}.{name.name}"
                yield submodule if submodule in MODULES else node.module
        elif isinstance(node, ast.Import):
            yield from (name.name for name in node.names if name.name.startswith(PACKAGE))


IMPORTS = {name: set(_imported(path)) for name, path in MODULES.items()}


def _unit(module: str) -> str:
    """Return the package or top-level module that a module belongs to."""
    parts = module.split(".")
    return parts[1] if len(parts) > 1 else PACKAGE


def _cycle_from(start: str) -> list[str]:
    """Return a path of imports from a module back to itself; empty if there is none."""
    paths = [[start]]
    seen = {start}
    while paths:
        import_path = paths.pop()
        for target in sorted(IMPORTS.get(import_path[-1], ())):
            if target == start:
                return [*import_path, start]
            if target not in seen:
                seen.add(target)
                paths.append([*import_path, target])
    return []


def test_no_module_imports_itself_through_others():
    assert [import_path for module in IMPORTS if (import_path := _cycle_from(module))] == []


@pytest.mark.parametrize("unit", sorted({_unit(module) for module in MODULES}))
def test_a_package_imports_only_what_stands_below_it(unit):
    imported = {
        _unit(target)
        for module, targets in IMPORTS.items()
        if _unit(module) == unit
        for target in targets
    }
    assert imported - {unit} <= MAY_IMPORT[unit]


def test_the_table_goes_from_the_bottom_up():
    layers = list(MAY_IMPORT)
    upward = {
        (unit, lower)
        for unit, imports in MAY_IMPORT.items()
        for lower in imports
        if layers.index(lower) >= layers.index(unit)
    }
    assert upward == MUTUAL_IMPORTS
