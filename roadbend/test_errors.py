"""Every error class belongs to the hierarchy that `roadbend.errors` describes."""

import importlib
import inspect
import pkgutil

import roadbend
from roadbend.errors import PermanentError, RetryableError, RoadbendError, UnknownOutcomeError
from roadbend.store.errors import StateStoreError

GROUPS = (PermanentError, RetryableError, UnknownOutcomeError)
# Common bases of a service's errors in several groups; never raised themselves.
COMMON_BASES = {StateStoreError}


def error_classes():
    """Yield the error classes that the program defines, except those of tests and fakes."""
    for module in pkgutil.walk_packages(roadbend.__path__, "roadbend."):
        last = module.name.rpartition(".")[2]
        if last.startswith("test_") or last in ("conftest", "__main__") or ".fakes" in module.name:
            continue
        for _, found in inspect.getmembers(importlib.import_module(module.name), inspect.isclass):
            if issubclass(found, Exception) and found.__module__ == module.name:
                yield found


def test_every_error_class_derives_from_one_group():
    found = set(error_classes()) - {RoadbendError, *GROUPS, *COMMON_BASES}
    assert len(found) >= 18
    assert [c for c in found if sum(issubclass(c, group) for group in GROUPS) != 1] == []
