"""The administration API: contracts, status and metrics over HTTP.

It runs on threads of its own. Everything that touches the node's state is
done on the node's loop and waited for.
"""

import hmac
import http.server
import json
import threading
import typing
import urllib.parse

from absl import logging
import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_node import _contracts_api
from ferry_node import _status

if typing.TYPE_CHECKING:
    from ferry_node import _node

CALL_TIMEOUT_S = 10.0
MAX_BODY_BYTES = 1 << 20
JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4"


T = typing.TypeVar("T")


@attrs.frozen(slots=True)
class Response:
    """An HTTP response.

    Attributes:
        status: The HTTP status.
        body: What is sent.
        content_type: Its type.
        etag: The version of what is shown; empty for none.
    """

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    etag: str = ""


class AdminServer:
    """Serves the API of one node."""

    def __init__(self, node: "_node.Node") -> None:
        self._node = node
        self._contracts = _contracts_api.ContractsApi(node)
        server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Hands each request to the server's one function."""

            protocol_version = "HTTP/1.1"
            timeout = CALL_TIMEOUT_S

            def do_GET(self) -> None:  # noqa: N802 - the library's name
                server.handle(self)

            def do_PUT(self) -> None:  # noqa: N802 - the library's name
                server.handle(self)

            def do_DELETE(self) -> None:  # noqa: N802 - the library's name
                server.handle(self)

            def log_message(self, format: str, *args: object) -> None:
                logging.debug("event=admin_request " + format, *args)

        self._server = http.server.ThreadingHTTPServer(
            (node.cfg.host, node.cfg.admin_port), Handler
        )
        self._server.daemon_threads = True
        self.port: int = self._server.server_address[1]
        self._thread = threading.Thread(
            target=self._server.serve_forever, name="admin", daemon=True
        )
        self._thread.start()

    def close(self) -> None:
        """Stops serving."""
        self._server.shutdown()
        self._server.server_close()

    def handle(self, request: http.server.BaseHTTPRequestHandler) -> None:
        """Answers one request."""
        try:
            response = self._route(request)
        except _contracts_api.ApiError as exc:
            response = Response(exc.status, exc.body())
        except Exception:  # noqa: BLE001 - answered and logged
            logging.exception("event=admin_failed")
            response = Response(500, b'{"error":"internal"}')
        request.send_response(response.status)
        request.send_header("Content-Type", response.content_type)
        request.send_header("Content-Length", str(len(response.body)))
        if response.etag:
            request.send_header("ETag", f'"{response.etag}"')
        request.end_headers()
        request.wfile.write(response.body)

    def _route(self, request: http.server.BaseHTTPRequestHandler) -> Response:
        body = self._body(request)
        path = urllib.parse.urlsplit(request.path).path
        parts = [urllib.parse.unquote(p) for p in path.split("/") if p]
        match (request.command, parts):
            case ("GET", ["metrics"]):
                text = self._on_loop(lambda: _status.metrics(self._node))
                return Response(200, text.encode(), TEXT_TYPE)
            case ("GET", ["v1", "status"]):
                shown = self._on_loop(lambda: _status.status(self._node))
                return Response(200, _json(shown))
            case ("GET", ["v1", "contracts"]):
                found = self._on_loop(self._node.contracts.in_force)
                return Response(200, _json([_public(c) for c in found]))
            case ("GET", ["v1", "contracts", customer]):
                contract = self._contracts.show(customer)
                return Response(
                    200, _json(_public(contract)), etag=str(contract.version)
                )
            case ("GET", ["v1", "contracts", customer, "history"]):
                found_history = self._contracts.history(customer)
                return Response(200, _json(found_history))
            case ("PUT", ["v1", "contracts", customer]):
                change = self._change(request)
                contract = self._contracts.put(customer, body, change)
                return Response(
                    200, _json(_public(contract)), etag=str(contract.version)
                )
            case ("DELETE", ["v1", "contracts", customer]):
                change = self._change(request)
                contract = self._contracts.delete(customer, change)
                return Response(
                    200, _json(_public(contract)), etag=str(contract.version)
                )
        raise _contracts_api.ApiError(404, "not_found", path)

    def _body(self, request: http.server.BaseHTTPRequestHandler) -> bytes:
        length = request.headers.get("Content-Length", "0")
        if not length.isdecimal() or int(length) > MAX_BODY_BYTES:
            raise _contracts_api.ApiError(413, "body_too_long", length)
        return request.rfile.read(int(length))

    def _change(
        self, request: http.server.BaseHTTPRequestHandler
    ) -> _contracts_api.Change:
        """Returns who asks for a change, after checking the secret."""
        expected = f"Bearer {self._node.cfg.admin_token}"
        given = request.headers.get("Authorization", "")
        closed = not self._node.cfg.admin_token
        if closed or not hmac.compare_digest(given.encode(), expected.encode()):
            raise _contracts_api.ApiError(401, "unauthorized", "")
        etag = request.headers.get("If-Match", "").strip('" ')
        return _contracts_api.Change(
            operator=request.headers.get("X-Operator", "unknown"),
            change_id=request.headers.get("Idempotency-Key", ""),
            if_version=int(etag) if etag.isdecimal() else None,
        )

    def _on_loop(self, work: typing.Callable[[], T]) -> T:
        fut = runtime.submit_to_loop(
            self._node.loop, lambda: decisions.completed(work())
        )
        return fut.result(CALL_TIMEOUT_S)


def _json(value: object) -> bytes:
    return json.dumps(value, indent=1).encode() + b"\n"


def _public(contract: decisions.Contract) -> object:
    """Returns a contract without what checks its passwords."""
    shown = decisions.unstructure(contract)
    shown["logins"] = [login.name for login in contract.logins]
    return shown
