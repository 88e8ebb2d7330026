"""What this project itself keeps in the store: nodes, and claims."""

import json

import attrs

NODE_PREFIX = "ferry/nodes/"
CLAIM_PREFIX = "ferry/claims/"


class InvalidItemError(ValueError):
    """An item of the store does not hold what its key says."""


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
