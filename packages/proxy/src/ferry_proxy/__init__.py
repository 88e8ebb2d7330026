"""The protocol-independent proxy: sessions, routing, pools and promotion."""

import typing

from ferry_decisions import lazy

if typing.TYPE_CHECKING:
    from ferry_proxy._caller_pace import CallerPace as CallerPace
    from ferry_proxy._catalogue import Layout as Layout
    from ferry_proxy._configuration import Configuration as Configuration
    from ferry_proxy._configuration import (
        ConfigurationDraft as ConfigurationDraft,
    )
    from ferry_proxy._configuration import Consistency as Consistency
    from ferry_proxy._configuration import Route as Route
    from ferry_proxy._configuration import Service as Service
    from ferry_proxy._events import DependencyLost as DependencyLost
    from ferry_proxy._events import EventLog as EventLog
    from ferry_proxy._events import Ready as Ready
    from ferry_proxy._events import SettingsReloaded as SettingsReloaded
    from ferry_proxy._events import WriteRejected as WriteRejected
    from ferry_proxy._events import emit as emit
    from ferry_proxy._events import start_log as start_log
    from ferry_proxy._identity import NodeIdentity as NodeIdentity
    from ferry_proxy._identity import Platform as Platform
    from ferry_proxy._links import Begin as Begin
    from ferry_proxy._links import Command as Command
    from ferry_proxy._links import ConnectFailedError as ConnectFailedError
    from ferry_proxy._links import Link as Link
    from ferry_proxy._links import LinkLostError as LinkLostError
    from ferry_proxy._links import Pause as Pause
    from ferry_proxy._links import Prepare as Prepare
    from ferry_proxy._links import Reply as Reply
    from ferry_proxy._links import Reset as Reset
    from ferry_proxy._links import Resume as Resume
    from ferry_proxy._links import Rollback as Rollback
    from ferry_proxy._links import Run as Run
    from ferry_proxy._links import SetValue as SetValue
    from ferry_proxy._links import Status as Status
    from ferry_proxy._links import StepDown as StepDown
    from ferry_proxy._members import Member as Member
    from ferry_proxy._members import Report as Report
    from ferry_proxy._members import Role as Role
    from ferry_proxy._policy import Bounds as Bounds
    from ferry_proxy._policy import Policy as Policy
    from ferry_proxy._policy_file import (
        InvalidPolicyError as InvalidPolicyError,
    )
    from ferry_proxy._policy_file import policy_from_file as policy_from_file
    from ferry_proxy._proxy import Proxy as Proxy
    from ferry_proxy._readiness import lets_callers_go as lets_callers_go
    from ferry_proxy._records import MAX_INTEGER as MAX_INTEGER
    from ferry_proxy._records import MAX_PORT as MAX_PORT
    from ferry_proxy._records import Claim as Claim
    from ferry_proxy._records import InvalidItemError as InvalidItemError
    from ferry_proxy._records import NodeEntry as NodeEntry
    from ferry_proxy._records import is_finite_number as is_finite_number
    from ferry_proxy._records import is_text as is_text
    from ferry_proxy._records import json_object as json_object
    from ferry_proxy._sessions import Kind as Kind
    from ferry_proxy._sessions import Session as Session
    from ferry_proxy._statements import Prepared as Prepared
    from ferry_proxy._statements import Statement as Statement
    from ferry_proxy._statements import TransactionState as TransactionState
    from ferry_proxy._store import Changes as Changes
    from ferry_proxy._store import HistoryLostError as HistoryLostError
    from ferry_proxy._store import Item as Item
    from ferry_proxy._store import (
        PromotionRefusedError as PromotionRefusedError,
    )
    from ferry_proxy._store import (
        StoreUnavailableError as StoreUnavailableError,
    )
    from ferry_proxy._teams import Limit as Limit
    from ferry_proxy._teams import Team as Team
    from ferry_proxy._teams import Teams as Teams
    from ferry_proxy._teams import digest_of as digest_of

_NAMES = {
    "_caller_pace": ["CallerPace"],
    "_catalogue": ["Layout"],
    "_configuration": [
        "Configuration",
        "ConfigurationDraft",
        "Consistency",
        "Route",
        "Service",
    ],
    "_events": [
        "DependencyLost",
        "EventLog",
        "Ready",
        "SettingsReloaded",
        "WriteRejected",
        "emit",
        "start_log",
    ],
    "_identity": ["NodeIdentity", "Platform"],
    "_links": [
        "Begin",
        "Command",
        "ConnectFailedError",
        "Link",
        "LinkLostError",
        "Pause",
        "Prepare",
        "Reply",
        "Reset",
        "Resume",
        "Rollback",
        "Run",
        "SetValue",
        "Status",
        "StepDown",
    ],
    "_members": ["Member", "Report", "Role"],
    "_policy": ["Bounds", "Policy"],
    "_policy_file": ["InvalidPolicyError", "policy_from_file"],
    "_proxy": ["Proxy"],
    "_readiness": ["lets_callers_go"],
    "_records": [
        "Claim",
        "InvalidItemError",
        "MAX_INTEGER",
        "MAX_PORT",
        "NodeEntry",
        "is_finite_number",
        "is_text",
        "json_object",
    ],
    "_sessions": ["Kind", "Session"],
    "_statements": ["Prepared", "Statement", "TransactionState"],
    "_store": [
        "Changes",
        "HistoryLostError",
        "Item",
        "PromotionRefusedError",
        "StoreUnavailableError",
    ],
    "_teams": ["Limit", "Team", "Teams", "digest_of"],
}
__all__ = sorted(n for names in _NAMES.values() for n in names)

# Otherwise the type checker would accept any name.
if not typing.TYPE_CHECKING:
    __getattr__ = lazy.loader(__name__, _NAMES)
