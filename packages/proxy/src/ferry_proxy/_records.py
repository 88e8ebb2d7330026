"""What this project itself keeps in the store: nodes, and claims."""

import json
import math
import typing

import attrs
import ferry_decisions as decisions

NODE_PREFIX = "ferry/nodes/"
CLAIM_PREFIX = "ferry/claims/"
MAX_PORT = 65_535
TOKENS_PER_ERA = 1_000_000  # One a second for eleven days.
MAX_SHOWN = 40  # Characters of a parser's words that a message repeats.


def claim_key(era: int, service: str) -> str:
    """Returns the store's key of a group's claim.

    Each era of the store has a key of its own: a conditional write that was
    sent in an earlier one would meet its number again in a key that lives on,
    and take a later claim away.
    """
    prefix = f"{CLAIM_PREFIX}{era}/" if era else CLAIM_PREFIX
    return prefix + service


@attrs.frozen(slots=True)
class ClaimKey:
    """What a claim's key says.

    Attributes:
        era: The era of the store that the claim is of.
        service: The group.
    """

    era: int
    service: str


def parse_claim_key(key: str) -> ClaimKey:
    """Reads a claim's key; one without an era is of era 0."""
    rest = key.removeprefix(CLAIM_PREFIX)
    era, _, service = rest.partition("/")
    if service and era.isascii() and era.isdigit():
        return ClaimKey(int(era), service)
    return ClaimKey(0, rest)


def first_token(era: int) -> int:
    """Returns the fencing token of the first claim of an era.

    It is above all of earlier eras, whose claims the store may have lost.
    """
    return era * TOKENS_PER_ERA + 1


class InvalidItemError(ValueError):
    """An item of the store does not hold what its key says."""


def json_object(value: bytes, where: str) -> dict[str, typing.Any]:
    """Reads a JSON object, whoever wrote it.

    Args:
        value: Its bytes.
        where: What it is, for messages.

    Raises:
        InvalidItemError: The bytes are none.
    """
    try:
        raw = json.loads(value)
    except (ValueError, RecursionError) as exc:
        detail = str(exc)[:MAX_SHOWN]
        raise InvalidItemError(f"{where}: not JSON: {detail}") from exc
    if not isinstance(raw, dict):
        raise InvalidItemError(f"{where}: no object")
    return raw


@attrs.frozen(slots=True)
class NodeEntry:
    """A node of the proxy.

    Attributes:
        name: Its name.
        host: Its IP number.
        port: The port that its peers connect to.
        data_centre: Where it runs.
        cores: Processor time that it gets, in seconds a second; 0 where the
            entry does not tell.
        link_mbps: What its network link carries, in Mbit/s; 0 likewise.
    """

    name: str
    host: str
    port: int
    data_centre: str = ""
    cores: float = 0.0
    link_mbps: float = 0.0

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
        raw = json_object(value, f"node {name}")
        host, port = raw.get("host"), raw.get("port")
        data_centre = raw.get("data_centre", "")
        if not isinstance(host, str) or not isinstance(data_centre, str):
            raise InvalidItemError(f"node {name}: a text of another type")
        if type(port) is not int or not 0 < port <= MAX_PORT:
            raise InvalidItemError(f"node {name}: no port")
        cores = _size(raw, "cores", name)
        link_mbps = _size(raw, "link_mbps", name)
        return cls(name, host, port, data_centre, cores, link_mbps)


def _size(raw: dict[str, typing.Any], field: str, node: str) -> float:
    """Reads how much of something a node has; 0 where it is not told.

    Raises:
        InvalidItemError: It is no size.
    """
    value = raw.get(field, 0.0)
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        raise InvalidItemError(f"node {node}: {field} is no size")
    return float(value)


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
        raw = json_object(value, f"claim {service}")
        holder, token = raw.get("holder"), raw.get("token")
        done = raw.get("done")
        if not isinstance(holder, str) or not isinstance(done, bool):
            raise InvalidItemError(f"claim {service}: a field of another type")
        if type(token) is not int or token < 0:
            raise InvalidItemError(f"claim {service}: no token")
        return cls(holder, token, done)


@attrs.frozen(slots=True)
class HeldClaim:
    """A claim as it lies in the store, and since when this node knows it."""

    claim: Claim
    revision: decisions.Revision
    seen_at: float
