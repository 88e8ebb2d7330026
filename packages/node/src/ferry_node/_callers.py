"""Callers' connections: startup, login, and the batches after it."""

import collections
from collections.abc import Callable
import hmac
import secrets
import ssl

from absl import logging
import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_node import _batches
from ferry_node import _conversation
from ferry_node import _login
from ferry_node import _settings
from ferry_node import _wire

LOGIN_TIMEOUT_S = 10.0
SECRET_BYTES = 4
# Unsent bytes at which a caller that does not read is disconnected.
HIGH_WATER_BYTES = 1 << 24
# Batches that one caller may have queued behind the running one.
MAX_PIPELINED = 1_000


@attrs.frozen(slots=True)
class CallerContext:
    """Dependencies that all callers' connections share.

    Attributes:
        loop: The node's event loop.
        cfg: The node's settings.
        contracts: The active contracts.
        is_current: Returns whether these are confirmed to be the newest.
        sessions: Dependencies that all sessions share.
        tls: The TLS context; None without TLS.
        secret: A secret of this process, from which logins that do not exist
            get their keys.
        cancel: Called with a process id and a secret to cancel a batch.
    """

    loop: runtime.EventLoop
    cfg: _settings.Settings
    contracts: decisions.ContractBook
    is_current: Callable[[], bool]
    sessions: _conversation.ConversationContext
    tls: ssl.SSLContext | None
    secret: bytes
    cancel: Callable[[int, bytes], object]


class CallerConn:
    """The connection of one caller."""

    __slots__ = (
        "_ctx",
        "_stream",
        "_decoder",
        "_reader",
        "_dialog",
        "_session",
        "_batches",
        "_busy",
        "_skipping",
        "_on_closed",
        "_timer",
        "process_id",
        "secret",
        "stopping",
    )

    def __init__(
        self,
        ctx: CallerContext,
        stream: runtime.Stream,
        process_id: int,
        on_closed: "Callable[[CallerConn], object]",
    ) -> None:
        """Wraps a stream.

        Args:
            ctx: Dependencies that all connections share.
            stream: The stream.
            process_id: The number that identifies it for cancellation.
            on_closed: Called when the connection has ended.
        """
        self._ctx = ctx
        self._stream = stream
        self._decoder = _wire.CallerDecoder()
        self._reader: _batches.BatchReader | None = None
        self._dialog: _login.LoginDialog | None = None
        self._session: _conversation.Conversation | None = None
        self._batches: collections.deque[_batches.Batch] | None = None
        self._busy = False
        self._skipping = False
        self._on_closed = on_closed
        self.process_id = process_id
        self.secret = secrets.token_bytes(SECRET_BYTES)
        self.stopping = False
        self._timer: decisions.Timer | None = ctx.loop.after(
            LOGIN_TIMEOUT_S, self._on_login_timeout
        )
        stream.on_data = self._receive
        stream.on_closed = self._on_stream_closed

    @property
    def busy(self) -> bool:
        """Whether a batch is running or a transaction is open."""
        session = self._session
        return self._busy or (session is not None and session.in_transaction)

    def cancel(self, secret: bytes) -> None:
        """Cancels the running batch if the secret is correct."""
        is_valid = hmac.compare_digest(secret, self.secret)
        if is_valid and self._session is not None:
            self._session.cancel()

    def stop(self) -> None:
        """Closes the connection once it is no longer busy."""
        self.stopping = True
        if not self.busy:
            self._end_with_error(
                decisions.STOPPING, "this node is being stopped"
            )

    def interrupt(self) -> None:
        """Answers a running batch with an error; the process is about to end.

        An open transaction is rolled back.
        """
        reason = decisions.STOPPING
        if self._busy:
            reason = decisions.ANSWER_LOST
        elif self.busy:
            reason = decisions.TRANSACTION_LOST
        self._end_with_error(reason, "this node is being stopped")

    def close(self) -> None:
        """Closes the connection immediately."""
        self._stream.close()
        self._release()
        self._on_closed(self)

    def _receive(self, data: bytes) -> None:
        try:
            for msg in self._decoder.feed(data):
                if self._stream.closed:
                    return
                self._handle_message(msg)
        except _wire.MalformedMessageError as exc:
            self._end_with_error(decisions.PROTOCOL_VIOLATION, str(exc))
        except decisions.RequestFailedError as exc:
            self._end_with_error(exc.reason, exc.detail)

    def _handle_message(self, msg: _wire.Message) -> None:
        if isinstance(msg, _wire.Terminate):
            self.close()
        elif self._session is not None:
            self._handle_statement(self._session, msg)
        elif self._dialog is not None:
            self._handle_login(self._dialog, msg)
        else:
            self._handle_startup(msg)

    def _handle_startup(self, msg: _wire.Message) -> None:
        match msg:
            case _wire.SSLRequest():
                self._stream.send(
                    _wire.encode_tls_answer(self._ctx.tls is not None)
                )
                if self._ctx.tls is not None:
                    self._stream.start_tls(self._ctx.tls)
            case _wire.GSSEncRequest():
                self._stream.send(_wire.encode_gss_refusal())
            case _wire.CancelRequest():
                self._ctx.cancel(msg.process_id, msg.secret_key)
                self.close()
            case _wire.StartupMessage():
                dialog = _login.LoginDialog(
                    self._ctx.cfg,
                    self._ctx.contracts,
                    self._ctx.secret,
                    self._ctx.is_current,
                )
                self._stream.send(dialog.begin(msg.params, self._stream.is_tls))
                self._decoder.expect_sasl_initial()
                self._dialog = dialog
            case _:
                raise decisions.RequestFailedError(
                    decisions.PROTOCOL_VIOLATION, type(msg).__name__
                )

    def _handle_login(
        self, dialog: _login.LoginDialog, msg: _wire.Message
    ) -> None:
        self._stream.send(dialog.handle(msg))
        if dialog.granted is None:
            self._decoder.expect_sasl_response()
            return
        identity, state = dialog.granted
        self._dialog = None
        self._decoder.expect_statements()
        self._session = _conversation.Conversation(
            self._ctx.sessions, identity, state, self._send
        )
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._stream.send(
            _wire.encode_login_ok(
                _login.PARAMETERS, self.process_id, self.secret
            )
        )

    def _handle_statement(
        self, session: _conversation.Conversation, msg: _wire.Message
    ) -> None:
        if self._skipping:
            if isinstance(msg, _wire.Sync):
                self._skipping = False
                session.send_ready()
            return
        if self._reader is None:
            self._reader = _batches.BatchReader()
        try:
            batch = self._reader.add(msg)
        except decisions.RequestFailedError as exc:
            self._reader.reset()
            self._skipping = True
            self._stream.send(_wire.encode_error(exc.reason, exc.detail))
            return
        if batch is None:
            return
        if not self._busy:
            self._start_batch(session, batch)
            return
        if self._batches is None:
            self._batches = collections.deque()
        self._batches.append(batch)
        if len(self._batches) > MAX_PIPELINED:
            self._end_with_error(
                decisions.OVERLOADED, "too many batches in one pipeline"
            )

    def _start_batch(
        self, session: _conversation.Conversation, batch: _batches.Batch
    ) -> None:
        self._busy = True
        session.run(batch).add_done_callback(
            lambda fut: self._on_batch_done(session, fut)
        )

    def _on_batch_done(
        self,
        session: _conversation.Conversation,
        fut: "decisions.Future[None]",
    ) -> None:
        exc = fut.exception()
        if exc is not None:
            logging.error("event=batch_failed", exc_info=exc)
            self._end_with_error(decisions.ANSWER_LOST, "internal failure")
        if self._stream.closed:
            self._busy = False
            session.close()
            return
        if self._batches:
            batch = self._batches.popleft()
            self._ctx.loop.call_soon(lambda: self._start_batch(session, batch))
            return
        self._busy = False
        if self.stopping:
            self.stop()

    def _send(self, data: bytes) -> None:
        self._stream.send(data)
        if self._stream.queued > HIGH_WATER_BYTES:
            self._end_with_error(
                decisions.ANSWER_LOST, "the caller does not read"
            )

    def _on_login_timeout(self) -> None:
        self._end_with_error(decisions.LOGIN_REFUSED, "login took too long")

    def _end_with_error(self, reason: decisions.Reason, detail: str) -> None:
        if self._stream.closed:
            return
        self._stream.send(_wire.encode_error(reason, detail, "FATAL"))
        self._stream.close_when_sent(lambda: self._on_closed(self))
        self._release()

    def _on_stream_closed(self, _: runtime.StreamClosedError) -> None:
        self._release()
        self._on_closed(self)

    def _release(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._session is not None and not self._busy:
            self._session.close()
