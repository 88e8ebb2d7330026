"""A node's copy of the operators' configuration and the databases' records.

The store's entries are merged by the revision that the store gave them, so
the source does not matter: a watch, a read, a peer, or a store that answers
from the past. An entry never goes back to an earlier revision.
"""

from collections.abc import Callable
from collections.abc import Iterable
import hashlib

from ferry_decisions import _ports

DIGEST_BYTES = 8


class Directory:
    """The newest entry that is known of each key."""

    def __init__(self) -> None:
        self._entries: dict[str, _ports.StoreEntry] = {}
        self._subscribers: list[Callable[[_ports.StoreEntry], object]] = []
        self._digest = 0

    def subscribe(
        self, callback: Callable[[_ports.StoreEntry], object]
    ) -> None:
        """Calls back with each entry that is new or newer."""
        self._subscribers.append(callback)

    def merge(
        self, entries: Iterable[_ports.StoreEntry]
    ) -> list[_ports.StoreEntry]:
        """Takes entries in; returns those that were newer than known."""
        taken = []
        for entry in entries:
            known = self._entries.get(entry.key)
            if known is not None and known.revision >= entry.revision:
                continue
            if known is not None:
                self._digest ^= _mark(known)
            self._digest ^= _mark(entry)
            self._entries[entry.key] = entry
            taken.append(entry)
        for entry in taken:
            for callback in self._subscribers:
                callback(entry)
        return taken

    def get(self, key: str) -> _ports.StoreEntry | None:
        """Returns the entry of a key, if it is known."""
        return self._entries.get(key)

    def entries(self, prefix: str = "") -> list[_ports.StoreEntry]:
        """Returns the entries below a prefix, by key."""
        found = [e for k, e in self._entries.items() if k.startswith(prefix)]
        return sorted(found, key=lambda e: e.key)

    def revisions(self) -> dict[str, int]:
        """Returns the revision known of each key."""
        return {key: e.revision for key, e in self._entries.items()}

    def newer_than(self, revisions: dict[str, int]) -> list[_ports.StoreEntry]:
        """Returns the entries of which `revisions` shows an older state."""
        return [
            entry
            for key, entry in self._entries.items()
            if entry.revision > revisions.get(key, 0)
        ]

    @property
    def digest(self) -> bytes:
        """A short value that is equal for equal directories."""
        return self._digest.to_bytes(DIGEST_BYTES, "big")

    def __len__(self) -> int:
        return len(self._entries)


def _mark(entry: _ports.StoreEntry) -> int:
    text = f"{entry.key}@{entry.revision}".encode()
    digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def content_digest(data: bytes) -> str:
    """Returns a text that is equal for equal contents."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()
