"""The node daemon.

Connects the decision logic of `ferry_decisions` to sockets, timers, and the
platform's services.
"""

from ferry_node._auth import make_login
from ferry_node._drivers import CONTROL_FUNCTION
from ferry_node._drivers import ControlOrder
from ferry_node._drivers import encode_order
from ferry_node._endpoint import EndpointConn
from ferry_node._messages import Hello
from ferry_node._node import Node
from ferry_node._peers import Peers
from ferry_node._settings import CallerSettings
from ferry_node._settings import EndpointSettings
from ferry_node._settings import PolicySettings
from ferry_node._settings import Settings
from ferry_node._settings import SettingsUnreadableError
from ferry_node._settings import settings_from_file
from ferry_node._settings import settings_from_text
from ferry_node._store import HttpStore
from ferry_node._vms import Vm
from ferry_node._vms import VmList

__all__ = [
    "CONTROL_FUNCTION",
    "CallerSettings",
    "ControlOrder",
    "EndpointConn",
    "EndpointSettings",
    "Hello",
    "HttpStore",
    "Node",
    "Peers",
    "PolicySettings",
    "Settings",
    "SettingsUnreadableError",
    "Vm",
    "VmList",
    "encode_order",
    "make_login",
    "settings_from_file",
    "settings_from_text",
]
