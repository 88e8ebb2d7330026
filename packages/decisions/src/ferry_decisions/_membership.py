"""Membership: SWIM with suspicion, aware of data centres.

Follows Das, Gupta and Motivala, "SWIM", 2002. In each period a node probes one
other node. If the answer is late it asks a few helpers to probe that node, and
suspects it only if they get no answer either. Changes are piggybacked on the
probes. The cost per node does not depend on the number of nodes. Most probes
stay within the node's own data centre. Dead nodes are still probed occasionally
for as long as the platform lists them, so that membership recovers after a
network partition.
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
    """The known state of another node."""

    node: _placement.Node
    incarnation: int = 0
    health: _probing.Health = _probing.Health.ALIVE
    listed: bool = True


class Membership:
    """One node's view of the membership of all nodes."""

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
        self._outstanding: dict[int, str] = {}
        self._relays: dict[int, tuple[_placement.Node, int]] = {}
        self._updates: dict[str, tuple[_probing.Update, int]] = {}
        self._local: list[str] = []
        self._remote: list[str] = []
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
            self._probe_next,
            first=rng.uniform(0.0, cfg.period_s),
        )

    def alive(self) -> tuple[_placement.Node, ...]:
        """Returns the nodes in use, sorted by name, including this one.

        A suspected node stays in use until its suspicion is confirmed.
        """
        others = [
            p.node
            for p in self._peers.values()
            if p.health in (_probing.Health.ALIVE, _probing.Health.SUSPECT)
        ]
        own = [] if self._left else [self._node]
        return tuple(sorted([*others, *own], key=lambda n: n.name))

    def note_listed(self, nodes: list[_placement.Node]) -> None:
        """Applies the platform's list of nodes.

        A newly listed node counts as alive until probes show otherwise. A
        node that is no longer listed is removed once it is dead.
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
        """Announces that this node is leaving voluntarily."""
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
        """Stops the periodic probes."""
        self._timer.stop()

    def note_process_pause(self, late_s: float) -> None:
        """Discards outstanding probes after a pause of this process."""
        if late_s >= self._cfg.pause_threshold_s:
            self._outstanding.clear()

    def receive(self, message: _probing.ProbeMessage) -> None:
        """Handles a message from another node."""
        for update in message.updates:
            self._apply_update(update)
        self._add_sender(message.sender)
        match message:
            case _probing.Probe():
                self._handle_probe(message)
            case _probing.Ack():
                self._handle_ack(message)
            case _probing.IndirectProbe():
                number = self._send_probe(message.target)
                self._relays[number] = (message.sender, message.number)
                self._timers.after(
                    self._cfg.period_s,
                    lambda: self._relays.pop(number, None),
                )

    def _add_sender(self, node: _placement.Node) -> None:
        """Adds the sender of a message if it was not known."""
        if node.name not in self._peers and node.name != self._node.name:
            self._apply_update(_probing.Update(node, 1, _probing.Health.ALIVE))

    def _handle_probe(self, message: _probing.Probe) -> None:
        peer = self._peers.get(message.sender.name)
        updates = self._gossip()
        if peer is not None and peer.health is not _probing.Health.ALIVE:
            known = _probing.Update(peer.node, peer.incarnation, peer.health)
            updates = (known, *updates)[: self._cfg.max_updates]
        ack = _probing.Ack(
            message.number, self._node, self.incarnation, updates
        )
        self._transport.send(message.sender, ack)

    def _handle_ack(self, message: _probing.Ack) -> None:
        relay = self._relays.pop(message.number, None)
        if relay is not None:
            asker, number = relay
            self._transport.send(
                asker,
                _probing.Ack(number, message.sender, message.incarnation, ()),
            )
        target_name = self._outstanding.pop(message.number, None)
        if target_name is None:
            return
        peer = self._peers.get(target_name)
        if peer is None or peer.health is _probing.Health.LEFT:
            return
        if peer.health is _probing.Health.SUSPECT and (
            message.incarnation >= peer.incarnation
        ):
            self._set_health(peer, message.incarnation, _probing.Health.ALIVE)

    def _probe_next(self) -> None:
        """Probes one node, first directly and then through helpers."""
        if self._left:
            return
        self._rounds += 1
        target = self._next_target()
        if target is None:
            return
        number = self._send_probe(target.node)
        self._outstanding[number] = target.node.name
        self._timers.after(
            self._cfg.timeout_s, lambda: self._ask_helpers(number)
        )
        self._timers.after(
            self._cfg.period_s * 0.95, lambda: self._suspect_unanswered(number)
        )

    def _ask_helpers(self, number: int) -> None:
        target_name = self._outstanding.get(number)
        if target_name is None or target_name not in self._peers:
            return
        target = self._peers[target_name].node
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

    def _suspect_unanswered(self, number: int) -> None:
        target_name = self._outstanding.pop(number, None)
        if target_name is None:
            return
        peer = self._peers.get(target_name)
        if peer is None or peer.health is not _probing.Health.ALIVE:
            return
        self._suspect(peer, self._cfg.suspicion_s)

    def note_refused(self, name: str) -> None:
        """Suspects a node whose host refused a connection.

        Its process has ended, so it gets less time to refute the suspicion.
        """
        peer = self._peers.get(name)
        if peer is not None and peer.health is _probing.Health.ALIVE:
            self._suspect(peer, self._cfg.refused_s)

    def _suspect(self, peer: _Peer, time_s: float) -> None:
        """Suspects a node and notifies it, so that it can refute."""
        self.suspicions += 1
        self._set_health(
            peer, peer.incarnation, _probing.Health.SUSPECT, time_s
        )
        self._send_probe(peer.node)

    def _next_target(self) -> _Peer | None:
        if self._rounds % self._cfg.dead_probe_interval == 0:
            dead = [
                p
                for p in self._peers.values()
                if p.health is _probing.Health.DEAD
            ]
            if dead:
                return self._rng.choice(dead)
        local = self._rng.random() < self._cfg.local_share
        return self._next_in_order(local) or self._next_in_order(not local)

    def _next_in_order(self, local: bool) -> _Peer | None:
        """Returns the next node of a shuffled round-robin order, or None."""
        queue = self._local if local else self._remote
        for _ in range(2):
            while queue:
                peer = self._peers.get(queue.pop())
                if peer is not None and peer.health <= _probing.Health.SUSPECT:
                    return peer
            own = self._node.data_centre
            queue.extend(
                name
                for name, p in self._peers.items()
                if (p.node.data_centre == own) == local
                and p.health <= _probing.Health.SUSPECT
            )
            self._rng.shuffle(queue)
        return None

    def _send_probe(self, node: _placement.Node) -> int:
        self._number += 1
        probe = _probing.Probe(self._number, self._node, self._gossip())
        self._transport.send(node, probe)
        return self._number

    def _apply_update(self, update: _probing.Update) -> None:
        if update.node.name == self._node.name:
            self._refute(update)
            return
        peer = self._peers.get(update.node.name)
        if peer is None:
            if update.health >= _probing.Health.DEAD:
                return
            peer = _Peer(update.node, listed=False)
            self._peers[update.node.name] = peer
            self._set_health(peer, update.incarnation, update.health)
            return
        if _supersedes(update, peer):
            peer.node = update.node
            self._set_health(peer, update.incarnation, update.health)

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

    def _set_health(
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
                lambda: self._confirm_dead(peer, incarnation),
            )
        in_use = health <= _probing.Health.SUSPECT
        was_in_use = before <= _probing.Health.SUSPECT
        if was_in_use != in_use or before == health:
            self._on_change()

    def _confirm_dead(self, peer: _Peer, incarnation: int) -> None:
        if (
            peer.health is _probing.Health.SUSPECT
            and peer.incarnation == incarnation
        ):
            self._set_health(peer, incarnation, _probing.Health.DEAD)

    def _announce(self, update: _probing.Update) -> None:
        """Queues O(log n) copies of an update and schedules a push."""
        count = max(2, len(self._peers) + 1)
        copies = 3 * math.ceil(math.log2(count))
        self._updates[update.node.name] = (update, copies)
        if not self._pushing:
            self._pushing = True
            self._timers.after(self._cfg.push_s, self._push)

    def _push(self) -> None:
        """Sends updates to a few nodes without waiting for the next probe.

        An update reaches all nodes in a few such rounds.
        """
        self._pushing = False
        alive = [
            p.node
            for p in self._peers.values()
            if p.health is _probing.Health.ALIVE
        ]
        for node in self._rng.sample(alive, min(self._cfg.fanout, len(alive))):
            self._send_probe(node)

    def _gossip(self) -> tuple[_probing.Update, ...]:
        """Returns the updates that were sent the fewest times so far."""
        if not self._updates:
            return ()
        fresh = sorted(
            self._updates.items(), key=lambda i: i[1][1], reverse=True
        )
        chosen = fresh[: self._cfg.max_updates]
        for name, (update, copies) in chosen:
            if copies <= 1:
                del self._updates[name]
            else:
                self._updates[name] = (update, copies - 1)
        return tuple(update for _, (update, _) in chosen)


def _supersedes(update: _probing.Update, peer: _Peer) -> bool:
    return (update.incarnation, update.health) > (
        peer.incarnation,
        peer.health,
    )
