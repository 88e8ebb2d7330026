"""Changes of contracts: one wins, and each operator is told the truth."""

import datetime
import json
import secrets
import typing

import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_node import _audits
from ferry_node import _auth

if typing.TYPE_CHECKING:
    from ferry_node import _node

WAIT_S = 8.0
READ_BACK_TRIES = 4
READ_BACK_PAUSE_S = 0.3
MAX_HISTORY = 50
SALT_BYTES = 16


T = typing.TypeVar("T")


class ApiError(Exception):
    """A request of the administration API that failed.

    Attributes:
        status: The HTTP status.
        code: The failure's identifier.
        detail: Words for the operator.
        mistakes: For a document, each mistake.
    """

    def __init__(
        self,
        status: int,
        code: str,
        detail: str,
        mistakes: tuple[str, ...] = (),
    ) -> None:
        super().__init__(f"{status} {code} {detail}")
        self.status = status
        self.code = code
        self.detail = detail
        self.mistakes = mistakes

    def body(self) -> bytes:
        """Returns the JSON body of the response."""
        shown: dict[str, object] = {"error": self.code, "detail": self.detail}
        if self.mistakes:
            shown["mistakes"] = list(self.mistakes)
        return json.dumps(shown).encode() + b"\n"


@attrs.frozen(slots=True)
class Change:
    """Who asks for a change, and on what ground.

    Attributes:
        operator: Who asks.
        change_id: Identifies the change over repeats; empty for a new one.
        if_version: The version that it changes; None for a new contract.
    """

    operator: str
    change_id: str
    if_version: int | None


class ContractsApi:
    """Reads and changes contracts through the store."""

    def __init__(self, node: "_node.Node") -> None:
        self._node = node

    def show(self, customer: str) -> decisions.Contract:
        """Returns the contract that this node honours.

        Raises:
            ApiError: There is none.
        """
        book = self._node.contracts
        fut = runtime.submit_to_loop(
            self._node.loop, lambda: decisions.completed(book.get(customer))
        )
        try:
            return fut.result(WAIT_S)
        except decisions.UnknownCustomerError as exc:
            if not self._node.directory_sync.is_current:
                raise ApiError(
                    503, "outdated", "contracts may be outdated here"
                ) from exc
            raise ApiError(404, "no_contract", customer) from exc

    def history(self, customer: str) -> list[typing.Any]:
        """Returns the audit records of a customer's contract, newest first."""
        prefix = _audits.prefix_of(customer)
        entries = self._run(lambda: self._list(prefix))
        records = [json.loads(e.value) for e in entries]
        records.sort(key=lambda r: int(r["version"]), reverse=True)
        return records[:MAX_HISTORY]

    def put(
        self, customer: str, body: bytes, change: Change
    ) -> decisions.Contract:
        """Creates or amends a contract; returns what is in force now.

        Raises:
            ApiError: The document is wrong, another change came first, or
                the outcome could not be learned.
        """
        return self._run(lambda: self._change(customer, body, change))

    def delete(self, customer: str, change: Change) -> decisions.Contract:
        """Replaces a contract by a tombstone.

        Raises:
            ApiError: As for `put`.
        """
        return self._run(lambda: self._change(customer, None, change))

    def _run(self, flow: "typing.Callable[[], decisions.Flow[T]]") -> T:
        fut = runtime.submit_to_loop(
            self._node.loop, lambda: decisions.start(flow())
        )
        try:
            return fut.result(WAIT_S)
        except decisions.StoreUnavailableError as exc:
            raise ApiError(503, "store_unavailable", str(exc)) from exc
        except TimeoutError as exc:
            raise ApiError(504, "unknown", "no answer in time") from exc

    def _list(
        self, prefix: str
    ) -> "decisions.Flow[list[decisions.StoreEntry]]":
        found: list[decisions.StoreEntry] = yield self._node.store.list(prefix)
        return found

    def _change(
        self, customer: str, body: bytes | None, change: Change
    ) -> "decisions.Flow[decisions.Contract]":
        key = decisions.CONTRACT_PREFIX + customer
        entry = yield self._node.store.get(key)
        current = None
        revision = decisions.Revision(self._node.store.era)
        if entry is not None:
            revision = entry.revision
        # The store may have come back from a copy that lacks what an operator
        # was told is in force.
        newest = decisions.newest(entry, self._node.directory.get(key))
        if newest is not None:
            current = decisions.contract_from_json(json.loads(newest.value))
        change_id = change.change_id or secrets.token_hex(8)
        if current is not None and current.change_id == change_id:
            return current
        _check_version(current, change)
        wanted = _wanted(customer, body, current, change, change_id)
        value = json.dumps(decisions.unstructure(wanted)).encode()
        written = yield from self._write(key, value, revision, change_id)
        self._node.directory_sync.publish([written])
        yield from self._audit(wanted)
        return wanted

    def _write(
        self,
        key: str,
        value: bytes,
        revision: decisions.Revision,
        change_id: str,
    ) -> "decisions.Flow[decisions.StoreEntry]":
        store = self._node.store
        try:
            entry = yield store.put_if(key, value, revision)
        except decisions.StoreUnavailableError:
            return (yield from self._read_back(key, change_id, revision))
        if entry is None:
            found = yield store.get(key)
            raise _conflict(found)
        return typing.cast(decisions.StoreEntry, entry)

    def _read_back(
        self, key: str, change_id: str, revision: decisions.Revision
    ) -> "decisions.Flow[decisions.StoreEntry]":
        """Learns by the change's id whether a write took effect."""
        for _ in range(READ_BACK_TRIES):
            yield decisions.sleep(self._node.loop, READ_BACK_PAUSE_S)
            try:
                entry = yield self._node.store.get(key)
            except decisions.StoreUnavailableError:
                continue
            if entry is not None and entry.revision > revision:
                found = decisions.contract_from_json(json.loads(entry.value))
                if found.change_id == change_id:
                    return typing.cast(decisions.StoreEntry, entry)
                if entry.revision.era == revision.era:
                    raise _conflict(entry)
        raise ApiError(
            504,
            "unknown",
            "the store gave no answer; repeat with the same Idempotency-Key",
        )

    def _audit(self, contract: decisions.Contract) -> "decisions.Flow[None]":
        """Keeps who changed what; a failure does not undo the change."""
        record = _audits.record_of(contract)
        new = decisions.Revision(self._node.store.era)
        try:
            yield self._node.store.put_if(record.key, record.value, new)
        except decisions.StoreUnavailableError:
            return


def _check_version(current: decisions.Contract | None, change: Change) -> None:
    exists = current is not None and not current.deleted
    version = current.version if current is not None and exists else None
    if change.if_version != version:
        shown = version if version is not None else "none"
        raise ApiError(
            412 if change.if_version is not None else 409,
            "version_conflict",
            f"the current version is {shown}; send it as If-Match",
        )


def _conflict(entry: decisions.StoreEntry | None) -> ApiError:
    version: object = "unknown"
    if entry is not None:
        version = json.loads(entry.value).get("version")
    return ApiError(
        412, "version_conflict", f"the current version is {version}"
    )


def _wanted(
    customer: str,
    body: bytes | None,
    current: decisions.Contract | None,
    change: Change,
    change_id: str,
) -> decisions.Contract:
    """Returns the contract as it is to be stored."""
    raw: dict[str, typing.Any]
    if body is None:
        if current is None:
            raise ApiError(404, "no_contract", customer)
        raw = decisions.unstructure(attrs.evolve(current, deleted=True))
    else:
        raw = _document(body)
        raw["logins"] = _logins(raw.get("logins", []), current)
        raw["deleted"] = False
    raw["customer"] = customer
    raw["version"] = (current.version if current else 0) + 1
    raw["change_id"] = change_id
    raw["changed_by"] = change.operator
    raw["changed_at"] = datetime.datetime.now(datetime.UTC).isoformat()
    try:
        return decisions.contract_from_json(raw)
    except decisions.InvalidDocumentError as exc:
        mistakes = tuple(str(e) for e in exc.exceptions)
        raise ApiError(422, "invalid_contract", customer, mistakes) from exc


def _document(body: bytes) -> dict[str, typing.Any]:
    try:
        raw = json.loads(body)
    except ValueError as exc:
        raise ApiError(400, "not_json", str(exc)) from exc
    if not isinstance(raw, dict):
        raise ApiError(400, "not_json", "expected an object")
    return raw


def _logins(
    raw: typing.Any, current: decisions.Contract | None
) -> list[typing.Any]:
    """Returns logins as stored: passwords become what checks them.

    A login is given as a name alone, to keep the known one, or as an object
    with a name and a password.
    """
    if not isinstance(raw, list):
        raise ApiError(422, "invalid_contract", "logins: expected a list")
    logins: list[typing.Any] = []
    for item in raw:
        match item:
            case str(name):
                known = current.login(name) if current else None
                if known is None:
                    raise ApiError(
                        422, "invalid_contract", f"logins: no login {name!r}"
                    )
                logins.append(decisions.unstructure(known))
            case {"name": str(name), "password": str(password)}:
                login = _auth.make_login(
                    name, password, secrets.token_bytes(SALT_BYTES)
                )
                logins.append(decisions.unstructure(login))
            case _:
                raise ApiError(
                    422,
                    "invalid_contract",
                    "logins: expected names or {name, password}",
                )
    return logins
