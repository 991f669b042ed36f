"""Checks that the modules, classes and functions named in docs/architecture.md exist."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "roadbend"
PAGE = (ROOT / "docs" / "architecture.md").read_text()
REFERENCE = re.compile(r"`(?:roadbend/)?([a-z_/]+\.py)(?::([A-Za-z_]+)(?:\.([a-z_]+))?)?`")
MIN_REFERENCES = 30


def _path(module: str) -> Path:
    in_package = PACKAGE / module
    return in_package if in_package.exists() else ROOT / module


def _definitions(path: Path) -> set[str]:
    """Return a module's top-level definitions, and methods as `Class.method`."""
    found = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            found.add(node.name)
        if isinstance(node, ast.ClassDef):
            found |= {
                f"{node.name}.{member.name}"
                for member in node.body
                if isinstance(member, ast.FunctionDef | ast.AsyncFunctionDef)
            }
    return found


def test_every_module_that_the_page_names_exists():
    modules = {match[0] for match in REFERENCE.findall(PAGE)}
    assert len(modules) >= MIN_REFERENCES
    assert sorted(module for module in modules if not _path(module).exists()) == []


def test_every_class_and_function_that_the_page_names_exists():
    missing = []
    for module, name, member in REFERENCE.findall(PAGE):
        definition = f"{name}.{member}" if member else name
        path = _path(module)
        if definition and path.exists() and definition not in _definitions(path):
            missing.append(f"{module}:{definition}")
    assert missing == []


def test_every_package_is_in_the_table():
    packages = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    assert sorted(name for name in packages if f"`{name}`" not in PAGE) == []


def test_every_event_of_the_operations_page_is_in_the_table_beside_its_module():
    operations = (ROOT / "docs" / "operations.md").read_text()
    rows = dict(re.findall(r"^\| `([a-z]+ [a-z-]+)` \| (.+) \|$", PAGE, re.MULTILINE))
    components = {event.split()[0] for event in rows}
    quoted_words = [text.split() for text in re.findall(r"`([^`\n]+)`", operations)]
    named_events = {
        " ".join(words[:2]) for words in quoted_words if len(words) > 1 and words[0] in components
    }
    assert sorted(named_events - rows.keys()) == []
    for event, modules in rows.items():
        for module in re.findall(r"`([a-z_/]+\.py)`", modules):
            assert f'"{event.split()[1]}"' in (PACKAGE / module).read_text(), (event, module)
