"""The platform's list of VMs, read over HTTP.

The list lags, so it says who exists and who is leaving; whether a node is
alive is for membership to find out.
"""

import concurrent.futures
import json
import typing

import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime
import urllib3

TIMEOUT_S = 1.0
NOT_MODIFIED = 304
ENTRY = "entry"
LEAVING = "leaving"


class VmListUnavailableError(Exception):
    """The platform gave no list of VMs."""


@attrs.frozen(slots=True)
class Vm:
    """A VM of the platform's list.

    Attributes:
        name: Its name.
        kind: `entry` for VMs of this system, `endpoint` for members.
        state: `live` or `leaving`.
        data_centre: Where it runs.
        host: Its IP number.
        port: For endpoints, the TCP port; for entry VMs, that of peers.
        probe_port: For entry VMs, the UDP port of probes.
    """

    name: str
    kind: str
    state: str
    data_centre: str
    host: str
    port: int
    probe_port: int = 0

    def as_node(self) -> decisions.Node:
        """Returns the entry VM as a node."""
        return decisions.Node(
            self.name, self.data_centre, self.host, self.port, self.probe_port
        )


@attrs.frozen(slots=True)
class VmList:
    """The list.

    Attributes:
        vms: All VMs, live and leaving.
    """

    vms: tuple[Vm, ...]


class VmLists(typing.Protocol):
    """Where the list comes from."""

    def fetch(self) -> "decisions.Future[VmList]":
        """Reads the list; fails with `VmListUnavailableError`."""

    def close(self) -> None:
        """Frees what the reader holds."""


class HttpVmLists:
    """Reads the list from the platform."""

    def __init__(self, loop: runtime.EventLoop, url: str) -> None:
        self._loop = loop
        self._url = url
        self._etag = ""
        self._last: VmList | None = None
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self._executor = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix="vm-list"
        )

    def fetch(self) -> "decisions.Future[VmList]":
        """Reads the list; fails with `VmListUnavailableError`."""
        return runtime.relay_to_loop(
            self._loop, self._executor.submit(self._read)
        )

    def close(self) -> None:
        """Ends the executor."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _read(self) -> VmList:
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            reply = self._http.request("GET", self._url, headers=headers)
            if reply.status == NOT_MODIFIED and self._last is not None:
                return self._last
            if reply.status != 200:
                raise VmListUnavailableError(f"HTTP {reply.status}")
            found = decisions.structure(
                json.loads(reply.data), VmList, "vm_list"
            )
            self._etag = reply.headers.get("ETag", "")
            self._last = found
            return found
        except (
            urllib3.exceptions.HTTPError,
            ValueError,
            decisions.InvalidDocumentError,
        ) as exc:
            raise VmListUnavailableError(repr(exc)) from exc
