"""A node's copy of the operators' configuration and the databases' records.

The store's entries are merged by how new they are, so the source does not
matter: a watch, a read, a peer, or a store that answers from the past or came
back from a copy. An entry never goes back to an earlier state.
"""

from collections.abc import Callable
from collections.abc import Iterable
import hashlib

from ferry_decisions import _ports
from ferry_decisions import _versions

DIGEST_BYTES = 8


class Directory:
    """The newest entry that is known of each key."""

    def __init__(self) -> None:
        self._entries: dict[str, _ports.StoreEntry] = {}
        self._versions: dict[str, _versions.Version] = {}
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
            if known is not None and _is_known(entry, known):
                continue
            version = _versions.version_of(entry)
            before = self._versions.get(entry.key)
            if before is not None and not version.replaces(before):
                continue
            if known is not None:
                self._digest ^= _mark(known)
            self._digest ^= _mark(entry)
            self._entries[entry.key] = entry
            self._versions[entry.key] = version
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

    def versions(self) -> dict[str, _versions.Version]:
        """Returns how new what is known of each key is."""
        return dict(self._versions)

    def newer_than(
        self, versions: dict[str, _versions.Version]
    ) -> list[_ports.StoreEntry]:
        """Returns the entries of which `versions` shows an older state."""
        return [
            self._entries[key]
            for key, own in self._versions.items()
            if key not in versions or own.replaces(versions[key])
        ]

    @property
    def digest(self) -> bytes:
        """A short value that is equal for equal directories."""
        return self._digest.to_bytes(DIGEST_BYTES, "big")

    def __len__(self) -> int:
        return len(self._entries)


def _is_known(entry: _ports.StoreEntry, known: _ports.StoreEntry) -> bool:
    """Whether an entry says nothing new, without a look at what it says.

    All entries of the store are read every few seconds. One that came back
    unchanged in another era is left as it is: each node would send all of them
    to others as new.
    """
    if entry.revision.era == known.revision.era:
        return entry.revision <= known.revision
    return entry.value == known.value


def _mark(entry: _ports.StoreEntry) -> int:
    revision = entry.revision
    text = f"{entry.key}@{revision.era}.{revision.number}".encode()
    digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def content_digest(data: bytes) -> str:
    """Returns a text that is equal for equal contents."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()
