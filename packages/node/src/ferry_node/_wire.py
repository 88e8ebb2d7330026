"""The PostgreSQL protocol, version 3; the only module that uses `pygwire`.

The library decodes the messages that a node acts on. Answers of endpoints are
relayed as the bytes that arrived: they are only split into frames, each with
a type byte and a length.
"""

from collections.abc import Iterator
import struct
import typing

import attrs
import ferry_decisions as decisions
import pygwire
from pygwire import constants
from pygwire import messages

_HEADER = struct.Struct("!cI")
_HEADER_BYTES = 5
# Buffered bytes of one incomplete message at which a caller is disconnected.
MAX_CALLER_MESSAGE_BYTES = 64 << 20

# Type bytes of endpoints' messages.
READY = b"Z"
ERROR = b"E"
PARSE_COMPLETE = b"1"
PARAMETER = b"S"
AUTHENTICATION = b"R"

Query = messages.Query
Parse = messages.Parse
Bind = messages.Bind
Describe = messages.Describe
Execute = messages.Execute
Close = messages.Close
Sync = messages.Sync
Flush = messages.Flush
Terminate = messages.Terminate
StartupMessage = messages.StartupMessage
SSLRequest = messages.SSLRequest
GSSEncRequest = messages.GSSEncRequest
CancelRequest = messages.CancelRequest
SASLInitialResponse = messages.SASLInitialResponse
SASLResponse = messages.SASLResponse
Message = messages.PGMessage
FieldDescription = messages.FieldDescription
DataRow = messages.DataRow
RowDescription = messages.RowDescription

# Parameters in which endpoints, nodes and callers exchange positions, session
# tokens, terms and owners.
POSITION_PARAMETER = "rosemaryferry.position"
SESSION_PARAMETER = "rosemaryferry.session"
TERM_PARAMETER = "rosemaryferry.term"
OWNER_PARAMETER = "rosemaryferry.owner"


class MalformedMessageError(Exception):
    """The peer sent bytes that violate the protocol."""


class CallerDecoder:
    """Decodes the messages of one caller."""

    __slots__ = ("_decoder",)

    def __init__(self) -> None:
        self._decoder = pygwire.FrontendMessageDecoder()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yields the messages that `data` completes.

        Raises:
            MalformedMessageError: The bytes are not a valid message, or the
                message is too long.
        """
        self._decoder.feed(data)
        try:
            yield from self._decoder
        except (
            pygwire.PygwireError,
            ValueError,
            struct.error,
            IndexError,
        ) as exc:
            raise MalformedMessageError(str(exc)) from exc
        if self._decoder.buffered > MAX_CALLER_MESSAGE_BYTES:
            raise MalformedMessageError("message too long")
        if self._decoder.buffered == 0:
            self._decoder.clear()

    def expect_sasl_initial(self) -> None:
        """Decodes the next message as the start of a SASL exchange."""
        self._decoder.phase = (
            constants.ConnectionPhase.AUTHENTICATING_SASL_INITIAL
        )

    def expect_sasl_response(self) -> None:
        """Decodes the next message as a response in a SASL exchange."""
        self._decoder.phase = (
            constants.ConnectionPhase.AUTHENTICATING_SASL_CONTINUE
        )

    def expect_statements(self) -> None:
        """Decodes all further messages as those after startup."""
        self._decoder.phase = constants.ConnectionPhase.READY


@attrs.frozen(slots=True)
class Frame:
    """One message of an endpoint, not decoded.

    Attributes:
        kind: The type byte.
        data: The whole message, including its header.
    """

    kind: bytes
    data: bytes


class FrameSplitter:
    """Splits an endpoint's byte stream into frames without decoding them."""

    __slots__ = ("_buf",)

    def __init__(self) -> None:
        self._buf = b""

    def feed(self, data: bytes) -> list[Frame]:
        """Returns the frames that `data` completes.

        Raises:
            MalformedMessageError: A length is out of range.
        """
        buf = self._buf + data if self._buf else data
        frames = []
        pos = 0
        size = len(buf)
        while size - pos >= _HEADER_BYTES:
            kind, length = _HEADER.unpack_from(buf, pos)
            if length < 4:
                raise MalformedMessageError(f"frame length {length}")
            end = pos + 1 + length
            if end > size:
                break
            frames.append(Frame(kind, buf[pos:end]))
            pos = end
        self._buf = buf[pos:]
        return frames


def _payload(frame: Frame) -> memoryview:
    return memoryview(frame.data)[_HEADER_BYTES:]


def ready_status(frame: Frame) -> str:
    """Returns the transaction status of a ReadyForQuery: I, T or E."""
    return chr(frame.data[_HEADER_BYTES])


def command_tag(frame: Frame) -> str:
    """Returns the tag of a CommandComplete."""
    return frame.data[_HEADER_BYTES:-1].decode()


def error_fields(frame: Frame) -> dict[str, str]:
    """Returns the fields of an ErrorResponse by their one-letter codes."""
    return messages.ErrorResponse.decode(_payload(frame)).fields


def parameter(frame: Frame) -> tuple[str, str]:
    """Returns the name and the value of a ParameterStatus."""
    msg = messages.ParameterStatus.decode(_payload(frame))
    return msg.name, msg.value


def authentication_code(frame: Frame) -> int:
    """Returns the code of an authentication request; 0 means success."""
    return int.from_bytes(frame.data[_HEADER_BYTES : _HEADER_BYTES + 4], "big")


def data_row(frame: Frame) -> list[bytes | None]:
    """Returns the columns of a DataRow."""
    return messages.DataRow.decode(_payload(frame)).columns


def encode_error(
    reason: decisions.Reason, detail: str, severity: str = "ERROR"
) -> bytes:
    """Returns an ErrorResponse with a reason, its outcome and its details."""
    fields = {
        "S": severity,
        "V": severity,
        "C": reason.sqlstate,
        "M": f"{reason.name}: {detail}" if detail else reason.name,
        "D": f"outcome={reason.outcome.value}",
    }
    if reason.retry_after_s:
        fields["H"] = f"retry_after_s={reason.retry_after_s:g}"
    return messages.ErrorResponse(fields=fields).to_wire()


def encode_sqlstate(sqlstate: str, message: str) -> bytes:
    """Returns an ErrorResponse as an endpoint would send it."""
    fields = {"S": "ERROR", "V": "ERROR", "C": sqlstate, "M": message}
    return messages.ErrorResponse(fields=fields).to_wire()


_READY_BYTES = {
    status.value: messages.ReadyForQuery(status=status).to_wire()
    for status in constants.TransactionStatus
}


def encode_ready(status: str) -> bytes:
    """Returns a ReadyForQuery with status I, T or E."""
    return _READY_BYTES[status]


def encode_parameter(name: str, value: str) -> bytes:
    """Returns a ParameterStatus."""
    return messages.ParameterStatus(name=name, value=value).to_wire()


def encode_login_ok(
    parameters: dict[str, str], process_id: int, secret: bytes
) -> bytes:
    """Returns the messages from AuthenticationOk up to ReadyForQuery."""
    parts = [messages.AuthenticationOk().to_wire()]
    parts += [encode_parameter(n, v) for n, v in parameters.items()]
    key = messages.BackendKeyData(process_id=process_id, secret_key=secret)
    parts.append(key.to_wire())
    parts.append(encode_ready("I"))
    return b"".join(parts)


def encode_sasl(mechanism: str) -> bytes:
    """Returns an AuthenticationSASL that offers one mechanism."""
    return messages.AuthenticationSASL(mechanisms=[mechanism]).to_wire()


def encode_sasl_continue(text: str) -> bytes:
    """Returns an AuthenticationSASLContinue with the server's challenge."""
    return messages.AuthenticationSASLContinue(data=text.encode()).to_wire()


def encode_sasl_final(text: str) -> bytes:
    """Returns an AuthenticationSASLFinal with the server's signature."""
    return messages.AuthenticationSASLFinal(data=text.encode()).to_wire()


def encode_tls_answer(accepted: bool) -> bytes:
    """Returns the answer to an SSLRequest."""
    return messages.SSLResponse(accepted=accepted).to_wire()


def encode_gss_refusal() -> bytes:
    """Returns the refusal of a GSSEncRequest."""
    return messages.GSSResponse(accepted=False).to_wire()


def encode_command_complete(tag: str) -> bytes:
    """Returns a CommandComplete."""
    return messages.CommandComplete(tag=tag).to_wire()


# Object identifier of the type `text`.
TEXT_OID = 25


def encode_row_description(names: list[str], oids: list[int]) -> bytes:
    """Returns a RowDescription of text-format columns."""
    fields = [
        FieldDescription(
            name=name, type_oid=oid, type_size=-1, type_modifier=-1
        )
        for name, oid in zip(names, oids, strict=True)
    ]
    return RowDescription(fields=fields).to_wire()


def encode_data_row(columns: list[bytes | None]) -> bytes:
    """Returns a DataRow."""
    return DataRow(columns=columns).to_wire()


EMPTY_QUERY = messages.EmptyQueryResponse().to_wire()
PARSE_COMPLETE_BYTES = messages.ParseComplete().to_wire()
BIND_COMPLETE_BYTES = messages.BindComplete().to_wire()
CLOSE_COMPLETE_BYTES = messages.CloseComplete().to_wire()
NO_DATA_BYTES = messages.NoData().to_wire()
SYNC_BYTES = messages.Sync().to_wire()
TERMINATE_BYTES = messages.Terminate().to_wire()


def encode_parameter_description(oids: list[int]) -> bytes:
    """Returns a ParameterDescription."""
    return messages.ParameterDescription(type_oids=oids).to_wire()


def encode_startup(parameters: dict[str, str]) -> bytes:
    """Returns a StartupMessage."""
    return StartupMessage(params=parameters).to_wire()


def encode_query(sql: str) -> bytes:
    """Returns a simple Query."""
    return Query(query_string=sql).to_wire()


def encode_cancel(process_id: int, secret: bytes) -> bytes:
    """Returns a CancelRequest."""
    return CancelRequest(process_id=process_id, secret_key=secret).to_wire()


def backend_key(frame: Frame) -> tuple[int, bytes]:
    """Returns the process id and the secret of a BackendKeyData."""
    msg = messages.BackendKeyData.decode(_payload(frame))
    return msg.process_id, msg.secret_key


BACKEND_KEY: typing.Final = b"K"
ROW: typing.Final = b"D"
