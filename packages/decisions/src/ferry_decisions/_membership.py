"""Which nodes are alive: SWIM with suspicion, aware of data centres.

After Das, Gupta and Motivala, "SWIM", 2002: in each period a node probes one
other, asks a few more to probe it when the answer is late, and only then
suspects it; changes travel on the probes themselves. The cost per node does
not depend on how many there are. Most probes stay in the own data centre.
Nodes held to be dead are still probed now and then for as long as the
platform lists them, so that a healed partition heals here too.
"""

import math
import random
import typing

import attrs

from ferry_decisions import _placement
from ferry_decisions import _probing
from ferry_decisions import _timers


@attrs.define(slots=True)
class _Peer:
    """What is known of one other node."""

    node: _placement.Node
    incarnation: int = 0
    health: _probing.Health = _probing.Health.ALIVE
    listed: bool = True


class Membership:
    """One node's view of all nodes."""

    def __init__(
        self,
        timers: _timers.TimerService,
        transport: _probing.ProbeTransport,
        node: _placement.Node,
        cfg: _probing.MembershipSettings,
        rng: random.Random,
        on_change: typing.Callable[[], object],
    ) -> None:
        self._timers = timers
        self._transport = transport
        self._node = node
        self._cfg = cfg
        self._rng = rng
        self._on_change = on_change
        self._peers: dict[str, _Peer] = {}
        self._waiting: dict[int, str] = {}
        self._relays: dict[int, tuple[_placement.Node, int]] = {}
        self._news: dict[str, tuple[_probing.Update, int]] = {}
        self._near: list[str] = []
        self._far: list[str] = []
        self._number = rng.randrange(1 << 30)
        self._rounds = 0
        self.incarnation = 1
        self._left = False
        self._pushing = False
        self.suspicions = 0
        self._announce(_probing.Update(node, 1, _probing.Health.ALIVE))
        self._timer = _timers.PeriodicTimer(
            timers,
            cfg.period_s,
            self._round,
            first=rng.uniform(0.0, cfg.period_s),
        )

    def alive(self) -> tuple[_placement.Node, ...]:
        """Returns the nodes in use, by name; this one is among them.

        A suspected node is still in use until its suspicion is confirmed.
        """
        others = [
            p.node
            for p in self._peers.values()
            if p.health in (_probing.Health.ALIVE, _probing.Health.SUSPECT)
        ]
        own = [] if self._left else [self._node]
        return tuple(sorted([*others, *own], key=lambda n: n.name))

    def note_listed(self, nodes: list[_placement.Node]) -> None:
        """Takes in the platform's list.

        A listed node that is new counts as alive until probes say otherwise.
        A node that was listed and no longer is, is forgotten once it is dead.
        """
        names = {n.name for n in nodes}
        changed = False
        for node in nodes:
            if node.name != self._node.name and node.name not in self._peers:
                self._peers[node.name] = _Peer(node)
                changed = True
        for name in list(self._peers):
            peer = self._peers[name]
            peer.listed = name in names
            if not peer.listed and peer.health >= _probing.Health.DEAD:
                del self._peers[name]
        if changed:
            self._on_change()

    def leave(self) -> None:
        """Tells the others that this node leaves on purpose."""
        self._left = True
        self._announce(
            _probing.Update(self._node, self.incarnation, _probing.Health.LEFT)
        )
        targets = [
            p for p in self._peers.values() if p.health == _probing.Health.ALIVE
        ]
        self._rng.shuffle(targets)
        for peer in targets[: self._cfg.helpers * 2]:
            self._send_probe(peer.node)

    def close(self) -> None:
        """Stops probing."""
        self._timer.stop()

    def note_process_pause(self, late_s: float) -> None:
        """Forgets outstanding probes after a pause of this process."""
        if late_s >= self._cfg.lateness_s:
            self._waiting.clear()

    def receive(self, message: _probing.ProbeMessage) -> None:
        """Takes a message in."""
        for update in message.updates:
            self._take(update)
        self._meet(message.sender)
        match message:
            case _probing.Probe():
                self._answer(message)
            case _probing.Ack():
                self._take_ack(message)
            case _probing.IndirectProbe():
                number = self._send_probe(message.target)
                self._relays[number] = (message.sender, message.number)
                self._timers.after(
                    self._cfg.period_s,
                    lambda: self._relays.pop(number, None),
                )

    def _meet(self, node: _placement.Node) -> None:
        """Learns of a node that speaks and was not known."""
        if node.name not in self._peers and node.name != self._node.name:
            self._take(_probing.Update(node, 1, _probing.Health.ALIVE))

    def _answer(self, message: _probing.Probe) -> None:
        peer = self._peers.get(message.sender.name)
        updates = self._gossip()
        if peer is not None and peer.health is not _probing.Health.ALIVE:
            known = _probing.Update(peer.node, peer.incarnation, peer.health)
            updates = (known, *updates)[: self._cfg.max_updates]
        ack = _probing.Ack(
            message.number, self._node, self.incarnation, updates
        )
        self._transport.send(message.sender, ack)

    def _take_ack(self, message: _probing.Ack) -> None:
        relay = self._relays.pop(message.number, None)
        if relay is not None:
            asker, number = relay
            self._transport.send(
                asker,
                _probing.Ack(number, message.sender, message.incarnation, ()),
            )
        waiting = self._waiting.pop(message.number, None)
        if waiting is None:
            return
        peer = self._peers.get(waiting)
        if peer is None or peer.health is _probing.Health.LEFT:
            return
        if peer.health is _probing.Health.SUSPECT and (
            message.incarnation >= peer.incarnation
        ):
            self._set(peer, message.incarnation, _probing.Health.ALIVE)

    def _round(self) -> None:
        """Probes one node."""
        if self._left:
            return
        self._rounds += 1
        target = self._next_target()
        if target is None:
            return
        number = self._send_probe(target.node)
        self._waiting[number] = target.node.name
        self._timers.after(
            self._cfg.timeout_s, lambda: self._ask_helpers(number)
        )
        self._timers.after(
            self._cfg.period_s * 0.95, lambda: self._give_up(number)
        )

    def _ask_helpers(self, number: int) -> None:
        waiting = self._waiting.get(number)
        if waiting is None or waiting not in self._peers:
            return
        target = self._peers[waiting].node
        helpers = [
            p.node
            for p in self._peers.values()
            if p.health is _probing.Health.ALIVE and p.node.name != target.name
        ]
        self._rng.shuffle(helpers)
        helpers.sort(key=lambda n: n.data_centre != target.data_centre)
        for helper in helpers[: self._cfg.helpers]:
            self._transport.send(
                helper,
                _probing.IndirectProbe(
                    number, self._node, target, self._gossip()
                ),
            )

    def _give_up(self, number: int) -> None:
        waiting = self._waiting.pop(number, None)
        if waiting is None:
            return
        peer = self._peers.get(waiting)
        if peer is None or peer.health is not _probing.Health.ALIVE:
            return
        self._suspect(peer, self._cfg.suspicion_s)

    def note_refused(self, name: str) -> None:
        """Takes in that a node's machine refused a connection.

        Its process is gone, so it has less time to refute the suspicion.
        """
        peer = self._peers.get(name)
        if peer is not None and peer.health is _probing.Health.ALIVE:
            self._suspect(peer, self._cfg.refused_s)

    def _suspect(self, peer: _Peer, time_s: float) -> None:
        """Suspects a node, and tells it so, that it can refute."""
        self.suspicions += 1
        self._set(peer, peer.incarnation, _probing.Health.SUSPECT, time_s)
        self._send_probe(peer.node)

    def _next_target(self) -> _Peer | None:
        if self._rounds % self._cfg.dead_every == 0:
            dead = [
                p
                for p in self._peers.values()
                if p.health is _probing.Health.DEAD
            ]
            if dead:
                return self._rng.choice(dead)
        near = self._rng.random() < self._cfg.near_share
        return self._take_from(near) or self._take_from(not near)

    def _take_from(self, near: bool) -> _Peer | None:
        """Goes round all nodes in a shuffled order before repeating one."""
        queue = self._near if near else self._far
        for _ in range(2):
            while queue:
                peer = self._peers.get(queue.pop())
                if peer is not None and peer.health <= _probing.Health.SUSPECT:
                    return peer
            own = self._node.data_centre
            queue.extend(
                name
                for name, p in self._peers.items()
                if (p.node.data_centre == own) == near
                and p.health <= _probing.Health.SUSPECT
            )
            self._rng.shuffle(queue)
        return None

    def _send_probe(self, node: _placement.Node) -> int:
        self._number += 1
        probe = _probing.Probe(self._number, self._node, self._gossip())
        self._transport.send(node, probe)
        return self._number

    def _take(self, update: _probing.Update) -> None:
        if update.node.name == self._node.name:
            self._refute(update)
            return
        peer = self._peers.get(update.node.name)
        if peer is None:
            if update.health >= _probing.Health.DEAD:
                return
            peer = _Peer(update.node, listed=False)
            self._peers[update.node.name] = peer
            self._set(peer, update.incarnation, update.health)
            return
        if _newer(update, peer):
            peer.node = update.node
            self._set(peer, update.incarnation, update.health)

    def _refute(self, update: _probing.Update) -> None:
        if self._left or update.health is _probing.Health.ALIVE:
            return
        if update.incarnation >= self.incarnation:
            self.incarnation = update.incarnation + 1
            self._announce(
                _probing.Update(
                    self._node, self.incarnation, _probing.Health.ALIVE
                )
            )

    def _set(
        self,
        peer: _Peer,
        incarnation: int,
        health: _probing.Health,
        suspicion_s: float = 0.0,
    ) -> None:
        before = peer.health
        peer.incarnation = incarnation
        peer.health = health
        self._announce(_probing.Update(peer.node, incarnation, health))
        if health is _probing.Health.SUSPECT:
            self._timers.after(
                suspicion_s or self._cfg.suspicion_s,
                lambda: self._confirm(peer, incarnation),
            )
        in_use = health <= _probing.Health.SUSPECT
        was_in_use = before <= _probing.Health.SUSPECT
        if was_in_use != in_use or before == health:
            self._on_change()

    def _confirm(self, peer: _Peer, incarnation: int) -> None:
        if (
            peer.health is _probing.Health.SUSPECT
            and peer.incarnation == incarnation
        ):
            self._set(peer, incarnation, _probing.Health.DEAD)

    def _announce(self, update: _probing.Update) -> None:
        count = max(2, len(self._peers) + 1)
        copies = 3 * math.ceil(math.log2(count))
        self._news[update.node.name] = (update, copies)
        if not self._pushing:
            self._pushing = True
            self._timers.after(self._cfg.push_s, self._push)

    def _push(self) -> None:
        """Passes news on at once; it reaches all nodes in a few rounds."""
        self._pushing = False
        alive = [
            p.node
            for p in self._peers.values()
            if p.health is _probing.Health.ALIVE
        ]
        for node in self._rng.sample(alive, min(self._cfg.fanout, len(alive))):
            self._send_probe(node)

    def _gossip(self) -> tuple[_probing.Update, ...]:
        """Returns the news that was passed on least often."""
        if not self._news:
            return ()
        fresh = sorted(self._news.items(), key=lambda i: i[1][1], reverse=True)
        chosen = fresh[: self._cfg.max_updates]
        for name, (update, copies) in chosen:
            if copies <= 1:
                del self._news[name]
            else:
                self._news[name] = (update, copies - 1)
        return tuple(update for _, (update, _) in chosen)


def _newer(update: _probing.Update, peer: _Peer) -> bool:
    return (update.incarnation, update.health) > (
        peer.incarnation,
        peer.health,
    )
