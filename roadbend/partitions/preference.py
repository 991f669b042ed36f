"""Choose one of several controllers, so that all who see the same ones choose the same one."""

import hashlib
from collections.abc import Iterable, Mapping


def rendezvous(key: str, names: Iterable[str]) -> str | None:
    """Choose the name with the highest hash: all who see the same names choose the same one."""
    names = sorted(names)
    if not names:
        return None
    return max(
        names, key=lambda name: hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    )


def preferred(partition: str, zones: Mapping[str, str], live: Iterable[str]) -> str | None:
    """Choose a live controller of the partition's own zone, else any live one."""
    live = list(live)
    local = [name for name in live if zones.get(name) == partition]
    return rendezvous(partition, local or live)
