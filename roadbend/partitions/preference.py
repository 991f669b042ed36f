"""Choose one of several controllers, so that all controllers make the same choice."""

import hashlib
from collections.abc import Iterable, Mapping


def rendezvous(key: str, names: Iterable[str]) -> str | None:
    """Choose a name by rendezvous hashing; the choice depends only on the key and the names."""
    names = sorted(names)
    if not names:
        return None
    return max(
        names, key=lambda name: hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    )


def preferred_controller(
    partition: str, zones: Mapping[str, str], live: Iterable[str]
) -> str | None:
    """Choose a live controller of the partition's own zone, or any live one if it has none."""
    live = list(live)
    local = [name for name in live if zones.get(name) == partition]
    return rendezvous(partition, local or live)
