"""Contract operations of the administration API.

Of several concurrent changes to a contract, exactly one succeeds. Each
operator receives the actual outcome of the request, also when the store's
reply to the write was lost.
"""

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

RESULT_TIMEOUT_S = 8.0
MAX_READ_BACKS = 4
READ_BACK_DELAY_S = 0.3
MAX_HISTORY_RECORDS = 50
SALT_BYTES = 16


T = typing.TypeVar("T")


class ApiError(Exception):
    """A request to the administration API failed.

    Attributes:
        status: The HTTP status code.
        code: A machine-readable identifier of the failure.
        detail: An explanation for the operator.
        mistakes: Every mistake in an invalid document.
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
        document: dict[str, object] = {
            "error": self.code,
            "detail": self.detail,
        }
        if self.mistakes:
            document["mistakes"] = list(self.mistakes)
        return json.dumps(document).encode() + b"\n"


@attrs.frozen(slots=True)
class Change:
    """The author and the preconditions of a contract change.

    Attributes:
        operator: The name of the operator who makes the change.
        change_id: The idempotency key, which stays the same when the request
            is repeated; empty to have one generated.
        if_version: The contract version that the change is based on; None to
            create a contract.
    """

    operator: str
    change_id: str
    if_version: int | None


class ContractsApi:
    """Reads and changes contracts through the store."""

    def __init__(self, node: "_node.Node") -> None:
        self._node = node

    def show(self, customer: str) -> decisions.Contract:
        """Returns the contract that this node currently applies.

        Raises:
            ApiError: The customer has no contract, or this node's contracts
                may be outdated.
        """
        book = self._node.contracts
        fut = runtime.submit_to_loop(
            self._node.loop, lambda: decisions.completed(book.get(customer))
        )
        try:
            return fut.result(RESULT_TIMEOUT_S)
        except decisions.UnknownCustomerError as exc:
            if not self._node.directory_sync.is_current:
                raise ApiError(
                    503, "outdated", "contracts may be outdated here"
                ) from exc
            raise ApiError(404, "no_contract", customer) from exc

    def history(self, customer: str) -> list[typing.Any]:
        """Returns the audit records of a customer's contract, newest first."""
        prefix = _audits.audit_prefix(customer)
        entries = self._run(lambda: self._list(prefix))
        records = [json.loads(e.value) for e in entries]
        records.sort(key=lambda r: int(r["version"]), reverse=True)
        return records[:MAX_HISTORY_RECORDS]

    def put(
        self, customer: str, body: bytes, change: Change
    ) -> decisions.Contract:
        """Creates or replaces a contract and returns the stored version.

        Raises:
            ApiError: The document is invalid, a concurrent change won, or the
                outcome could not be determined.
        """
        return self._run(lambda: self._change(customer, body, change))

    def delete(self, customer: str, change: Change) -> decisions.Contract:
        """Deletes a contract by writing a tombstone in its place.

        Raises:
            ApiError: As for `put`.
        """
        return self._run(lambda: self._change(customer, None, change))

    def _run(self, flow: "typing.Callable[[], decisions.Flow[T]]") -> T:
        fut = runtime.submit_to_loop(
            self._node.loop, lambda: decisions.start(flow())
        )
        try:
            return fut.result(RESULT_TIMEOUT_S)
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
        # The store may have been restored from a backup that lacks a change
        # already confirmed to an operator, so the node's own directory is
        # consulted too.
        newest = decisions.newest(entry, self._node.directory.get(key))
        if newest is not None:
            current = decisions.contract_from_json(json.loads(newest.value))
        change_id = change.change_id or secrets.token_hex(8)
        if current is not None and current.change_id == change_id:
            return current
        _check_version(current, change)
        updated = _next_version(customer, body, current, change, change_id)
        value = json.dumps(decisions.unstructure(updated)).encode()
        written = yield from self._write(key, value, revision, change_id)
        self._node.directory_sync.publish([written])
        yield from self._audit(updated)
        return updated

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
            raise _version_conflict(found)
        return typing.cast(decisions.StoreEntry, entry)

    def _read_back(
        self, key: str, change_id: str, revision: decisions.Revision
    ) -> "decisions.Flow[decisions.StoreEntry]":
        """Determines by the change id whether a write took effect.

        Called after a write whose reply was lost.

        Raises:
            ApiError: A concurrent change won, or the outcome stays unknown.
        """
        for _ in range(MAX_READ_BACKS):
            yield decisions.sleep(self._node.loop, READ_BACK_DELAY_S)
            try:
                entry = yield self._node.store.get(key)
            except decisions.StoreUnavailableError:
                continue
            if entry is not None and entry.revision > revision:
                found = decisions.contract_from_json(json.loads(entry.value))
                if found.change_id == change_id:
                    return typing.cast(decisions.StoreEntry, entry)
                if entry.revision.era == revision.era:
                    raise _version_conflict(entry)
        raise ApiError(
            504,
            "unknown",
            "the store gave no answer; repeat with the same Idempotency-Key",
        )

    def _audit(self, contract: decisions.Contract) -> "decisions.Flow[None]":
        """Writes the audit record; a failure does not undo the change."""
        record = _audits.audit_record(contract)
        new = decisions.Revision(self._node.store.era)
        try:
            yield self._node.store.put_if(record.key, record.value, new)
        except decisions.StoreUnavailableError:
            return


def _check_version(current: decisions.Contract | None, change: Change) -> None:
    exists = current is not None and not current.deleted
    version = current.version if current is not None and exists else None
    if change.if_version != version:
        found = version if version is not None else "none"
        raise ApiError(
            412 if change.if_version is not None else 409,
            "version_conflict",
            f"the current version is {found}; send it as If-Match",
        )


def _version_conflict(entry: decisions.StoreEntry | None) -> ApiError:
    version: object = "unknown"
    if entry is not None:
        version = json.loads(entry.value).get("version")
    return ApiError(
        412, "version_conflict", f"the current version is {version}"
    )


def _next_version(
    customer: str,
    body: bytes | None,
    current: decisions.Contract | None,
    change: Change,
    change_id: str,
) -> decisions.Contract:
    """Returns the contract version to store; `body` is None to delete.

    Raises:
        ApiError: The document is invalid, or there is nothing to delete.
    """
    raw: dict[str, typing.Any]
    if body is None:
        if current is None:
            raise ApiError(404, "no_contract", customer)
        raw = decisions.unstructure(attrs.evolve(current, deleted=True))
    else:
        raw = _parse_document(body)
        raw["logins"] = _parse_logins(raw.get("logins", []), current)
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


def _parse_document(body: bytes) -> dict[str, typing.Any]:
    try:
        raw = json.loads(body)
    except ValueError as exc:
        raise ApiError(400, "not_json", str(exc)) from exc
    if not isinstance(raw, dict):
        raise ApiError(400, "not_json", "expected an object")
    return raw


def _parse_logins(
    raw: typing.Any, current: decisions.Contract | None
) -> list[typing.Any]:
    """Returns logins in stored form, with verifiers instead of passwords.

    Each login is given either as a name, which keeps the existing login, or
    as an object with a name and a new password.
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
