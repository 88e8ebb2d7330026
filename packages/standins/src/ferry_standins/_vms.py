"""A fake of the platform's list of live and leaving VMs."""

import http.server
import json
import threading

import attrs
import ferry_decisions as decisions
import ferry_node as node


class VmListServer:
    """Serves a list of VMs that tests edit.

    Attributes:
        down: Whether every request fails.
        url: The address of the list.
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        self._vms: dict[str, node.Vm] = {}
        self._lock = threading.Lock()
        self.down = False
        server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Passes each request to the server."""

            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802 - name given by the library
                server.handle(self)

            def log_message(self, format: str, *args: object) -> None:
                """Logs nothing."""

        self._server = http.server.ThreadingHTTPServer((host, 0), Handler)
        self._server.daemon_threads = True
        self.url = f"http://{host}:{self._server.server_address[1]}/v1/vms"
        threading.Thread(
            target=self._server.serve_forever, name="vm-list", daemon=True
        ).start()

    def put(self, vm: node.Vm) -> None:
        """Adds or replaces a VM."""
        with self._lock:
            self._vms[vm.name] = vm

    def leave(self, name: str) -> None:
        """Marks a VM as leaving."""
        with self._lock:
            self._vms[name] = attrs.evolve(self._vms[name], state="leaving")

    def remove(self, name: str) -> None:
        """Removes a VM from the list."""
        with self._lock:
            self._vms.pop(name, None)

    def close(self) -> None:
        """Stops serving."""
        self._server.shutdown()
        self._server.server_close()

    def handle(self, request: http.server.BaseHTTPRequestHandler) -> None:
        """Replies to one request with the list, or with 304."""
        if self.down:
            request.close_connection = True
            return
        with self._lock:
            shown = node.VmList(tuple(self._vms.values()))
        data = json.dumps(decisions.unstructure(shown)).encode()
        etag = f'"{decisions.content_digest(data)}"'
        if request.headers.get("If-None-Match") == etag:
            request.send_response(304)
            request.send_header("Content-Length", "0")
            request.end_headers()
            return
        request.send_response(200)
        request.send_header("ETag", etag)
        request.send_header("Content-Length", str(len(data)))
        request.end_headers()
        request.wfile.write(data)
