"""Sets of task indexes as sorted, disjoint, half-open ranges.

A job array of 100,000 tasks takes one pair instead of 100,000 entries. Ranges are plain tuples of
pairs (the first index, and the one after the last) and not a class, since they are created and
measured hundreds of thousands of times a minute.
"""

from collections.abc import Iterable, Iterator

Range = tuple[int, int]
Ranges = tuple[Range, ...]
EMPTY: Ranges = ()


def normalize(pairs: Iterable[Range]) -> Ranges:
    """Return the union of any pairs as sorted, disjoint, non-empty ranges.

    Raises TypeError or ValueError for anything but pairs of numbers, which records may hold.
    """
    merged: list[Range] = []
    start = end = 0
    for low, high in sorted([(int(low), int(high)) for low, high in pairs]):
        if low >= high:
            continue
        if merged and low <= end:
            end = max(end, high)
            merged[-1] = (start, end)
        else:
            start, end = low, high
            merged.append((low, high))
    return tuple(merged)


def to_text(ranges: Ranges) -> str:
    """Format ranges in a compact form.

    For each range, in hexadecimal: its distance from the end of the last one, and its length.
    """
    words: list[str] = []
    end = 0
    for low, high in ranges:
        words += [f"{low - end:x}", f"{high - low:x}"]
        end = high
    return " ".join(words)


def read(value: str | Iterable[Range]) -> Ranges:
    """Parse ranges as records hold them: pairs, or the compact form that `to_text` writes."""
    if not isinstance(value, str):
        return normalize(value)
    words = [int(word, 16) for word in value.split()]
    pairs: list[Range] = []
    end = 0
    for skip, length in zip(words[::2], words[1::2], strict=True):
        pairs.append((end + skip, end + skip + length))
        end += skip + length
    return normalize(pairs)


def of(indexes: Iterable[int]) -> Ranges:
    """Return the ranges that hold exactly these indexes."""
    return normalize((index, index + 1) for index in indexes)


def iter_indexes(ranges: Ranges) -> Iterator[int]:
    """Yield all indexes, in order."""
    for low, high in ranges:
        yield from range(low, high)


def union(ranges: Ranges, others: Iterable[Range]) -> Ranges:
    """Return the indexes that are in either."""
    return normalize([*ranges, *others])


def minus(ranges: Ranges, removed: Ranges) -> Ranges:
    """Return the indexes that are in the first and not in the second."""
    rest: list[Range] = []
    for low, high in ranges:
        at = low
        for removed_low, removed_high in removed:
            if removed_high <= at or removed_low >= high:
                continue
            if removed_low > at:
                rest.append((at, removed_low))
            at = max(at, removed_high)
            if at >= high:
                break
        if at < high:
            rest.append((at, high))
    return tuple(rest)


def size(ranges: Ranges) -> int:
    """Return the number of indexes."""
    if len(ranges) == 1:
        # The usual case.
        return ranges[0][1] - ranges[0][0]
    return sum(high - low for low, high in ranges)


def contains(ranges: Ranges, index: int) -> bool:
    """Return whether an index is in the ranges."""
    return any(low <= index < high for low, high in ranges)


def first(ranges: Ranges, count: int) -> Ranges:
    """Return the `count` lowest indexes, or all if there are fewer."""
    if size(ranges) <= count:
        return ranges
    lowest: list[Range] = []
    remaining = count
    for low, high in ranges:
        if remaining <= 0:
            break
        taken = min(remaining, high - low)
        lowest.append((low, low + taken))
        remaining -= taken
    return tuple(lowest)
