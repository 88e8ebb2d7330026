"""Answers to callers: relayed, filtered, or produced by this node."""

from collections.abc import Callable

import ferry_decisions as decisions

from ferry_node import _batches
from ferry_node import _wire


class PartBuffer:
    """Buffers the parts of a long answer while it may still be discarded."""

    __slots__ = ("_send", "_buffered")

    def __init__(self, send: Callable[[bytes], object]) -> None:
        self._send = send
        self._buffered: list[bytes] | None = None

    def hold(self) -> None:
        """Starts to buffer parts instead of sending them."""
        self._buffered = []

    def add(self, data: bytes) -> None:
        """Sends a part, or buffers it."""
        if self._buffered is None:
            self._send(data)
        else:
            self._buffered.append(data)

    def drop(self) -> None:
        """Discards the buffered parts."""
        self._buffered = []

    def release(self) -> None:
        """Sends the buffered parts and stops buffering."""
        buffered, self._buffered = self._buffered, None
        for data in buffered or ():
            self._send(data)


class AnswerFilter:
    """Removes ParseComplete frames that the caller did not ask for."""

    __slots__ = ("_hidden", "_parse_count", "_splitter")

    def __init__(self, hidden: frozenset[int]) -> None:
        self._hidden = hidden
        self._parse_count = 0
        self._splitter = _wire.FrameSplitter()

    def feed(self, data: bytes) -> bytes:
        """Returns the frames in `data` that are meant for the caller."""
        if not self._hidden:
            return data
        kept = []
        for frame in self._splitter.feed(data):
            if frame.kind == _wire.PARSE_COMPLETE:
                self._parse_count += 1
                if self._parse_count - 1 in self._hidden:
                    continue
            kept.append(frame.data)
        return b"".join(kept)


def local_answer(batch: _batches.Batch, values: list[str]) -> bytes:
    """Returns the answer to a batch that needs no endpoint.

    Args:
        batch: The batch; its statements are SET or SHOW.
        values: For each statement, the value that it shows or sets.
    """
    executed = [
        _command_result(statement, value)
        for statement, value in zip(batch.statements, values, strict=True)
    ]
    return _assemble(
        batch, [_row_description(s) for s in batch.statements], executed
    )


def rollback_answer(batch: _batches.Batch) -> bytes:
    """Returns the answer to a batch that ends a lost transaction."""
    executed = _wire.encode_command_complete("ROLLBACK")
    return _assemble(batch, [b""], [executed])


def _assemble(
    batch: _batches.Batch, described: list[bytes], executed: list[bytes]
) -> bytes:
    """Joins the answers to the messages of a batch.

    Args:
        batch: The batch.
        described: For each statement, its RowDescription; empty without rows.
        executed: For each statement, the answer to its execution.
    """
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
                description = described[min(index, len(described) - 1)]
                parts.append(description or _wire.NO_DATA_BYTES)
            case _wire.Execute():
                parts.append(executed[index])
                index += 1
    return b"".join(parts)


def _row_description(statement: decisions.Statement) -> bytes:
    if statement.kind is decisions.StatementKind.SET:
        return b""
    name = decisions.SETTING_PREFIX + statement.name
    return _wire.encode_row_description([name], [_wire.TEXT_OID])


def _command_result(statement: decisions.Statement, value: str) -> bytes:
    if statement.kind is decisions.StatementKind.SET:
        return _wire.encode_command_complete("SET")
    row = _wire.encode_data_row([value.encode()])
    return row + _wire.encode_command_complete("SHOW")
