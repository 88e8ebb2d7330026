"""Writes with an idempotency key, which run once however often they are sent.

The key and the first answer are stored in the database itself, in the same
transaction as the write. So they are as durable as the write: they are found
through any node and after a change of primary.
"""

import re
import typing

import ferry_decisions as decisions

from ferry_node import _endpoint
from ferry_node import _wire

TABLE = "rosemaryferry_keys"
# Stored answers are cut to this size.
MAX_STORED_BYTES = 65_536
UNIQUE_VIOLATION = "23505"
_KEY_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_CREATE_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} ("
    "customer text, key text, request text, answer text, "
    "PRIMARY KEY (customer, key))"
)


def run_once(
    conn: _endpoint.EndpointConn, customer: str, key: str, payload: bytes
) -> "decisions.Flow[_endpoint.Answer]":
    """Runs a batch unless its key was already used; returns the first answer.

    Args:
        conn: A connection outside of a transaction.
        customer: The customer; each has its own keys.
        key: The idempotency key.
        payload: The batch.

    Raises:
        RequestFailedError: The key is malformed or belongs to another request,
            or its stored answer was not found.
        EndpointLostError: The connection ended; the outcome is unknown.
    """
    if not _KEY_PATTERN.fullmatch(key):
        raise decisions.RequestFailedError(
            decisions.INVALID_SETTING,
            f"idempotency_key: {_KEY_PATTERN.pattern}",
        )
    digest = decisions.content_digest(payload)
    yield _query(conn, _CREATE_TABLE)
    yield _query(conn, "BEGIN")
    inserted = yield _query(
        conn,
        f"INSERT INTO {TABLE} (customer, key, request, answer) "
        f"VALUES ('{customer}', '{key}', '{digest}', '')",
    )
    if inserted.sqlstate:
        yield _query(conn, "ROLLBACK")
        if inserted.sqlstate != UNIQUE_VIOLATION:
            return typing.cast(_endpoint.Answer, inserted)
        return (yield from _first_answer(conn, customer, key, digest))
    answer: _endpoint.Answer = yield conn.execute(payload)
    if answer.sqlstate:
        yield _query(conn, "ROLLBACK")
        return _with_ready(answer, conn)
    stored = answer.data[:MAX_STORED_BYTES].hex()
    yield _query(
        conn,
        f"UPDATE {TABLE} SET answer = '{stored}' "
        f"WHERE customer = '{customer}' AND key = '{key}'",
    )
    committed = yield _query(conn, "COMMIT")
    if committed.sqlstate:
        return typing.cast(_endpoint.Answer, committed)
    return _with_ready(answer, conn)


def _first_answer(
    conn: _endpoint.EndpointConn, customer: str, key: str, digest: str
) -> "decisions.Flow[_endpoint.Answer]":
    result = yield _query(
        conn,
        f"SELECT request, answer FROM {TABLE} "
        f"WHERE customer = '{customer}' AND key = '{key}'",
    )
    rows = [f for f in result.frames if f.kind == _wire.ROW]
    if not rows:
        raise decisions.RequestFailedError(decisions.ANSWER_LOST)
    request, stored = _wire.data_row(rows[0])
    if (request or b"").decode() != digest:
        raise decisions.RequestFailedError(
            decisions.DUPLICATE_KEY, "the key belongs to another request"
        )
    frames = _wire.FrameSplitter().feed(bytes.fromhex((stored or b"").decode()))
    result.frames.clear()
    result.frames.extend(frames)
    return _with_ready(result, conn)


def _with_ready(
    answer: _endpoint.Answer, conn: _endpoint.EndpointConn
) -> _endpoint.Answer:
    """Returns an answer that ends as it would outside of a transaction."""
    if answer.frames and answer.frames[-1].kind == _wire.READY:
        answer.frames.pop()
    answer.frames.append(_wire.Frame(_wire.READY, _wire.encode_ready("I")))
    answer.status = "I"
    answer.position = conn.position
    return answer


def _query(
    conn: _endpoint.EndpointConn, sql: str
) -> "decisions.Future[_endpoint.Answer]":
    return conn.execute(_wire.encode_query(sql))
