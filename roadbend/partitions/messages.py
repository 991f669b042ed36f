"""The election's records as stored in the state store."""

from typing import Any, TypedDict


class TermValue(TypedDict):
    """The value of a partition's term record."""

    n: int
    node: str


class LeaderValue(TypedDict):
    """The value of a partition's leader record."""

    node: str
    boot: str
    term: int


class ControllerValue(TypedDict):
    """The value of a live controller's record."""

    boot: str


def term_value(term: int, controller: str) -> TermValue:
    """Build the value of a term record."""
    return {"n": term, "node": controller}


def leader_value(controller: str, incarnation: str, term: int) -> LeaderValue:
    """Build the value of a leader record."""
    return {"node": controller, "boot": incarnation, "term": term}


def controller_value(incarnation: str) -> ControllerValue:
    """Build the value of a live controller's record."""
    return {"boot": incarnation}


def zones_of_catalog(catalog: Any) -> set[str]:
    """Return the zones in which at least one machine type of the catalog record can be created.

    The record is empty until a controller has read the cloud's catalog for the first time.
    """
    if not isinstance(catalog, list):
        return set()
    return {zone for machine_type in catalog for zone in machine_type.get("yards", ())}
