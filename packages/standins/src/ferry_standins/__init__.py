"""Fakes of the platform and the database endpoints for tests and demos."""

from ferry_standins._fleet import ADMIN_TOKEN
from ferry_standins._fleet import Fleet
from ferry_standins._fleet import FleetNotReadyError
from ferry_standins._fleet import FleetPlan
from ferry_standins._history import Operation
from ferry_standins._history import Verdict
from ferry_standins._history import check
from ferry_standins._kv import KvFaults
from ferry_standins._kv import KvServer
from ferry_standins._lab import Lab
from ferry_standins._lab import LabPlan
from ferry_standins._lab_node import LabNode
from ferry_standins._lab_session import LabSession
from ferry_standins._log import Group
from ferry_standins._log import LinkFaults
from ferry_standins._log import LogEntry
from ferry_standins._log import LogStatement
from ferry_standins._log import RefusedError
from ferry_standins._log import Replica
from ferry_standins._member import Member
from ferry_standins._swarm import Swarm
from ferry_standins._swarm import SwarmNode
from ferry_standins._swarm import SwarmPlan
from ferry_standins._virtual import Link
from ferry_standins._virtual import PausableTimers
from ferry_standins._virtual import VirtualDriver
from ferry_standins._virtual import VirtualMember
from ferry_standins._virtual import VirtualNet
from ferry_standins._virtual_store import StoreState
from ferry_standins._virtual_store import VirtualStore
from ferry_standins._vms import VmListServer

__all__ = [
    "ADMIN_TOKEN",
    "Fleet",
    "FleetNotReadyError",
    "FleetPlan",
    "Group",
    "KvFaults",
    "KvServer",
    "Lab",
    "LabNode",
    "LabPlan",
    "LabSession",
    "Link",
    "LinkFaults",
    "LogEntry",
    "LogStatement",
    "Member",
    "Operation",
    "PausableTimers",
    "RefusedError",
    "Replica",
    "StoreState",
    "Swarm",
    "SwarmNode",
    "SwarmPlan",
    "Verdict",
    "VirtualDriver",
    "VirtualMember",
    "VirtualNet",
    "VirtualStore",
    "VmListServer",
    "check",
]
