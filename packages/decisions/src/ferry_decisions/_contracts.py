"""Customer contracts, written by operators and enforced by every node.

A contract carries a version. Each node keeps the highest version it has seen
of each customer's contract, whatever the source, so a change never reverts. A
deleted contract stays as a tombstone with its own version.
"""

import hashlib
import re
import typing

import attrs

from ferry_decisions import _structuring

_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_LOGIN_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,63}")
MAX_STALENESS_S = 86_400.0
MAX_SHARE = 10_000
CONTRACT_PREFIX = "contracts/"


class UnknownCustomerError(KeyError):
    """The customer has no contract that is in force."""


def _matches(pattern: re.Pattern[str]) -> typing.Any:
    return attrs.validators.matches_re(pattern)


@attrs.frozen(slots=True)
class Login:
    """A customer's login, with its SCRAM-SHA-256 verifier.

    Attributes:
        name: The part of the user name before the `@`.
        salt: The salt, in Base64.
        stored_key: The SCRAM StoredKey, in Base64.
        server_key: The SCRAM ServerKey, in Base64.
        iterations: The PBKDF2 iteration count.
    """

    name: str = attrs.field(validator=_matches(_LOGIN_PATTERN))
    salt: str
    stored_key: str
    server_key: str
    iterations: int = attrs.field(
        default=4096, validator=attrs.validators.ge(4096)
    )


@attrs.frozen(slots=True)
class Contract:
    """The contract of one customer.

    Attributes:
        customer: The customer's identifier.
        databases: The databases that its logins may use.
        share: Its scheduling weight, relative to the other customers' shares.
        connections: Maximum number of endpoint connections to one member that
            it may hold at once: half for single statements, half for
            transactions.
        staleness_s: Maximum age, in seconds, of replica data that its reads
            accept by default. 0 sends reads to the primary.
        commit_wait_s: Maximum time, in seconds, to wait for a majority to
            confirm a commit before its caller is told that the outcome is
            unknown.
        queue: Maximum number of statements that may wait at one member;
            further statements are refused.
        logins: The logins that may connect for the customer.
        version: Incremented with each change.
        change_id: Identifies the change that created this version.
        changed_by: The operator who made the change.
        changed_at: Time of the change in ISO 8601; informational only.
        deleted: Whether the contract is a tombstone.
    """

    customer: str = attrs.field(validator=_matches(_NAME_PATTERN))
    databases: tuple[str, ...] = attrs.field(
        validator=attrs.validators.and_(
            attrs.validators.min_len(1),
            attrs.validators.deep_iterable(_matches(_NAME_PATTERN)),
        )
    )
    share: int = attrs.field(
        validator=attrs.validators.and_(
            attrs.validators.ge(1), attrs.validators.le(MAX_SHARE)
        )
    )
    connections: int = attrs.field(validator=attrs.validators.ge(1))
    staleness_s: float = attrs.field(
        default=0.0,
        validator=attrs.validators.and_(
            attrs.validators.ge(0.0), attrs.validators.le(MAX_STALENESS_S)
        ),
    )
    commit_wait_s: float = attrs.field(
        default=5.0, validator=attrs.validators.gt(0.0)
    )
    queue: int = attrs.field(default=200, validator=attrs.validators.ge(1))
    logins: tuple[Login, ...] = ()
    version: int = attrs.field(default=1, validator=attrs.validators.ge(1))
    change_id: str = ""
    changed_by: str = ""
    changed_at: str = ""
    deleted: bool = False

    def login(self, name: str) -> Login | None:
        """Returns the login with that name, or None."""
        for login in self.logins:
            if login.name == name:
                return login
        return None


def contract_from_json(raw: object) -> Contract:
    """Builds a contract from decoded JSON.

    Raises:
        InvalidDocumentError: The document is invalid; lists every error in it.
    """
    return _structuring.structure(raw, Contract, "contract")


class ContractBook:
    """The newest known version of each customer's contract."""

    def __init__(self) -> None:
        self._contracts: dict[str, Contract] = {}

    def merge(self, contract: Contract) -> bool:
        """Stores a contract if it is newer; returns whether it was."""
        known = self._contracts.get(contract.customer)
        if known is not None and known.version >= contract.version:
            return False
        self._contracts[contract.customer] = contract
        return True

    def get(self, customer: str) -> Contract:
        """Returns the contract in force for a customer.

        Raises:
            UnknownCustomerError: The customer has no contract, or it was
                deleted.
        """
        contract = self._contracts.get(customer)
        if contract is None or contract.deleted:
            raise UnknownCustomerError(customer)
        return contract

    def versions(self) -> dict[str, int]:
        """Returns the known version by customer, including tombstones."""
        return {name: c.version for name, c in self._contracts.items()}

    def newer_than(self, versions: dict[str, int]) -> list[Contract]:
        """Returns the contracts that are newer than those in `versions`."""
        return [
            contract
            for name, contract in self._contracts.items()
            if contract.version > versions.get(name, 0)
        ]

    def digest(self) -> str:
        """Returns a short digest that is equal for equal books."""
        text = ",".join(f"{n}={v}" for n, v in sorted(self.versions().items()))
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()

    def in_force(self) -> list[Contract]:
        """Returns all contracts that are not deleted, sorted by customer."""
        live = [c for c in self._contracts.values() if not c.deleted]
        return sorted(live, key=lambda c: c.customer)
