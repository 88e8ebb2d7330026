"""Decisions of rosemaryferry: no sockets, no threads, no clock of its own.

A module is loaded when one of its names is first used: a node on the platform
needs a third of them, and starts sooner without the rest.
"""

import importlib
import typing

if typing.TYPE_CHECKING:
    from ferry_decisions._admission import ORDERS as ORDERS
    from ferry_decisions._admission import AdmissionQueue as AdmissionQueue
    from ferry_decisions._admission import Slot as Slot
    from ferry_decisions._blackboard import Blackboard as Blackboard
    from ferry_decisions._blackboard import Key as Key
    from ferry_decisions._blackboard import View as View
    from ferry_decisions._confirmations import (
        TermReplacedError as TermReplacedError,
    )
    from ferry_decisions._contracts import CONTRACT_PREFIX as CONTRACT_PREFIX
    from ferry_decisions._contracts import Contract as Contract
    from ferry_decisions._contracts import ContractBook as ContractBook
    from ferry_decisions._contracts import Login as Login
    from ferry_decisions._contracts import (
        UnknownCustomerError as UnknownCustomerError,
    )
    from ferry_decisions._contracts import (
        contract_from_json as contract_from_json,
    )
    from ferry_decisions._databases import TOPOLOGY_PREFIX as TOPOLOGY_PREFIX
    from ferry_decisions._databases import Database as Database
    from ferry_decisions._databases import Member as Member
    from ferry_decisions._databases import MemberStatus as MemberStatus
    from ferry_decisions._databases import Record as Record
    from ferry_decisions._databases import (
        database_from_json as database_from_json,
    )
    from ferry_decisions._databases import record_from_json as record_from_json
    from ferry_decisions._directory import Directory as Directory
    from ferry_decisions._directory import content_digest as content_digest
    from ferry_decisions._flows import Flow as Flow
    from ferry_decisions._flows import Future as Future
    from ferry_decisions._flows import Settled as Settled
    from ferry_decisions._flows import SharedRounds as SharedRounds
    from ferry_decisions._flows import (
        TimeoutExpiredError as TimeoutExpiredError,
    )
    from ferry_decisions._flows import completed as completed
    from ferry_decisions._flows import either as either
    from ferry_decisions._flows import failed as failed
    from ferry_decisions._flows import forward as forward
    from ferry_decisions._flows import reject as reject
    from ferry_decisions._flows import resolve as resolve
    from ferry_decisions._flows import settle_all as settle_all
    from ferry_decisions._flows import settled as settled
    from ferry_decisions._flows import sleep as sleep
    from ferry_decisions._flows import start as start
    from ferry_decisions._flows import within as within
    from ferry_decisions._hashing import rendezvous_score as rendezvous_score
    from ferry_decisions._membership import Membership as Membership
    from ferry_decisions._outcomes import ANSWER_LOST as ANSWER_LOST
    from ferry_decisions._outcomes import BEHIND as BEHIND
    from ferry_decisions._outcomes import BY_NAME as BY_NAME
    from ferry_decisions._outcomes import CANCELED as CANCELED
    from ferry_decisions._outcomes import DEADLINE_IN_QUEUE as DEADLINE_IN_QUEUE
    from ferry_decisions._outcomes import DUPLICATE_KEY as DUPLICATE_KEY
    from ferry_decisions._outcomes import (
        IN_FAILED_TRANSACTION as IN_FAILED_TRANSACTION,
    )
    from ferry_decisions._outcomes import INVALID_SETTING as INVALID_SETTING
    from ferry_decisions._outcomes import LOGIN_REFUSED as LOGIN_REFUSED
    from ferry_decisions._outcomes import MEMBER_BUSY as MEMBER_BUSY
    from ferry_decisions._outcomes import NO_CONNECTION as NO_CONNECTION
    from ferry_decisions._outcomes import NO_CONTRACT as NO_CONTRACT
    from ferry_decisions._outcomes import NO_PRIMARY as NO_PRIMARY
    from ferry_decisions._outcomes import NO_SERVING_NODE as NO_SERVING_NODE
    from ferry_decisions._outcomes import NOT_CONFIRMED as NOT_CONFIRMED
    from ferry_decisions._outcomes import NOT_PRIMARY as NOT_PRIMARY
    from ferry_decisions._outcomes import OVERLOADED as OVERLOADED
    from ferry_decisions._outcomes import (
        PROTOCOL_VIOLATION as PROTOCOL_VIOLATION,
    )
    from ferry_decisions._outcomes import READ_CUT as READ_CUT
    from ferry_decisions._outcomes import STATEMENT_FAILED as STATEMENT_FAILED
    from ferry_decisions._outcomes import STATEMENT_TIMEOUT as STATEMENT_TIMEOUT
    from ferry_decisions._outcomes import STOPPING as STOPPING
    from ferry_decisions._outcomes import TERM_CHANGED as TERM_CHANGED
    from ferry_decisions._outcomes import TOO_LARGE as TOO_LARGE
    from ferry_decisions._outcomes import (
        TOO_MANY_CONNECTIONS as TOO_MANY_CONNECTIONS,
    )
    from ferry_decisions._outcomes import TRANSACTION_LOST as TRANSACTION_LOST
    from ferry_decisions._outcomes import UNKNOWN_DATABASE as UNKNOWN_DATABASE
    from ferry_decisions._outcomes import UNKNOWN_PREPARED as UNKNOWN_PREPARED
    from ferry_decisions._outcomes import UNSUPPORTED as UNSUPPORTED
    from ferry_decisions._outcomes import WRONG_MEMBER as WRONG_MEMBER
    from ferry_decisions._outcomes import Outcome as Outcome
    from ferry_decisions._outcomes import Reason as Reason
    from ferry_decisions._outcomes import (
        RequestFailedError as RequestFailedError,
    )
    from ferry_decisions._placement import Node as Node
    from ferry_decisions._placement import ranked as ranked
    from ferry_decisions._placement import serving_node as serving_node
    from ferry_decisions._placement import store_readers as store_readers
    from ferry_decisions._ports import ClosableDriver as ClosableDriver
    from ferry_decisions._ports import (
        EndpointRefusedError as EndpointRefusedError,
    )
    from ferry_decisions._ports import (
        EndpointUnreachableError as EndpointUnreachableError,
    )
    from ferry_decisions._ports import PromoteOrder as PromoteOrder
    from ferry_decisions._ports import Store as Store
    from ferry_decisions._ports import StoreEntry as StoreEntry
    from ferry_decisions._ports import (
        StoreUnavailableError as StoreUnavailableError,
    )
    from ferry_decisions._ports import StoreWatch as StoreWatch
    from ferry_decisions._positions import ZERO as ZERO
    from ferry_decisions._positions import History as History
    from ferry_decisions._positions import (
        InvalidPositionError as InvalidPositionError,
    )
    from ferry_decisions._positions import Position as Position
    from ferry_decisions._positions import satisfies as satisfies
    from ferry_decisions._probing import Ack as Ack
    from ferry_decisions._probing import Health as Health
    from ferry_decisions._probing import IndirectProbe as IndirectProbe
    from ferry_decisions._probing import (
        MembershipSettings as MembershipSettings,
    )
    from ferry_decisions._probing import Probe as Probe
    from ferry_decisions._probing import ProbeMessage as ProbeMessage
    from ferry_decisions._probing import Update as Update
    from ferry_decisions._promotion import RECORD_PREFIX as RECORD_PREFIX
    from ferry_decisions._promotion import decode_record as decode_record
    from ferry_decisions._promotion import record_key as record_key
    from ferry_decisions._registry import Registry as Registry
    from ferry_decisions._replicas import Fitness as Fitness
    from ferry_decisions._replicas import ReplicaTracker as ReplicaTracker
    from ferry_decisions._retries import RetryBudget as RetryBudget
    from ferry_decisions._retries import backoff as backoff
    from ferry_decisions._routing import READ_POLICIES as READ_POLICIES
    from ferry_decisions._routing import ReadRequest as ReadRequest
    from ferry_decisions._session_floors import SessionFloors as SessionFloors
    from ferry_decisions._sessions import SessionState as SessionState
    from ferry_decisions._sessions import staleness_of as staleness_of
    from ferry_decisions._statements import SETTING_PREFIX as SETTING_PREFIX
    from ferry_decisions._statements import Kind as Kind
    from ferry_decisions._statements import Statement as Statement
    from ferry_decisions._statements import classify as classify
    from ferry_decisions._structuring import (
        InvalidDocumentError as InvalidDocumentError,
    )
    from ferry_decisions._structuring import structure as structure
    from ferry_decisions._structuring import unstructure as unstructure
    from ferry_decisions._timers import PeriodicTimer as PeriodicTimer
    from ferry_decisions._timers import Timer as Timer
    from ferry_decisions._timers import TimerService as TimerService
    from ferry_decisions._timers import VirtualTimers as VirtualTimers
    from ferry_decisions._watch import DatabaseWatch as DatabaseWatch
    from ferry_decisions._watch import WatchContext as WatchContext
    from ferry_decisions._watch import WatchSettings as WatchSettings

_MODULES = {
    "AdmissionQueue": "_admission",
    "ORDERS": "_admission",
    "Slot": "_admission",
    "Blackboard": "_blackboard",
    "Key": "_blackboard",
    "View": "_blackboard",
    "TermReplacedError": "_confirmations",
    "CONTRACT_PREFIX": "_contracts",
    "Contract": "_contracts",
    "ContractBook": "_contracts",
    "Login": "_contracts",
    "UnknownCustomerError": "_contracts",
    "contract_from_json": "_contracts",
    "Database": "_databases",
    "Member": "_databases",
    "MemberStatus": "_databases",
    "Record": "_databases",
    "TOPOLOGY_PREFIX": "_databases",
    "database_from_json": "_databases",
    "record_from_json": "_databases",
    "Directory": "_directory",
    "content_digest": "_directory",
    "Flow": "_flows",
    "Future": "_flows",
    "Settled": "_flows",
    "SharedRounds": "_flows",
    "TimeoutExpiredError": "_flows",
    "completed": "_flows",
    "either": "_flows",
    "failed": "_flows",
    "forward": "_flows",
    "reject": "_flows",
    "resolve": "_flows",
    "settle_all": "_flows",
    "settled": "_flows",
    "sleep": "_flows",
    "start": "_flows",
    "within": "_flows",
    "rendezvous_score": "_hashing",
    "Membership": "_membership",
    "ANSWER_LOST": "_outcomes",
    "BEHIND": "_outcomes",
    "BY_NAME": "_outcomes",
    "CANCELED": "_outcomes",
    "DEADLINE_IN_QUEUE": "_outcomes",
    "DUPLICATE_KEY": "_outcomes",
    "INVALID_SETTING": "_outcomes",
    "IN_FAILED_TRANSACTION": "_outcomes",
    "LOGIN_REFUSED": "_outcomes",
    "MEMBER_BUSY": "_outcomes",
    "NOT_CONFIRMED": "_outcomes",
    "NOT_PRIMARY": "_outcomes",
    "NO_CONNECTION": "_outcomes",
    "NO_CONTRACT": "_outcomes",
    "NO_PRIMARY": "_outcomes",
    "NO_SERVING_NODE": "_outcomes",
    "OVERLOADED": "_outcomes",
    "Outcome": "_outcomes",
    "PROTOCOL_VIOLATION": "_outcomes",
    "READ_CUT": "_outcomes",
    "Reason": "_outcomes",
    "RequestFailedError": "_outcomes",
    "STATEMENT_FAILED": "_outcomes",
    "STATEMENT_TIMEOUT": "_outcomes",
    "STOPPING": "_outcomes",
    "TERM_CHANGED": "_outcomes",
    "TOO_LARGE": "_outcomes",
    "TOO_MANY_CONNECTIONS": "_outcomes",
    "TRANSACTION_LOST": "_outcomes",
    "UNKNOWN_DATABASE": "_outcomes",
    "UNKNOWN_PREPARED": "_outcomes",
    "UNSUPPORTED": "_outcomes",
    "WRONG_MEMBER": "_outcomes",
    "Node": "_placement",
    "ranked": "_placement",
    "serving_node": "_placement",
    "store_readers": "_placement",
    "ClosableDriver": "_ports",
    "EndpointRefusedError": "_ports",
    "EndpointUnreachableError": "_ports",
    "PromoteOrder": "_ports",
    "Store": "_ports",
    "StoreEntry": "_ports",
    "StoreUnavailableError": "_ports",
    "StoreWatch": "_ports",
    "History": "_positions",
    "InvalidPositionError": "_positions",
    "Position": "_positions",
    "ZERO": "_positions",
    "satisfies": "_positions",
    "Ack": "_probing",
    "Health": "_probing",
    "IndirectProbe": "_probing",
    "MembershipSettings": "_probing",
    "Probe": "_probing",
    "ProbeMessage": "_probing",
    "Update": "_probing",
    "RECORD_PREFIX": "_promotion",
    "decode_record": "_promotion",
    "record_key": "_promotion",
    "Registry": "_registry",
    "Fitness": "_replicas",
    "ReplicaTracker": "_replicas",
    "RetryBudget": "_retries",
    "backoff": "_retries",
    "READ_POLICIES": "_routing",
    "ReadRequest": "_routing",
    "SessionFloors": "_session_floors",
    "SessionState": "_sessions",
    "staleness_of": "_sessions",
    "Kind": "_statements",
    "SETTING_PREFIX": "_statements",
    "Statement": "_statements",
    "classify": "_statements",
    "InvalidDocumentError": "_structuring",
    "structure": "_structuring",
    "unstructure": "_structuring",
    "PeriodicTimer": "_timers",
    "Timer": "_timers",
    "TimerService": "_timers",
    "VirtualTimers": "_timers",
    "DatabaseWatch": "_watch",
    "WatchContext": "_watch",
    "WatchSettings": "_watch",
}

__all__ = [
    "ANSWER_LOST",
    "Ack",
    "AdmissionQueue",
    "BEHIND",
    "BY_NAME",
    "Blackboard",
    "CANCELED",
    "CONTRACT_PREFIX",
    "ClosableDriver",
    "Contract",
    "ContractBook",
    "DEADLINE_IN_QUEUE",
    "DUPLICATE_KEY",
    "Database",
    "DatabaseWatch",
    "Directory",
    "EndpointRefusedError",
    "EndpointUnreachableError",
    "Fitness",
    "Flow",
    "Future",
    "Health",
    "History",
    "INVALID_SETTING",
    "IN_FAILED_TRANSACTION",
    "IndirectProbe",
    "InvalidDocumentError",
    "InvalidPositionError",
    "Key",
    "Kind",
    "LOGIN_REFUSED",
    "Login",
    "MEMBER_BUSY",
    "Member",
    "MemberStatus",
    "Membership",
    "MembershipSettings",
    "NOT_CONFIRMED",
    "NOT_PRIMARY",
    "NO_CONNECTION",
    "NO_CONTRACT",
    "NO_PRIMARY",
    "NO_SERVING_NODE",
    "Node",
    "ORDERS",
    "OVERLOADED",
    "Outcome",
    "PROTOCOL_VIOLATION",
    "PeriodicTimer",
    "Position",
    "Probe",
    "ProbeMessage",
    "PromoteOrder",
    "READ_CUT",
    "READ_POLICIES",
    "RECORD_PREFIX",
    "ReadRequest",
    "Reason",
    "Record",
    "Registry",
    "ReplicaTracker",
    "RequestFailedError",
    "RetryBudget",
    "SETTING_PREFIX",
    "STATEMENT_FAILED",
    "STATEMENT_TIMEOUT",
    "STOPPING",
    "SessionFloors",
    "SessionState",
    "Settled",
    "SharedRounds",
    "Slot",
    "Statement",
    "Store",
    "StoreEntry",
    "StoreUnavailableError",
    "StoreWatch",
    "TERM_CHANGED",
    "TOO_LARGE",
    "TOO_MANY_CONNECTIONS",
    "TOPOLOGY_PREFIX",
    "TRANSACTION_LOST",
    "TermReplacedError",
    "TimeoutExpiredError",
    "Timer",
    "TimerService",
    "UNKNOWN_DATABASE",
    "UNKNOWN_PREPARED",
    "UNSUPPORTED",
    "UnknownCustomerError",
    "Update",
    "View",
    "VirtualTimers",
    "WRONG_MEMBER",
    "WatchContext",
    "WatchSettings",
    "ZERO",
    "backoff",
    "classify",
    "completed",
    "content_digest",
    "contract_from_json",
    "database_from_json",
    "decode_record",
    "either",
    "failed",
    "forward",
    "ranked",
    "record_from_json",
    "record_key",
    "reject",
    "rendezvous_score",
    "resolve",
    "satisfies",
    "serving_node",
    "settle_all",
    "settled",
    "sleep",
    "staleness_of",
    "start",
    "store_readers",
    "structure",
    "unstructure",
    "within",
]

if not typing.TYPE_CHECKING:  # Else any name would pass the type checker.

    def __getattr__(name: str) -> typing.Any:
        """Loads the module of a public name when it is first used."""
        if name not in _MODULES:
            raise AttributeError(f"{__name__} has no {name}")
        module = importlib.import_module(f"{__name__}.{_MODULES[name]}")
        value = globals()[name] = getattr(module, name)
        return value
