"""What to hire and what to give back. Pure."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend.placement.policy import Pending, Room, allowed
from roadbend.rental.cloud import Rig


@dataclass(frozen=True)
class Option:
    """A type and kind that may be hired in this part, at its price an hour."""

    rig: Rig
    spot: bool
    price: float


def options(rigs: Iterable[Rig], part: str, refused: set[tuple[str, bool]]) -> list[Option]:
    out = []
    for rig in rigs:
        if part not in rig.zones:
            continue
        for spot, price in ((False, rig.price), (True, rig.spot_price)):
            if (rig.name, spot) not in refused and price > 0:
                out.append(Option(rig, spot, price))
    return out


def empty_room(name: str, option: Option, part: str) -> Room:
    room = option.rig.room
    return Room(
        name, option.rig.name, part, option.spot, room.cpus, room.gpus, room.memory,
        total=room, ready_in=option.rig.startup.total_seconds(), price=option.price,
    )  # fmt: skip


def cost(item: Pending, option: Option, part: str, alike: int) -> float | None:
    """Price a task. An array fills a machine only as far as it has tasks; a service stays, and what
    comes later fills the rest."""
    if not allowed(item.job, option.rig.name, part, option.spot):
        return None
    count = empty_room("", option, part).count(item.job.spec.need)
    if count < 1:
        return None
    return option.price / (count if item.job.spec.service else min(count, max(1, alike)))


def cheapest(item: Pending, choices: list[Option], part: str, alike: int) -> Option | None:
    priced = [
        (price, at) for at, option in enumerate(choices) if (price := cost(item, option, part, alike)) is not None
    ]
    return choices[min(priced)[1]] if priced else None


def least_cost(item: Pending, rigs: Iterable[Rig], alike: int) -> float | None:
    """The least price a task in any zone, whether it can be had or not: what is dear is told by it."""
    rigs = list(rigs)
    prices = [
        price
        for zone in {zone for rig in rigs for zone in rig.zones}
        for option in options(rigs, zone, set())
        if (price := cost(item, option, zone, alike)) is not None
    ]
    return min(prices, default=None)


def wanted(left: list[Pending], choices: list[Option], part: str) -> dict[tuple[str, bool], int]:
    """How many machines of which type and kind would hold the tasks that found no room."""
    fresh: list[Room] = []
    out: dict[tuple[str, bool], int] = {}
    for at, item in enumerate(left):
        need = item.job.spec.need
        host = next(
            (r for r in fresh if r.fits(need) and allowed(item.job, r.rig, r.zone, r.spot)),
            None,
        )
        if host is None:
            alike = sum(1 for other in left[at:] if other.job.spec.need == need)
            option = cheapest(item, choices, part, alike)
            if option is None:
                continue
            host = empty_room(f"new-{len(fresh)}", option, part)
            fresh.append(host)
            key = (option.rig.name, option.spot)
            out[key] = out.get(key, 0) + 1
        host.take(need)
    return out


def to_return(idle: list[tuple[str, str, bool, datetime]], now: datetime, after: timedelta, keep: int) -> list[str]:
    """Empty machines (id, rig, spot, empty since) that have been empty for long enough. `keep` of the
    ordinary ones stay, the youngest idle first to go."""
    ordinary = [row for row in idle if not row[2]]
    kept = {row[0] for row in sorted(ordinary, key=lambda row: row[3])[:keep]}
    return [row[0] for row in idle if row[0] not in kept and now - row[3] >= after]
