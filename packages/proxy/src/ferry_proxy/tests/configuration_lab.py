"""Nodes that follow configurations, in virtual time, amid random faults."""

from collections.abc import Callable
import functools
import random
import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _configuration
from ferry_proxy import _currency
from ferry_proxy import _followers
from ferry_proxy import _mesh
from ferry_proxy import _peer_handler
from ferry_proxy import _peer_messages
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _registrar
from ferry_proxy import _store
from ferry_proxy.tests import fakes
from ferry_proxy.tests import fleet_network

KEY = "config"
PEER_PORT = 1
CHECK_S = 0.1
ASK_S = 0.05
# The time within which an acknowledged configuration has to be in force.
BOUND_S = _policy.Bounds().configuration_s
# A node that was undisturbed for this long has to meet the bound.
CALM_S = 4.0


def decode(value: bytes) -> _configuration.Configuration:
    """Decodes a document that consists of a version."""
    return _configuration.Configuration(int(value), {}, {}, 3.0, 1 << 20)


def _no_member(*_):
    raise _records.InvalidItemError("not used")


LAYOUT = _catalogue.Layout(KEY, "members/", decode, _no_member)


class NodeStore:
    """One node's path to the store.

    Attributes:
        rejects_calls: Whether the store refuses this node's calls.
        is_silent: Whether calls get no answer, also those that wait now.
        answer_delay_s: How much later answers arrive.
        loses_history: Whether the next watch is told that history is lost.
    """

    def __init__(self, clock, store: fakes.FakeStore, policy) -> None:
        self._clock = clock
        self._store = store
        self._policy = policy
        self.rejects_calls = False
        self.is_silent = False
        self.answer_delay_s = 0.0
        self.loses_history = False

    def list(self, prefix):
        return self._call("list", 0.0, prefix)

    def changes(self, prefix, after, wait_s):
        if self.loses_history:
            self.loses_history = False
            return decisions.failed(_store.HistoryLostError("compacted"))
        return self._call("changes", wait_s, prefix, after, wait_s)

    def put_if(self, *args):
        return self._call("put_if", 0.0, *args)

    def remove_if(self, *args):
        return self._call("remove_if", 0.0, *args)

    def _call(self, name, wait_s, *args):
        if self.rejects_calls:
            failure = _store.StoreUnavailableError("rejected")
            return decisions.failed(failure)
        out: decisions.Future[object] = decisions.Future()
        timeout_s = wait_s + self._policy.store_timeout_s
        lost = _store.StoreUnavailableError("no answer")
        self._clock.after(timeout_s, lambda: decisions.reject(out, lost))
        if not self.is_silent:
            inner = getattr(self._store, name)(*args)
            inner.add_done_callback(lambda fut: self._answer(fut, out))
        return out

    def _answer(self, inner, out):
        if not self.is_silent:
            deliver = functools.partial(decisions.forward, inner, out)
            self._clock.after(self.answer_delay_s, deliver)


class _NoGroups:
    """A node that serves no groups."""

    groups: dict[str, object] = {}
    missed: list[str] = []

    def forget(self, stream) -> None:
        pass


class Handler(_peer_handler.PeerMessageHandler):
    """Answers peers.

    Attributes:
        withholds_copies: Whether requests for changes get no reply.
    """

    withholds_copies = False

    def answer(self, stream, body):
        if self.withholds_copies:
            return None
        return super().answer(stream, body)


class Node:
    """A process with the parts that keep its configuration current."""

    def __init__(self, lab: "Lab", own: _records.NodeEntry) -> None:
        self.own = own
        self.name = own.name
        self.address = own.host, own.port
        self.clock = fleet_network.NodeClock(lab.timers)
        self.started_at = lab.timers.now()
        self.store = NodeStore(self.clock, lab.store, lab.policy)
        self.copy = _catalogue.Catalogue(self.clock, LAYOUT, lab.policy)
        loop: typing.Any = self.clock
        self.mesh = _mesh.Mesh(loop, own)
        self.follower = _followers.Follower(
            self.clock, self.store, self.copy, own, self.mesh, lab.policy
        )
        self.currency = _currency.Currency(
            self.clock, self.copy, self.follower, self.mesh
        )
        self.registrar = _registrar.Registrar(
            self.clock, own, self.store, self.copy, self.follower, self.mesh
        )
        nothing: typing.Any = _NoGroups()
        self.handler = Handler(
            self.clock, self.copy, self.follower,
            nothing, nothing, nothing, nothing,
        )  # fmt: skip
        self.max_copy_age_s = lab.policy.max_copy_age_s
        self.newest_version = 0
        ticker = decisions.Ticker(self.clock, CHECK_S)
        self.mesh.open(self.handler, ticker)
        ticker.subscribe(CHECK_S, self._check)
        self.copy.on_change.append(self._connect)
        self._seeds = lab.seeds
        self._told: _peer_messages.Ping | None = None
        self.follower.start()

    def _connect(self):
        self.mesh.set_nodes(self.copy.nodes.values(), self._seeds)
        self.mesh.want(())

    def _check(self):
        self._connect()
        state = self.handler.describe().state
        if state != self._told:
            self._told = state
            self.mesh.announce()
        self.registrar.update()

    @property
    def is_running(self):
        return not self.clock.is_stopped and not self.clock.is_paused

    @property
    def version(self):
        return self.copy.version

    @property
    def doubt(self):
        evidence = self.currency.evidence
        return _currency.doubt(evidence, self.max_copy_age_s)


@attrs.frozen
class Finding:
    """A running node had an older version than the one required of it."""

    at: float
    node: str
    version: int
    required: int
    evidence: _currency.Evidence


class Lab:
    """A fleet on one store, and an operator.

    Attributes:
        refusals: Nodes without a doubt that lacked an acknowledged version.
        late: Calm nodes that had an older version than the acknowledged one.
        regressions: Nodes that had a newer version before.
    """

    def __init__(self, monkeypatch, places) -> None:
        """Starts a fleet.

        Args:
            monkeypatch: Replaces the functions that open streams.
            places: The data centre of each node.
        """
        self.timers = decisions.VirtualTimers()
        self.policy = _policy.Policy().within(_policy.Bounds())
        self.store = fakes.FakeStore(self.timers)
        self.network = fleet_network.Network(self.timers)
        monkeypatch.setattr(_mesh, "runtime", self.network)
        self.entries = [
            _records.NodeEntry(f"n{n}", f"h{n}", PEER_PORT, place)
            for n, place in enumerate(places)
        ]
        self.seeds = [(e.host, e.port) for e in self.entries[:3]]
        self.operator_version = 0
        self.acknowledged: list[tuple[float, int]] = []
        self.refusals: list[Finding] = []
        self.late: list[Finding] = []
        self.regressions: list[Finding] = []
        self.disturbed_until: dict[str, float] = {}
        self.change()
        self.nodes = {e.name: Node(self, e) for e in self.entries}
        decisions.PeriodicTimer(self.timers, ASK_S, self._ask)

    def run(self, seconds):
        self.timers.advance(seconds)

    def change(self):
        """Writes a newer configuration, if the store accepts it."""
        if not self.store.down:
            self.operator_version += 1
            self.rewrite()
            now = self.timers.now()
            self.acknowledged.append((now, self.operator_version))

    def rewrite(self):
        """Writes the newest configuration once more."""
        self.store.put(KEY, str(self.operator_version).encode())

    def required(self, age_s=BOUND_S):
        """Returns the newest version that was acknowledged by then."""
        latest = self.timers.now() - age_s
        known = [v for at, v in self.acknowledged if at < latest]
        return max(known, default=0)

    def disturb(self, name, seconds):
        """Records that a node is disturbed for a time."""
        until = self.timers.now() + seconds
        known = self.disturbed_until.get(name, 0.0)
        self.disturbed_until[name] = max(known, until)

    def kill(self, name, down_s):
        """Ends a process, which starts again after a time."""
        node = self.nodes[name]
        if node.clock.is_stopped:
            return
        self.disturb(name, down_s)
        self.network.end_all(node.clock)
        node.clock.is_stopped = True
        node.mesh._wanted.clear()
        self.timers.after(down_s, lambda: self._start(node.own))

    def _start(self, own):
        self.nodes[own.name] = Node(self, own)

    def _ask(self):
        for node in self.nodes.values():
            self._ask_node(node)

    def _ask_node(self, node):
        if not node.is_running or not node.version:
            return
        if node.version < node.newest_version:
            self.regressions.append(self._finding(node, node.newest_version))
        node.newest_version = max(node.newest_version, node.version)
        required = self.required()
        if node.version >= required:
            return
        if node.doubt is None:
            self.refusals.append(self._finding(node, required))
        calm_since = self.disturbed_until.get(node.name, node.started_at)
        if self.timers.now() - calm_since > CALM_S:
            self.late.append(self._finding(node, required))

    def _finding(self, node, required):
        at = round(self.timers.now(), 3)
        evidence = node.currency.evidence
        return Finding(at, node.name, node.version, required, evidence)


# Nodes have to learn of changes from peers while the store rejects them.
HARMLESS = frozenset({"rejects_calls"})


class Faults:
    """Random faults of one run; each seed has its own mix of them."""

    def __init__(self, lab: Lab, seed: int) -> None:
        self.lab = lab
        self.rng = random.Random(f"configurations {seed}")
        kinds = sorted(_KINDS)
        count = self.rng.randint(3, len(kinds))
        self._kinds = self.rng.sample(kinds, count)
        self._gap_s = self.rng.choice((0.15, 0.4, 1.0))
        self.is_over = False
        self._schedule()

    def _schedule(self):
        delay_s = self.rng.expovariate(1.0 / self._gap_s)
        self.lab.timers.after(delay_s, self._strike)

    def _strike(self):
        if not self.is_over:
            _KINDS[self.rng.choice(self._kinds)](self)
            self._schedule()

    def node(self):
        return self.lab.nodes[self.rng.choice(sorted(self.lab.nodes))]

    def seconds(self):
        return self.rng.choice((0.3, 1.0, 3.0, 9.0)) * (0.5 + self.rng.random())

    def harm_path(self, field, value, usual):
        """Changes a node's path to the store for a time."""
        node, seconds = self.node(), self.seconds()
        if field not in HARMLESS:
            self.lab.disturb(node.name, seconds)
        setattr(node.store, field, value)
        heal = functools.partial(setattr, node.store, field, usual)
        self.lab.timers.after(seconds, heal)

    def disturb_all(self, seconds):
        for name in self.lab.nodes:
            self.lab.disturb(name, seconds)


_KINDS: dict[str, Callable[["Faults"], object]] = {}


def _kind(function):
    """Registers a kind of fault."""
    _KINDS[function.__name__] = function
    return function


@_kind
def changed(faults):
    faults.lab.change()


@_kind
def changed_in_series(faults):
    for n in range(faults.rng.randint(2, 8)):
        faults.lab.timers.after(0.3 * n, faults.lab.change)


@_kind
def rejected(faults):
    faults.harm_path("rejects_calls", True, False)


@_kind
def silent(faults):
    faults.harm_path("is_silent", True, False)


@_kind
def slow(faults):
    faults.harm_path("answer_delay_s", 0.6, 0.0)


@_kind
def history_lost(faults):
    for node in faults.lab.nodes.values():
        node.store.loses_history = True


@_kind
def store_away(faults):
    lab, seconds = faults.lab, min(5.0, faults.seconds())
    if lab.store.down:
        return
    lab.store.down = True
    faults.disturb_all(seconds)
    lab.timers.after(
        seconds, functools.partial(setattr, lab.store, "down", False)
    )


@_kind
def restored(faults):
    lab, rng = faults.lab, faults.rng
    if lab.store.down:
        return
    copy = lab.store.copy()
    written = [rng.random() * 4.0 for _ in range(rng.randint(0, 6))]
    for delay_s in written:
        lab.timers.after(delay_s, lab.change)
    lab.timers.after(5.0 * rng.random(), lambda: _restore(faults, copy))


def _restore(faults, copy):
    lab, rng = faults.lab, faults.rng
    if lab.store.down:
        return
    lab.store.down = True
    away_s, operator_s = 1.5 * rng.random(), rng.choice((0.3, 2.0, 8.0))
    faults.disturb_all(away_s + operator_s)
    lab.timers.after(away_s, lambda: _end_restore(lab, copy))
    lab.timers.after(away_s + operator_s, lambda: _write_again(faults))


def _end_restore(lab, copy):
    lab.store.down = False
    lab.store.restore(copy)


def _write_again(faults):
    if faults.lab.store.down:
        faults.lab.timers.after(0.1, lambda: _write_again(faults))
    else:
        faults.lab.rewrite()


@_kind
def one_way_cut(faults):
    one, other = faults.node(), faults.node()
    seconds = faults.seconds()
    faults.lab.disturb(one.name, seconds)
    faults.lab.disturb(other.name, seconds)
    faults.lab.network.cut(one.address, other.address, seconds)


@_kind
def cut_off_from_nodes(faults):
    one, seconds = faults.node(), faults.seconds()
    for other in faults.lab.nodes.values():
        if other is not one:
            faults.lab.network.cut(one.address, other.address, seconds)
            faults.lab.network.cut(other.address, one.address, seconds)
    faults.lab.disturb(one.name, seconds)


@_kind
def copies_withheld(faults):
    node = faults.node()
    node.handler.withholds_copies = True
    heal = functools.partial(setattr, node.handler, "withholds_copies", False)
    faults.lab.timers.after(faults.seconds(), heal)


@_kind
def killed(faults):
    faults.lab.kill(faults.node().name, 0.3 + 1.5 * faults.rng.random())


@_kind
def herd_killed(faults):
    for name in sorted(faults.lab.nodes):
        if faults.rng.random() < 0.7:
            faults.lab.kill(name, 0.3 + 1.5 * faults.rng.random())


@_kind
def frozen(faults):
    node, seconds = faults.node(), faults.seconds()
    faults.lab.disturb(node.name, seconds)
    node.clock.freeze(seconds)


@_kind
def suspended(faults):
    node, seconds = faults.node(), faults.seconds()
    faults.lab.disturb(node.name, seconds)
    node.clock.suspend(seconds)


def play(monkeypatch, seed: int, seconds: float = 40.0) -> Lab:
    """Plays one run of random faults and returns what it found."""
    rng = random.Random(f"fleet {seed}")
    places = [f"hall-{n % rng.randint(1, 3)}" for n in range(rng.randint(4, 9))]
    lab = Lab(monkeypatch, places)
    lab.run(3.0)
    Faults(lab, seed)
    lab.run(seconds)
    return lab
