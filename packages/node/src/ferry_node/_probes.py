"""Membership probes over UDP, encoded with `msgpack`."""

import selectors
import socket
import typing

from absl import logging
import ferry_decisions as decisions
import ferry_runtime as runtime
import msgpack

VERSION = 1
MAX_DATAGRAM_BYTES = 8_192
MAX_DATAGRAMS_PER_EVENT = 64
_PROBE = 1
_ACK = 2
_INDIRECT = 3


class MalformedProbeError(Exception):
    """A datagram or a node entry does not have the expected shape."""


def pack_node(node: decisions.Node) -> list[typing.Any]:
    """Converts a node to a list that `msgpack` can encode."""
    return [
        node.name,
        node.data_centre,
        node.host,
        node.peer_port,
        node.probe_port,
    ]


def unpack_node(raw: typing.Any) -> decisions.Node:
    """Converts a list from `pack_node` back to a node.

    Raises:
        MalformedProbeError: The list has a different shape.
    """
    match raw:
        case [str(name), str(centre), str(host), int(peer), int(probe)]:
            return decisions.Node(name, centre, host, peer, probe)
        case _:
            raise MalformedProbeError("node")


def _pack_updates(
    updates: tuple[decisions.Update, ...],
) -> list[list[typing.Any]]:
    return [[pack_node(u.node), u.incarnation, int(u.health)] for u in updates]


def _unpack_updates(raw: typing.Any) -> tuple[decisions.Update, ...]:
    updates = []
    if not isinstance(raw, list):
        raise MalformedProbeError("updates")
    for item in raw:
        match item:
            case [node, int(incarnation), int(health)]:
                updates.append(
                    decisions.Update(
                        unpack_node(node),
                        incarnation,
                        decisions.Health(health),
                    )
                )
            case _:
                raise MalformedProbeError("update")
    return tuple(updates)


def encode_probe(message: decisions.ProbeMessage) -> bytes:
    """Encodes a message as a datagram."""
    sender = pack_node(message.sender)
    updates = _pack_updates(message.updates)
    row: list[typing.Any]
    match message:
        case decisions.Probe():
            row = [_PROBE, message.number, sender, updates]
        case decisions.Ack():
            row = [_ACK, message.number, sender, updates, message.incarnation]
        case decisions.IndirectProbe():
            target = pack_node(message.target)
            row = [_INDIRECT, message.number, sender, updates, target]
    return bytes(msgpack.packb([VERSION, *row]))


def decode_probe(data: bytes) -> decisions.ProbeMessage:
    """Decodes a datagram.

    Raises:
        MalformedProbeError: The datagram is not a probe message.
    """
    try:
        raw = msgpack.unpackb(data)
        match raw:
            case [int(v), 1, int(number), sender, updates] if v == VERSION:
                return decisions.Probe(
                    number, unpack_node(sender), _unpack_updates(updates)
                )
            case [int(v), 2, int(number), sender, updates, int(inc)] if (
                v == VERSION
            ):
                return decisions.Ack(
                    number,
                    unpack_node(sender),
                    inc,
                    _unpack_updates(updates),
                )
            case [int(v), 3, int(number), sender, updates, target] if (
                v == VERSION
            ):
                return decisions.IndirectProbe(
                    number,
                    unpack_node(sender),
                    unpack_node(target),
                    _unpack_updates(updates),
                )
    except MalformedProbeError:
        raise
    except Exception as exc:  # noqa: BLE001 - unpackb raises many types
        raise MalformedProbeError(repr(exc)) from exc
    raise MalformedProbeError("form")


class ProbeSocket:
    """Sends and receives probe messages.

    Attributes:
        port: The UDP port that the socket is bound to.
        bytes_sent: The number of bytes sent since the start.
    """

    def __init__(
        self,
        loop: runtime.EventLoop,
        host: str,
        port: int,
        on_message: typing.Callable[[decisions.ProbeMessage], object],
    ) -> None:
        self._loop = loop
        self._on_message = on_message
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((host, port))
        self._sock.setblocking(False)
        self.port: int = self._sock.getsockname()[1]
        self.bytes_sent = 0
        loop.register(self._sock, selectors.EVENT_READ, self._receive)

    def send(
        self, node: decisions.Node, message: decisions.ProbeMessage
    ) -> None:
        """Sends a message; delivery is not guaranteed."""
        data = encode_probe(message)
        self.bytes_sent += len(data)
        try:
            self._sock.sendto(data, (node.host, node.probe_port))
        except OSError as exc:
            logging.debug("event=probe_not_sent detail=%s", exc)

    def close(self) -> None:
        """Stops receiving and closes the socket."""
        self._loop.unregister(self._sock)
        self._sock.close()

    def _receive(self, _: int) -> None:
        for _i in range(MAX_DATAGRAMS_PER_EVENT):
            try:
                data, _addr = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            try:
                message = decode_probe(data)
            except MalformedProbeError as exc:
                logging.debug("event=malformed_probe detail=%s", exc)
                continue
            self._on_message(message)
