"""The proxy, whatever the protocol: sessions, routing, pools, promotion."""

import importlib
import typing

if typing.TYPE_CHECKING:
    from ferry_proxy._catalogue import Layout as Layout
    from ferry_proxy._configuration import Configuration as Configuration
    from ferry_proxy._configuration import Consistency as Consistency
    from ferry_proxy._configuration import Route as Route
    from ferry_proxy._configuration import Service as Service
    from ferry_proxy._events import DependencyLost as DependencyLost
    from ferry_proxy._events import EventLog as EventLog
    from ferry_proxy._events import Ready as Ready
    from ferry_proxy._events import SettingsReloaded as SettingsReloaded
    from ferry_proxy._events import emit as emit
    from ferry_proxy._events import start_log as start_log
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
    from ferry_proxy._proxy import NodeIdentity as NodeIdentity
    from ferry_proxy._proxy import Platform as Platform
    from ferry_proxy._proxy import Proxy as Proxy
    from ferry_proxy._records import Claim as Claim
    from ferry_proxy._records import InvalidItemError as InvalidItemError
    from ferry_proxy._records import NodeEntry as NodeEntry
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

_MODULES = {
    "Layout": "_catalogue",
    "Configuration": "_configuration",
    "Consistency": "_configuration",
    "Route": "_configuration",
    "Service": "_configuration",
    "DependencyLost": "_events",
    "EventLog": "_events",
    "Ready": "_events",
    "SettingsReloaded": "_events",
    "emit": "_events",
    "start_log": "_events",
    "Begin": "_links",
    "Command": "_links",
    "ConnectFailedError": "_links",
    "Link": "_links",
    "LinkLostError": "_links",
    "Pause": "_links",
    "Prepare": "_links",
    "Reply": "_links",
    "Reset": "_links",
    "Resume": "_links",
    "Rollback": "_links",
    "Run": "_links",
    "SetValue": "_links",
    "Status": "_links",
    "StepDown": "_links",
    "Member": "_members",
    "Report": "_members",
    "Role": "_members",
    "Bounds": "_policy",
    "Policy": "_policy",
    "InvalidPolicyError": "_policy_file",
    "policy_from_file": "_policy_file",
    "NodeIdentity": "_proxy",
    "Platform": "_proxy",
    "Proxy": "_proxy",
    "Claim": "_records",
    "InvalidItemError": "_records",
    "NodeEntry": "_records",
    "Kind": "_sessions",
    "Session": "_sessions",
    "Prepared": "_statements",
    "Statement": "_statements",
    "TransactionState": "_statements",
    "Changes": "_store",
    "HistoryLostError": "_store",
    "Item": "_store",
    "PromotionRefusedError": "_store",
    "StoreUnavailableError": "_store",
}

__all__ = [
    "Begin",
    "Bounds",
    "Changes",
    "Claim",
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
    "NodeEntry",
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

if not typing.TYPE_CHECKING:  # Else any name would pass the type checker.

    def __getattr__(name: str) -> typing.Any:
        """Loads the module of a public name when it is first used."""
        if name not in _MODULES:
            raise AttributeError(f"{__name__} has no {name}")
        module = importlib.import_module(f"{__name__}.{_MODULES[name]}")
        value = globals()[name] = getattr(module, name)
        return value
