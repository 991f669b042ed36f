"""Dense integer ids of keys, so that sets of keys can be stored as compressed bitmaps."""

from collections.abc import Hashable, Iterable


class DenseIndex:
    """Assigns each key the next unused integer the first time the key is seen."""

    def __init__(self) -> None:
        self._ids: dict[Hashable, int] = {}
        self._keys: list[Hashable] = []

    def __len__(self) -> int:
        return len(self._keys)

    def id_of(self, key: Hashable) -> int:
        """Return the id of a key, a new one if it has none."""
        found = self._ids.get(key)
        if found is None:
            found = self._ids[key] = len(self._keys)
            self._keys.append(key)
        return found

    def ids_of(self, keys: Iterable[Hashable]) -> list[int]:
        """Return the ids of several keys."""
        return [self.id_of(key) for key in keys]

    def key_of(self, key_id: int) -> Hashable:
        """Return the key that has an id."""
        return self._keys[key_id]
