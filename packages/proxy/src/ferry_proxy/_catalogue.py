"""A node's copy of what the store holds, from the store or from peers.

Items are merged by revision, so nothing ever goes back, whatever the source.
One watch covers all keys. Without the store, peers that reach it are asked.
"""

from collections.abc import Callable
import json

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _configuration
from ferry_proxy import _events
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _store

NODE_PREFIX = "ferry/nodes/"
CLAIM_PREFIX = "ferry/claims/"
RETRY_FIRST_S = 0.1
RETRY_MOST_S = 0.6  # Below the time in which a configuration must be in force.
ALL_KEYS = ""


class InvalidItemError(ValueError):
    """An item of the store does not hold what its key says."""


@attrs.frozen(slots=True)
class Layout:
    """Where the platform keeps its items, and how they are decoded.

    Attributes:
        configuration_key: The key of the operators' configuration.
        member_prefix: What the keys of the members' entries begin with.
        decode_configuration: Raises `InvalidItemError` for an invalid one.
        decode_member: The same, for a member's id and its entry.
    """

    configuration_key: str
    member_prefix: str
    decode_configuration: Callable[[bytes], _configuration.Configuration]
    decode_member: Callable[[str, bytes], _members.Member]


@attrs.frozen(slots=True)
class NodeEntry:
    """A node of the proxy.

    Attributes:
        name: Its name.
        host: Its IP number.
        port: The port that its peers connect to.
        data_centre: Where it runs.
    """

    name: str
    host: str
    port: int
    data_centre: str = ""

    def encode(self) -> bytes:
        """Returns the entry's value in the store."""
        fields = attrs.asdict(self)
        del fields["name"]  # It is the key.
        return json.dumps(fields).encode()

    @classmethod
    def decode(cls, name: str, value: bytes) -> "NodeEntry":
        """Reads an entry.

        Raises:
            InvalidItemError: It is malformed.
        """
        try:
            raw = json.loads(value)
            data_centre = str(raw.get("data_centre", ""))
            return cls(name, str(raw["host"]), int(raw["port"]), data_centre)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            raise InvalidItemError(f"node {name}: {exc!r}") from exc


@attrs.frozen(slots=True)
class Claim:
    """The right of one node to change a group's primary.

    Attributes:
        holder: The node.
        token: The fencing token; it grows with each claim.
        done: Whether the change has ended.
    """

    holder: str
    token: int
    done: bool = False

    def encode(self) -> bytes:
        """Returns the claim's value in the store."""
        return json.dumps(attrs.asdict(self)).encode()

    @classmethod
    def decode(cls, service: str, value: bytes) -> "Claim":
        """Reads a claim.

        Raises:
            InvalidItemError: It is malformed.
        """
        try:
            raw = json.loads(value)
            return cls(str(raw["holder"]), int(raw["token"]), bool(raw["done"]))
        except (ValueError, KeyError, TypeError) as exc:
            raise InvalidItemError(f"claim {service}: {exc!r}") from exc


@attrs.frozen(slots=True)
class HeldClaim:
    """A claim as it lies in the store, and since when this node knows it."""

    claim: Claim
    revision: int
    seen_at: float


class Catalogue:
    """The items of the store, decoded.

    Attributes:
        revision: The store's revision up to which its changes are known.
        newest: The highest revision of an item, whatever its source.
    """

    def __init__(
        self,
        clock: _clocks.Clock,
        store: _store.Store,
        layout: Layout,
        policy: _policy.Policy,
    ) -> None:
        self._clock = clock
        self._store = store
        self._layout = layout
        self._policy = policy
        self._items: dict[str, _store.Item] = {}
        self._returned_at = float("-inf")
        self._heard_at = float("-inf")
        self._is_lost = False
        self._stopped = False
        self.revision = 0
        self.newest = 0
        self.configuration: _configuration.Configuration | None = None
        self.members: dict[str, _members.Member] = {}
        self.nodes: dict[str, NodeEntry] = {}
        self.claims: dict[str, HeldClaim] = {}
        self.on_change: list[Callable[[], object]] = []

    @property
    def member_prefix(self) -> str:
        """What the keys of the members' entries begin with."""
        return self._layout.member_prefix

    @property
    def is_connected(self) -> bool:
        """Whether the store answered a short while ago."""
        limit = self._policy.watch_wait_s + self._policy.store_timeout_s
        return self._clock.now() - self._heard_at < limit

    @property
    def age_s(self) -> float:
        """Seconds since the store last answered."""
        return self._clock.now() - self._heard_at

    def start(self) -> None:
        """Begins to follow the store."""
        decisions.start(self._follow())

    def stop(self) -> None:
        """Ceases to follow the store."""
        self._stopped = True

    def item(self, key: str) -> _store.Item | None:
        """Returns an item that is there."""
        found = self._items.get(key)
        return None if found is None or found.value is None else found

    def newer_than(self, revision: int) -> list[_store.Item]:
        """Returns the items changed after a revision, deletions included."""
        return [i for i in self._items.values() if i.revision > revision]

    def take(self, items: "tuple[_store.Item, ...]", source: str) -> None:
        """Merges items in.

        Args:
            items: Items or deletions, in any order.
            source: Where they come from, for the log.
        """
        changed = False
        for item in sorted(items, key=lambda i: i.revision):
            known = self._items.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            self._items[item.key] = item
            self.newest = max(self.newest, item.revision)
            self._apply(item, source)
            changed = True
        if changed:
            for callback in self.on_change:
                callback()

    # -- following the store ---------------------------------------------

    def _follow(self) -> "decisions.Flow[None]":
        pause = RETRY_FIRST_S
        while not self._stopped:
            try:
                yield from self._follow_once()
            except _store.HistoryLostError as exc:
                _events.emit(_events.DependencyLost("history", str(exc)))
            except _store.StoreUnavailableError as exc:
                if pause == RETRY_FIRST_S or not self._is_lost:
                    self._is_lost = True
                    _events.emit(_events.DependencyLost("store", str(exc)))
                yield decisions.sleep(self._clock, pause)
                pause = min(RETRY_MOST_S, pause * 2)
                continue
            pause = RETRY_FIRST_S

    def _follow_once(self) -> "decisions.Flow[None]":
        snapshot = yield self._store.list(ALL_KEYS)
        self._note_answer()
        self._take_snapshot(snapshot)
        while not self._stopped:
            wait = self._policy.watch_wait_s
            changes = yield self._store.changes(ALL_KEYS, self.revision, wait)
            self._note_answer()
            self.revision = max(self.revision, changes.revision)
            self.take(changes.items, "store")

    def _note_answer(self) -> None:
        self._heard_at = self._clock.now()
        if self._is_lost:
            self._is_lost = False
            self._returned_at = self._heard_at
            _events.emit(_events.DependencyBack("store"))

    def _take_snapshot(self, snapshot: _store.Changes) -> None:
        """Takes all items in; what is missing has been deleted."""
        present = {i.key for i in snapshot.items}
        gone = [
            _store.Item(key, None, snapshot.revision)
            for key, item in self._items.items()
            if key not in present
            and item.value is not None
            and item.revision <= snapshot.revision
        ]
        self.revision = max(self.revision, snapshot.revision)
        self.take((*snapshot.items, *gone), "store")

    # -- decoding --------------------------------------------------------

    def _apply(self, item: _store.Item, source: str) -> None:
        layout = self._layout
        try:
            if item.key == layout.configuration_key:
                self._apply_configuration(item, source)
            elif item.key.startswith(layout.member_prefix):
                member = item.key.removeprefix(layout.member_prefix)
                self._apply_member(member, item)
            elif item.key.startswith(NODE_PREFIX):
                self._apply_node(item.key.removeprefix(NODE_PREFIX), item)
            elif item.key.startswith(CLAIM_PREFIX):
                self._apply_claim(item.key.removeprefix(CLAIM_PREFIX), item)
        except InvalidItemError as exc:
            _events.emit(
                _events.DocumentRefused(item.key, item.revision, str(exc))
            )

    def _apply_configuration(self, item: _store.Item, source: str) -> None:
        if item.value is None:
            return
        cfg = self._layout.decode_configuration(item.value)
        known = self.configuration
        if known is not None and cfg.version <= known.version:
            return
        self.configuration = cfg
        _events.emit(
            _events.ConfigurationTaken(cfg.version, item.revision, source)
        )

    def _apply_member(self, name: str, item: _store.Item) -> None:
        if item.value is None:
            self._remove_member(name, item)
            return
        member = self._layout.decode_member(name, item.value)
        known = self.members.get(name)
        self.members[name] = member
        if known != member:
            change = "draining" if member.draining else "seen"
            _events.emit(_events.MemberChanged(name, member.service, change))

    def _remove_member(self, name: str, item: _store.Item) -> None:
        """Removes a member; entries that lapsed meanwhile may come back."""
        grace = self._policy.return_grace_s
        left = self._returned_at + grace - self._clock.now()
        if left > 0:
            self._clock.after(left, lambda: self._remove_if_gone(name, item))
        else:
            self._forget_member(name)

    def _remove_if_gone(self, name: str, item: _store.Item) -> None:
        key = self._layout.member_prefix + name
        if self._items.get(key) == item:
            self._forget_member(name)
            for callback in self.on_change:
                callback()

    def _forget_member(self, name: str) -> None:
        member = self.members.pop(name, None)
        if member is not None:
            _events.emit(_events.MemberChanged(name, member.service, "gone"))

    def _apply_node(self, name: str, item: _store.Item) -> None:
        if item.value is None:
            self.nodes.pop(name, None)
        else:
            self.nodes[name] = NodeEntry.decode(name, item.value)

    def _apply_claim(self, service: str, item: _store.Item) -> None:
        if item.value is None:
            self.claims.pop(service, None)
            return
        claim = Claim.decode(service, item.value)
        now = self._clock.boot_now()
        self.claims[service] = HeldClaim(claim, item.revision, now)
