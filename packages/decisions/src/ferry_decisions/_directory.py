"""A node's copy of the operators' configuration and the databases' records.

Entries of the store are merged by version, so their source does not matter: a
watch, a read, a peer, or a store that returns stale data or was restored from a
backup. An entry never reverts to an earlier state.
"""

from collections.abc import Callable
from collections.abc import Iterable
import hashlib

from ferry_decisions import _ports
from ferry_decisions import _versions

DIGEST_BYTES = 8


class Directory:
    """Holds the newest known entry of each key."""

    def __init__(self) -> None:
        self._entries: dict[str, _ports.StoreEntry] = {}
        self._versions: dict[str, _versions.Version] = {}
        self._subscribers: list[Callable[[_ports.StoreEntry], object]] = []
        self._digest = 0

    def subscribe(
        self, callback: Callable[[_ports.StoreEntry], object]
    ) -> None:
        """Registers a callback for each entry that is added or replaced."""
        self._subscribers.append(callback)

    def merge(
        self, entries: Iterable[_ports.StoreEntry]
    ) -> list[_ports.StoreEntry]:
        """Merges entries; returns those that replaced what was known."""
        accepted = []
        for entry in entries:
            known = self._entries.get(entry.key)
            if known is not None and _is_known(entry, known):
                continue
            version = _versions.version_of(entry)
            before = self._versions.get(entry.key)
            if before is not None and not version.replaces(before):
                continue
            if known is not None:
                self._digest ^= _entry_digest(known)
            self._digest ^= _entry_digest(entry)
            self._entries[entry.key] = entry
            self._versions[entry.key] = version
            accepted.append(entry)
        for entry in accepted:
            for callback in self._subscribers:
                callback(entry)
        return accepted

    def get(self, key: str) -> _ports.StoreEntry | None:
        """Returns the entry of a key, or None."""
        return self._entries.get(key)

    def entries(self, prefix: str = "") -> list[_ports.StoreEntry]:
        """Returns the entries whose keys begin with `prefix`, sorted."""
        found = [e for k, e in self._entries.items() if k.startswith(prefix)]
        return sorted(found, key=lambda e: e.key)

    def versions(self) -> dict[str, _versions.Version]:
        """Returns the known version of each key."""
        return dict(self._versions)

    def newer_than(
        self, versions: dict[str, _versions.Version]
    ) -> list[_ports.StoreEntry]:
        """Returns the entries that are newer than those in `versions`."""
        return [
            self._entries[key]
            for key, own in self._versions.items()
            if key not in versions or own.replaces(versions[key])
        ]

    @property
    def digest(self) -> bytes:
        """A short digest that is equal for equal directories."""
        return self._digest.to_bytes(DIGEST_BYTES, "big")

    def __len__(self) -> int:
        return len(self._entries)


def _is_known(entry: _ports.StoreEntry, known: _ports.StoreEntry) -> bool:
    """Whether an entry adds nothing to the known one; does not decode it.

    All entries of the store are read every few seconds. An entry that has the
    same value in another era does not replace the known one; otherwise each
    node would send all entries to the others as new.
    """
    if entry.revision.era == known.revision.era:
        return entry.revision <= known.revision
    return entry.value == known.value


def _entry_digest(entry: _ports.StoreEntry) -> int:
    revision = entry.revision
    text = f"{entry.key}@{revision.era}.{revision.number}".encode()
    digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def content_digest(data: bytes) -> str:
    """Returns a hexadecimal digest of `data`."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()
