"""The event loop, streams and HTTP that all processes are built on."""

from ferry_runtime._http import HttpCallFailedError
from ferry_runtime._http import HttpClient
from ferry_runtime._http import HttpReply
from ferry_runtime._http import HttpRequest
from ferry_runtime._http import HttpServer
from ferry_runtime._loop import EventLoop
from ferry_runtime._loop import relay_to_loop
from ferry_runtime._loop import submit_to_loop
from ferry_runtime._streams import Listener
from ferry_runtime._streams import Stream
from ferry_runtime._streams import StreamClosedError
from ferry_runtime._streams import connect
from ferry_runtime._values import InvalidMessageError
from ferry_runtime._values import ValueDecoder

__all__ = [
    "EventLoop",
    "HttpCallFailedError",
    "HttpClient",
    "HttpReply",
    "HttpRequest",
    "HttpServer",
    "InvalidMessageError",
    "Listener",
    "Stream",
    "StreamClosedError",
    "ValueDecoder",
    "submit_to_loop",
    "connect",
    "relay_to_loop",
]
