"""The proxy's own records in the store: nodes and claims."""

import json
import math
import typing

import attrs
import ferry_decisions as decisions

NODE_PREFIX = "ferry/nodes/"
CLAIM_PREFIX = "ferry/claims/"
DEPARTURE_PREFIX = "ferry/departures/"
VOTER_PREFIX = "ferry/voters/"
MAX_PORT = 65_535

# The largest whole number that messages between nodes can carry.
MAX_INTEGER = (1 << 63) - 1

# Fencing tokens that each era has room for: one a second for eleven days.
TOKENS_PER_ERA = 1_000_000

# How many characters of a JSON parser's message an error repeats.
MAX_PARSER_DETAIL_CHARS = 40


def claim_key(era: int, service: str) -> str:
    """Returns the store's key of a group's claim."""
    return group_key(CLAIM_PREFIX, era, service)


def group_key(prefix: str, era: int, service: str) -> str:
    """Returns the store's key of a record of a group.

    Each era of the store has its own key. If records kept the same key, a
    delayed conditional write of an earlier era could find its revision number
    in use again and overwrite a later record.

    Args:
        prefix: The prefix of the keys of such records.
        era: The era of the store.
        service: The group.
    """
    return f"{prefix}{era}/{service}" if era else prefix + service


@attrs.frozen(slots=True)
class GroupKey:
    """The parts of the key of a group's record.

    Attributes:
        era: The era of the store that the record belongs to.
        service: The group.
    """

    era: int
    service: str


def parse_group_key(prefix: str, key: str) -> GroupKey:
    """Parses the key of a record; a key without an era belongs to era 0."""
    rest = key.removeprefix(prefix)
    era, _, service = rest.partition("/")
    if service and era.isascii() and era.isdigit():
        return GroupKey(int(era), service)
    return GroupKey(0, rest)


def first_token(era: int) -> int:
    """Returns the fencing token of the first claim of an era.

    It is greater than all tokens of earlier eras, whose claims the store may
    have lost.
    """
    return era * TOKENS_PER_ERA + 1


class InvalidItemError(ValueError):
    """An item's value is not valid for its key."""


def json_object(value: bytes, where: str) -> dict[str, typing.Any]:
    """Parses a JSON object from an untrusted source.

    Args:
        value: The encoded object.
        where: A description of the object, for error messages.

    Raises:
        InvalidItemError: The bytes are not a JSON object.
    """
    try:
        raw = json.loads(value)
    except (ValueError, RecursionError) as exc:
        detail = str(exc)[:MAX_PARSER_DETAIL_CHARS]
        raise InvalidItemError(f"{where}: not JSON: {detail}") from exc
    if not isinstance(raw, dict):
        raise InvalidItemError(f"{where}: no object")
    return raw


def is_finite_number(value: object) -> typing.TypeGuard[float]:
    """Whether a value from JSON is a number that a double holds."""
    if type(value) not in (int, float):
        return False
    try:
        return math.isfinite(typing.cast(float, value))
    except OverflowError:
        return False


def is_count(value: object) -> typing.TypeGuard[int]:
    """Whether a value from JSON is a whole number up to `MAX_INTEGER`."""
    return type(value) is int and 0 <= value <= MAX_INTEGER


def is_text(value: object) -> typing.TypeGuard[str]:
    """Whether a value from JSON is a text that has an encoding.

    JSON can express halves of surrogate pairs, which messages cannot carry.
    """
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


@attrs.frozen(slots=True)
class NodeEntry:
    """A node of the proxy.

    Attributes:
        name: The node's name.
        host: Its IP address.
        port: The port that its peers connect to.
        data_centre: The data centre that it runs in.
        cores: The processor time available to it, in seconds per second; 0 if
            unknown.
        link_mbps: The capacity of its network link, in Mbit/s; 0 if unknown.
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
        del fields["name"]  # The key contains it.
        return json.dumps(fields).encode()

    @classmethod
    def decode(cls, name: str, value: bytes) -> "NodeEntry":
        """Decodes the entry of the node with this name.

        Raises:
            InvalidItemError: The entry is malformed.
        """
        raw = json_object(value, f"node {name}")
        host, port = raw.get("host"), raw.get("port")
        data_centre = raw.get("data_centre", "")
        if not is_text(host) or not is_text(data_centre):
            raise InvalidItemError(f"node {name}: a text of another type")
        if type(port) is not int or not 0 < port <= MAX_PORT:
            raise InvalidItemError(f"node {name}: no port")
        cores = _size(raw, "cores", name)
        link_mbps = _size(raw, "link_mbps", name)
        return cls(name, host, port, data_centre, cores, link_mbps)


def _size(raw: dict[str, typing.Any], field: str, node: str) -> float:
    """Reads the size of one of a node's resources; 0 if it is missing.

    Raises:
        InvalidItemError: The value is not a finite, non-negative number.
    """
    value = raw.get(field, 0.0)
    if not is_finite_number(value) or value < 0:
        raise InvalidItemError(f"node {node}: {field} is no size")
    return float(value)


@attrs.frozen(slots=True)
class PromotionOrder:
    """An order to promote a member, recorded before it is sent.

    Attributes:
        member: The member's id.
        token: The fencing token that it is sent under.
        term: The newest term known then; the member leads in a later one.
        attempts: How many orders to this member may be under way.
    """

    member: str
    token: int
    term: int
    attempts: int = 1

    @property
    def era(self) -> int:
        """The era of the store in which it was recorded."""
        return self.token // TOKENS_PER_ERA

    @classmethod
    def decode(cls, raw: object, where: str) -> "PromotionOrder":
        """Decodes an order from a claim's value.

        Args:
            raw: The parsed JSON.
            where: A description of the claim, for error messages.

        Raises:
            InvalidItemError: The order is malformed.
        """
        if not isinstance(raw, dict):
            raise InvalidItemError(f"{where}: the order is no object")
        member = raw.get("member")
        numbers: list[typing.Any] = [
            raw.get(field) for field in ("token", "term", "attempts")
        ]
        if not is_text(member) or not member:
            raise InvalidItemError(f"{where}: an order without a member")
        if not all(map(is_count, numbers)):
            raise InvalidItemError(f"{where}: an order without numbers")
        return cls(member, *numbers)


@attrs.frozen(slots=True)
class RecordedOrder:
    """An order, and when this node learned of it.

    Attributes:
        order: The order.
        seen_at: When this node learned of it, in boot time.
    """

    order: PromotionOrder
    seen_at: float


@attrs.frozen(slots=True)
class Lease:
    """The right to order promotions in a group; each order renews it.

    Attributes:
        holder: The name of the node that gave the newest order.
        token: The fencing token of that order.
        answered_ms: How long after it was recorded the order was answered, in
            milliseconds; None while that is unknown.
    """

    holder: str
    token: int
    answered_ms: int | None = None

    @classmethod
    def decode(cls, raw: object, where: str) -> "Lease":
        """Decodes a lease from a claim's value.

        Args:
            raw: The parsed JSON.
            where: A description of the claim, for error messages.

        Raises:
            InvalidItemError: The lease is malformed.
        """
        if not isinstance(raw, dict):
            raise InvalidItemError(f"{where}: the lease is no object")
        holder, token = raw.get("holder"), raw.get("token")
        answered_ms = raw.get("answered_ms")
        if not is_text(holder) or not holder:
            raise InvalidItemError(f"{where}: a lease without a holder")
        numbers = [token] if answered_ms is None else [token, answered_ms]
        if not all(map(is_count, numbers)):
            raise InvalidItemError(f"{where}: a lease with invalid numbers")
        return cls(holder, typing.cast(int, token), answered_ms)


@attrs.frozen(slots=True)
class HeldLease:
    """A lease, and when this node learned of its order.

    Attributes:
        lease: The lease.
        seen_at: When this node learned of its order, in boot time.
    """

    lease: Lease
    seen_at: float


@attrs.frozen(slots=True)
class Claim:
    """The exclusive right of one node to change a group's primary.

    Attributes:
        holder: The name of the node.
        token: The fencing token; it grows with each claim.
        done: Whether the change has ended.
        order: The newest order that may still be executed, of this or an
            earlier change; None if there is none.
        lease: The newest lease, of this or an earlier change; None if no order
            has been given.
    """

    holder: str
    token: int
    done: bool = False
    order: PromotionOrder | None = None
    lease: Lease | None = None

    def encode(self) -> bytes:
        """Returns the claim's value in the store."""
        return json.dumps(attrs.asdict(self)).encode()

    @classmethod
    def decode(cls, service: str, value: bytes) -> "Claim":
        """Decodes the claim for a service.

        Raises:
            InvalidItemError: The claim is malformed.
        """
        raw = json_object(value, f"claim {service}")
        holder, token = raw.get("holder"), raw.get("token")
        done = raw.get("done")
        if not is_text(holder) or not isinstance(done, bool):
            raise InvalidItemError(f"claim {service}: a field of another type")
        if not is_count(token):
            raise InvalidItemError(f"claim {service}: no token")
        order = raw.get("order")
        if order is not None:
            order = PromotionOrder.decode(order, f"claim {service}")
        lease = raw.get("lease")
        if lease is not None:
            lease = Lease.decode(lease, f"claim {service}")
        return cls(holder, token, done, order, lease)


@attrs.frozen(slots=True)
class HeldClaim:
    """A claim that is stored, and when this node learned of it.

    Attributes:
        claim: The claim.
        revision: The store's revision of its item.
        seen_at: When this node learned of it, in boot time.
    """

    claim: Claim
    revision: decisions.Revision
    seen_at: float
