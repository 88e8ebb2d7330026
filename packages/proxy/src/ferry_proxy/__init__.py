"""The proxy, whatever the protocol: sessions, routing, pools, promotion."""

from ferry_proxy._catalogue import Layout
from ferry_proxy._configuration import Configuration
from ferry_proxy._configuration import Consistency
from ferry_proxy._configuration import Route
from ferry_proxy._configuration import Service
from ferry_proxy._events import DependencyLost
from ferry_proxy._events import EventLog
from ferry_proxy._events import Ready
from ferry_proxy._events import SettingsReloaded
from ferry_proxy._events import emit
from ferry_proxy._events import start_log
from ferry_proxy._links import Begin
from ferry_proxy._links import Command
from ferry_proxy._links import ConnectFailedError
from ferry_proxy._links import Link
from ferry_proxy._links import LinkLostError
from ferry_proxy._links import Pause
from ferry_proxy._links import Prepare
from ferry_proxy._links import Reply
from ferry_proxy._links import Reset
from ferry_proxy._links import Resume
from ferry_proxy._links import Rollback
from ferry_proxy._links import Run
from ferry_proxy._links import SetValue
from ferry_proxy._links import Status
from ferry_proxy._links import StepDown
from ferry_proxy._members import Member
from ferry_proxy._members import Report
from ferry_proxy._members import Role
from ferry_proxy._policy import InvalidPolicyError
from ferry_proxy._policy import Policy
from ferry_proxy._policy import policy_from_file
from ferry_proxy._proxy import NodeIdentity
from ferry_proxy._proxy import Platform
from ferry_proxy._proxy import Proxy
from ferry_proxy._records import InvalidItemError
from ferry_proxy._sessions import Session
from ferry_proxy._statements import Kind
from ferry_proxy._statements import Prepared
from ferry_proxy._statements import Statement
from ferry_proxy._statements import TransactionState
from ferry_proxy._store import Changes
from ferry_proxy._store import HistoryLostError
from ferry_proxy._store import Item
from ferry_proxy._store import PromotionRefusedError
from ferry_proxy._store import StoreUnavailableError

__all__ = [
    "Begin",
    "Changes",
    "Command",
    "Configuration",
    "ConnectFailedError",
    "Consistency",
    "DependencyLost",
    "EventLog",
    "HistoryLostError",
    "InvalidItemError",
    "InvalidPolicyError",
    "Item",
    "Kind",
    "Layout",
    "Link",
    "LinkLostError",
    "Member",
    "NodeIdentity",
    "Pause",
    "Platform",
    "Policy",
    "Prepare",
    "Prepared",
    "PromotionRefusedError",
    "Proxy",
    "Ready",
    "Reply",
    "Report",
    "Reset",
    "Resume",
    "Role",
    "Rollback",
    "Route",
    "Run",
    "Service",
    "Session",
    "SetValue",
    "SettingsReloaded",
    "Statement",
    "Status",
    "StepDown",
    "StoreUnavailableError",
    "TransactionState",
    "emit",
    "policy_from_file",
    "start_log",
]
