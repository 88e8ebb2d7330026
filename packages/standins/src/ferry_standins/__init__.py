"""Small stand-ins for the platform and the database endpoints."""

from ferry_standins._fleet import ADMIN_TOKEN
from ferry_standins._fleet import Fleet
from ferry_standins._fleet import FleetNotReadyError
from ferry_standins._fleet import FleetPlan
from ferry_standins._kv import KvFaults
from ferry_standins._kv import KvServer
from ferry_standins._log import Group
from ferry_standins._log import LinkFaults
from ferry_standins._log import LogEntry
from ferry_standins._log import LogStatement
from ferry_standins._log import RefusedError
from ferry_standins._log import Replica
from ferry_standins._member import Member
from ferry_standins._vms import VmListServer

__all__ = [
    "ADMIN_TOKEN",
    "Fleet",
    "FleetNotReadyError",
    "FleetPlan",
    "Group",
    "KvFaults",
    "KvServer",
    "LinkFaults",
    "LogEntry",
    "LogStatement",
    "Member",
    "RefusedError",
    "Replica",
    "VmListServer",
]
