"""A fake of the platform's store, in virtual time."""

from collections.abc import Callable
import typing

import attrs
import ferry_decisions as decisions

T = typing.TypeVar("T")
_List = list


@attrs.frozen
class StoreBackup:
    """What the virtual store held at a moment."""

    entries: dict[str, decisions.StoreEntry]
    number: int


@attrs.define
class StoreState:
    """The contents of the virtual store, shared by all nodes' clients.

    Attributes:
        entries: Entries by key.
        number: How many changes there were, and one.
        era: How often the store came back from a copy.
        down: Whether no call is answered or takes effect.
        replies_to_drop: How many of the next writes take effect unanswered.
        delay_s: Time that a call takes, in seconds.
        calls: Calls so far.
        refused_writes: Writes so far whose condition did not hold.
    """

    entries: dict[str, decisions.StoreEntry] = attrs.field(factory=dict)
    number: int = 1
    era: int = 0
    down: bool = False
    replies_to_drop: int = 0
    delay_s: float = 0.003
    calls: int = 0
    refused_writes: int = 0
    watches: "list[VirtualWatch]" = attrs.field(factory=list)

    @property
    def revision(self) -> decisions.Revision:
        """The last revision."""
        return decisions.Revision(self.era, self.number)

    def condition(self, key: str) -> decisions.Revision:
        """Returns the revision that a key has, for a conditional write."""
        known = self.entries.get(key)
        return known.revision if known else self.revision.beginning

    def copy(self) -> StoreBackup:
        """Returns what a later `restore` brings back."""
        return StoreBackup(dict(self.entries), self.number)

    def restore(self, copy: StoreBackup) -> None:
        """Comes back from a copy; all that was written since is gone."""
        self.era += 1
        self.number = copy.number
        self.entries = {
            k: attrs.evolve(
                e, revision=decisions.Revision(self.era, e.revision.number)
            )
            for k, e in copy.entries.items()
        }
        for watch in self.watches:
            watch.restored()


class VirtualStore:
    """One node's client of the virtual store."""

    def __init__(
        self, timers: decisions.TimerService, state: StoreState
    ) -> None:
        self._timers = timers
        self._state = state
        self.cut = False

    @property
    def era(self) -> int:
        """The era in which the store answers."""
        return self._state.era

    def get(self, key: str) -> "decisions.Future[decisions.StoreEntry | None]":
        """Reads a key."""
        return self._call(lambda: self._state.entries.get(key), writes=False)

    def list(
        self, prefix: str
    ) -> "decisions.Future[_List[decisions.StoreEntry]]":
        """Reads all keys that begin with `prefix`."""

        def work() -> "list[decisions.StoreEntry]":
            found = self._state.entries.items()
            return [e for k, e in found if k.startswith(prefix)]

        return self._call(work, writes=False)

    def put_if(
        self, key: str, value: bytes, revision: decisions.Revision
    ) -> "decisions.Future[decisions.StoreEntry | None]":
        """Writes a key if its revision is still `revision`."""

        def work() -> decisions.StoreEntry | None:
            state = self._state
            if state.condition(key).number != revision.number:
                state.refused_writes += 1
                return None
            state.number += 1
            entry = decisions.StoreEntry(key, value, state.revision)
            state.entries[key] = entry
            if revision.era != state.era:
                # It compares numbers alone, and says its era afterwards.
                raise decisions.StoreUnavailableError("another era")
            for watch in state.watches:
                if key.startswith(watch.prefix):
                    self._timers.after(
                        state.delay_s,
                        lambda w=watch: w.notify(entry),  # type: ignore[misc]
                    )
            return entry

        return self._call(work, writes=True)

    def watch(
        self,
        prefix: str,
        notify: Callable[[decisions.StoreEntry], None],
        restored: Callable[[], None],
    ) -> "VirtualWatch":
        """Reports each change below a prefix from now on."""
        self._state.calls += 1
        watch = VirtualWatch(self._state, prefix, notify, restored, self)
        self._state.watches.append(watch)
        return watch

    @property
    def reachable(self) -> bool:
        """Whether calls get through."""
        return not self._state.down and not self.cut

    def _call(
        self, work: "Callable[[], T]", writes: bool
    ) -> "decisions.Future[T]":
        state = self._state
        state.calls += 1
        fut: decisions.Future[T] = decisions.Future()

        def fail() -> None:
            decisions.reject(fut, decisions.StoreUnavailableError("virtual"))

        def arrive() -> None:
            if not self.reachable:
                self._timers.after(1.0, fail)
                return
            try:
                result = work()
            except decisions.StoreUnavailableError:
                fail()
                return
            if writes and result is not None and state.replies_to_drop > 0:
                state.replies_to_drop -= 1
                self._timers.after(1.0, fail)
                return
            self._timers.after(
                state.delay_s / 2, lambda: decisions.resolve(fut, result)
            )

        self._timers.after(state.delay_s / 2, arrive)
        return fut


class VirtualWatch:
    """A watch on the virtual store."""

    def __init__(
        self,
        state: StoreState,
        prefix: str,
        notify: Callable[[decisions.StoreEntry], None],
        restored: Callable[[], None],
        client: VirtualStore,
    ) -> None:
        self.prefix = prefix
        self.restored = restored
        self._state = state
        self._notify = notify
        self._client = client

    def notify(self, entry: decisions.StoreEntry) -> None:
        """Passes a change on, if it gets through."""
        if self._client.reachable:
            self._notify(entry)

    def cancel(self) -> None:
        """Ends the watch."""
        if self in self._state.watches:
            self._state.watches.remove(self)
