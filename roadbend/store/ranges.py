"""Sets of task numbers as sorted, disjoint, half-open ranges, so that 100,000 tasks cost
nothing."""

from collections.abc import Iterable, Iterator

Ranges = tuple[tuple[int, int], ...]
EMPTY: Ranges = ()


def normal(pairs: Iterable[tuple[int, int]]) -> Ranges:
    out: list[list[int]] = []
    for low, high in sorted((int(low), int(high)) for low, high in pairs):
        if low >= high:
            continue
        if out and low <= out[-1][1]:
            out[-1][1] = max(out[-1][1], high)
        else:
            out.append([low, high])
    return tuple((low, high) for low, high in out)


def to_text(a: Ranges) -> str:
    """A short form: where each range begins after the last one's end, and how long it is."""
    out, at = [], 0
    for low, high in a:
        out += [f"{low - at:x}", f"{high - low:x}"]
        at = high
    return " ".join(out)


def read(value: str | Iterable[tuple[int, int]]) -> Ranges:
    """Ranges in either form."""
    if not isinstance(value, str):
        return normal(value)
    numbers, out, at = [int(x, 16) for x in value.split()], [], 0
    for skip, length in zip(numbers[::2], numbers[1::2], strict=True):
        out.append((at + skip, at + skip + length))
        at += skip + length
    return normal(out)


def union(a: Ranges, b: Iterable[tuple[int, int]]) -> Ranges:
    return normal([*a, *b])


def of(numbers: Iterable[int]) -> Ranges:
    return normal((n, n + 1) for n in numbers)


def minus(a: Ranges, b: Ranges) -> Ranges:
    out = []
    for low, high in a:
        for cut_low, cut_high in b:
            if cut_high <= low or cut_low >= high:
                continue
            if cut_low > low:
                out.append((low, cut_low))
            low = max(low, cut_high)
            if low >= high:
                break
        if low < high:
            out.append((low, high))
    return tuple(out)


def size(a: Ranges) -> int:
    if len(a) == 1:
        # Most are one range, and sizes are asked for hundreds of thousands of times a minute.
        return a[0][1] - a[0][0]
    return sum(high - low for low, high in a)


def has(a: Ranges, n: int) -> bool:
    return any(low <= n < high for low, high in a)


def numbers(a: Ranges) -> Iterator[int]:
    for low, high in a:
        yield from range(low, high)


def first(a: Ranges, n: int) -> Ranges:
    """The n lowest numbers of a."""
    if size(a) <= n:
        return a
    out = []
    for low, high in a:
        if n <= 0:
            break
        take = min(n, high - low)
        out.append((low, low + take))
        n -= take
    return tuple(out)
