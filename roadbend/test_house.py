"""Conventions of the code base whose violations a review would easily miss."""

import ast
from dataclasses import fields
from pathlib import Path

import pytest

from roadbend.recovery.settings import RecoverySettings
from roadbend.recovery.settings import load as load_recovery
from roadbend.settings import OperatorSettings, read_operator
from roadbend.tracing.settings import TracingSettings
from roadbend.tracing.settings import load as load_tracing

ROOT = Path(__file__).resolve().parent.parent
SOURCES = [p for p in (ROOT / "roadbend").rglob("*.py") if not p.name.startswith("test_")]


def awaits_under_a_lock(tree: ast.AST) -> list[int]:
    found = []
    for node in ast.walk(tree):
        if isinstance(node, ast.With) and any(
            "lock" in ast.unparse(item.context_expr) for item in node.items
        ):
            found += [
                n.lineno
                for n in ast.walk(node)
                if isinstance(n, ast.Await | ast.AsyncWith | ast.AsyncFor)
            ]
    return found


def test_no_lock_is_held_across_an_await():
    held = ast.parse("async def f(self):\n    with self.lock:\n        await g()\n")
    assert awaits_under_a_lock(held) == [3]
    assert {
        p.name: rows for p in SOURCES if (rows := awaits_under_a_lock(ast.parse(p.read_text())))
    } == {}


@pytest.mark.parametrize(
    "page, file, kind, load",
    [
        ("recovery", "recovery", RecoverySettings, load_recovery),
        ("tracing", "tracing", TracingSettings, load_tracing),
    ],
)
def test_what_can_be_switched_on_has_its_settings_in_its_page(page, file, kind, load):
    text = (ROOT / "docs" / f"{page}.md").read_text()
    names = [f"`{f.name.replace('_', '-')}`" for f in fields(kind)]
    assert [name for name in names if name not in text] == []
    load(ROOT / "deploy" / f"{file}.sexp")


def test_every_operators_setting_is_in_the_reference_and_the_file_we_ship_is_good():
    page = (ROOT / "docs" / "settings.md").read_text()
    missing = [
        f.name for f in fields(OperatorSettings) if f"| `{f.name.replace('_', '-')}` |" not in page
    ]
    assert missing == []
    assert read_operator((ROOT / "deploy" / "roadbend.sexp").read_text()) == OperatorSettings()
