"""Checks that the events named on the operators' pages are those that the code logs."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "roadbend"
LEVELS = {"debug", "info", "warning", "error", "crash"}
PAGES = ("operations.md", "recovery.md", "tracing.md", "peers.md", "design-recovery.md")
# `recovery status` and the like on these pages are commands, not events.
RECOVERY_COMMANDS = {"status", "differences", "plan"}
EVENT_FORM = re.compile(r"[a-z]+(-[a-z]+)+")


def _modules() -> Iterator[ast.Module]:
    for path in sorted(PACKAGE.rglob("*.py")):
        if not path.name.startswith("test_"):
            yield ast.parse(path.read_text())


def _components(module: ast.Module) -> set[str]:
    """Return the components whose logger a module creates: the text in `log = Log("...")`."""
    return {
        str(node.args[0].value)
        for node in ast.walk(module)
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Name)
        and node.func.id == "Log"
        and node.args
        and isinstance(node.args[0], ast.Constant)
    }


def _logged_events() -> set[tuple[str, str]]:
    """Return every event that the code logs, with its component."""
    found = set()
    for module in _modules():
        for node in ast.walk(module):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in LEVELS
                and isinstance(node.func.value, ast.Name)
                and node.func.value.id == "log"
            ):
                event = node.args[0]
                assert isinstance(event, ast.Constant), (
                    "the event name must be a literal in the log call"
                )
                found |= {(component, str(event.value)) for component in _components(module)}
    return found


def _events_on_page(page: str, components: set[str]) -> set[tuple[str, str]]:
    """Return the events that a page names in the form `component event ...`."""
    quoted = re.findall(r"`([^`\n]+)`", (ROOT / "docs" / page).read_text())
    word_lists = [text.split() for text in quoted]
    events = {
        (words[0], words[1]) for words in word_lists if len(words) > 1 and words[0] in components
    }
    return events - {("recovery", command) for command in RECOVERY_COMMANDS}


@pytest.mark.parametrize("page", PAGES)
def test_every_event_named_on_an_operators_page_is_logged_by_the_code(page):
    logged = _logged_events()
    assert _events_on_page(page, {component for component, _ in logged}) <= logged


def test_the_operations_page_names_events():
    assert (
        len(_events_on_page("operations.md", {component for component, _ in _logged_events()}))
        >= 20
    )


def test_events_are_named_by_whole_words_joined_with_hyphens():
    assert [event for _, event in sorted(_logged_events()) if not EVENT_FORM.fullmatch(event)] == []


def test_every_event_is_in_the_list_of_renamed_events():
    page = (ROOT / "docs" / "renamed.md").read_text()
    assert [event for _, event in sorted(_logged_events()) if f"`{event}`" not in page] == []
