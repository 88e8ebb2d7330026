"""Answers to callers: what is passed on, taken out, or made here."""

from collections.abc import Callable

import ferry_decisions as decisions

from ferry_node import _batches
from ferry_node import _wire


class Parts:
    """Parts of a long answer, held back while the answer may be dropped."""

    __slots__ = ("_send", "_held")

    def __init__(self, send: Callable[[bytes], object]) -> None:
        self._send = send
        self._held: list[bytes] | None = None

    def hold(self) -> None:
        """Holds parts back from now on."""
        self._held = []

    def take(self, data: bytes) -> None:
        """Passes a part on, or holds it back."""
        if self._held is None:
            self._send(data)
        else:
            self._held.append(data)

    def drop(self) -> None:
        """Forgets what is held back."""
        self._held = []

    def release(self) -> None:
        """Passes on what is held back."""
        held, self._held = self._held, None
        for data in held or ():
            self._send(data)


class AnswerFilter:
    """Takes out of an answer what the caller did not ask for."""

    __slots__ = ("_hidden", "_seen", "_splitter")

    def __init__(self, hidden: frozenset[int]) -> None:
        self._hidden = hidden
        self._seen = 0
        self._splitter = _wire.FrameSplitter()

    def feed(self, data: bytes) -> bytes:
        """Returns the part of `data` that goes to the caller."""
        if not self._hidden:
            return data
        kept = []
        for frame in self._splitter.feed(data):
            if frame.kind == _wire.PARSE_COMPLETE:
                self._seen += 1
                if self._seen - 1 in self._hidden:
                    continue
            kept.append(frame.data)
        return b"".join(kept)


def local_answer(batch: _batches.Batch, values: list[str]) -> bytes:
    """Returns the answer to a batch that this node answers itself.

    Args:
        batch: The batch; its statements are SET or SHOW.
        values: For each statement, the value that it shows or has set.
    """
    executed = [
        _executed(statement, value)
        for statement, value in zip(batch.statements, values, strict=True)
    ]
    return _assembled(
        batch, [_described(s) for s in batch.statements], executed
    )


def ended_answer(batch: _batches.Batch) -> bytes:
    """Returns the answer to the end of a transaction that was lost."""
    executed = _wire.encode_command_complete("ROLLBACK")
    return _assembled(batch, [b""], [executed])


def _assembled(
    batch: _batches.Batch, described: list[bytes], executed: list[bytes]
) -> bytes:
    """Returns one answer for each message of a batch."""
    if batch.simple:
        return described[0] + executed[0]
    parts = []
    index = 0
    for msg in batch.messages:
        match msg:
            case _wire.Parse():
                parts.append(_wire.PARSE_COMPLETE_BYTES)
            case _wire.Bind():
                parts.append(_wire.BIND_COMPLETE_BYTES)
            case _wire.Close():
                parts.append(_wire.CLOSE_COMPLETE_BYTES)
            case _wire.Describe():
                if msg.kind == "S":
                    parts.append(_wire.encode_parameter_description([]))
                shown = described[min(index, len(described) - 1)]
                parts.append(shown or _wire.NO_DATA_BYTES)
            case _wire.Execute():
                parts.append(executed[index])
                index += 1
    return b"".join(parts)


def _described(statement: decisions.Statement) -> bytes:
    if statement.kind is decisions.StatementKind.SET:
        return b""
    name = decisions.SETTING_PREFIX + statement.name
    return _wire.encode_row_description([name], [_wire.TEXT_OID])


def _executed(statement: decisions.Statement, value: str) -> bytes:
    if statement.kind is decisions.StatementKind.SET:
        return _wire.encode_command_complete("SET")
    row = _wire.encode_data_row([value.encode()])
    return row + _wire.encode_command_complete("SHOW")
