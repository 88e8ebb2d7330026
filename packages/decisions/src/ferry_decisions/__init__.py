"""Decision logic of rosemaryferry, without sockets, threads or a clock.

Each module is loaded on first use of one of its names: a node on the platform
needs a third of the modules and starts faster without the others.
"""

import typing

from ferry_decisions import lazy

if typing.TYPE_CHECKING:
    from ferry_decisions._admission import (
        ADMISSION_POLICIES as ADMISSION_POLICIES,
    )
    from ferry_decisions._admission import AdmissionQueue as AdmissionQueue
    from ferry_decisions._admission import Slot as Slot
    from ferry_decisions._blackboard import Blackboard as Blackboard
    from ferry_decisions._blackboard import BoardKey as BoardKey
    from ferry_decisions._blackboard import BoardView as BoardView
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
    from ferry_decisions._fair_shares import Account as Account
    from ferry_decisions._fair_shares import FairShares as FairShares
    from ferry_decisions._flows import Flow as Flow
    from ferry_decisions._flows import Future as Future
    from ferry_decisions._flows import Settled as Settled
    from ferry_decisions._flows import SharedRounds as SharedRounds
    from ferry_decisions._flows import (
        TimeoutExpiredError as TimeoutExpiredError,
    )
    from ferry_decisions._flows import completed as completed
    from ferry_decisions._flows import failed as failed
    from ferry_decisions._flows import first_completed as first_completed
    from ferry_decisions._flows import forward as forward
    from ferry_decisions._flows import reject as reject
    from ferry_decisions._flows import resolve as resolve
    from ferry_decisions._flows import settle_all as settle_all
    from ferry_decisions._flows import settled as settled
    from ferry_decisions._flows import sleep as sleep
    from ferry_decisions._flows import start as start
    from ferry_decisions._flows import with_timeout as with_timeout
    from ferry_decisions._hashing import rendezvous_score as rendezvous_score
    from ferry_decisions._hashing import stagger_fraction as stagger_fraction
    from ferry_decisions._load import Demand as Demand
    from ferry_decisions._load import WorkKey as WorkKey
    from ferry_decisions._logs import log_debug as log_debug
    from ferry_decisions._logs import log_exception as log_exception
    from ferry_decisions._logs import log_failure as log_failure
    from ferry_decisions._logs import log_warning as log_warning
    from ferry_decisions._membership import Membership as Membership
    from ferry_decisions._outcomes import ANSWER_LOST as ANSWER_LOST
    from ferry_decisions._outcomes import BEHIND as BEHIND
    from ferry_decisions._outcomes import CANCELED as CANCELED
    from ferry_decisions._outcomes import DEADLINE_IN_QUEUE as DEADLINE_IN_QUEUE
    from ferry_decisions._outcomes import DUPLICATE_KEY as DUPLICATE_KEY
    from ferry_decisions._outcomes import (
        IN_FAILED_TRANSACTION as IN_FAILED_TRANSACTION,
    )
    from ferry_decisions._outcomes import INTERNAL_FAILURE as INTERNAL_FAILURE
    from ferry_decisions._outcomes import INVALID_SETTING as INVALID_SETTING
    from ferry_decisions._outcomes import LOGIN_REFUSED as LOGIN_REFUSED
    from ferry_decisions._outcomes import MEMBER_BUSY as MEMBER_BUSY
    from ferry_decisions._outcomes import NO_CONNECTION as NO_CONNECTION
    from ferry_decisions._outcomes import NO_CONTRACT as NO_CONTRACT
    from ferry_decisions._outcomes import NO_PRIMARY as NO_PRIMARY
    from ferry_decisions._outcomes import NO_SERVING_NODE as NO_SERVING_NODE
    from ferry_decisions._outcomes import NOT_CONFIRMED as NOT_CONFIRMED
    from ferry_decisions._outcomes import NOT_PRIMARY as NOT_PRIMARY
    from ferry_decisions._outcomes import OUTDATED as OUTDATED
    from ferry_decisions._outcomes import OVER_LIMIT as OVER_LIMIT
    from ferry_decisions._outcomes import OVERLOADED as OVERLOADED
    from ferry_decisions._outcomes import (
        PROTOCOL_VIOLATION as PROTOCOL_VIOLATION,
    )
    from ferry_decisions._outcomes import READ_CUT as READ_CUT
    from ferry_decisions._outcomes import REASONS_BY_NAME as REASONS_BY_NAME
    from ferry_decisions._outcomes import (
        SESSION_STATE_LOST as SESSION_STATE_LOST,
    )
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
    from ferry_decisions._positions import ZERO_POSITION as ZERO_POSITION
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
    from ferry_decisions._replicas import Eligibility as Eligibility
    from ferry_decisions._replicas import ReplicaTracker as ReplicaTracker
    from ferry_decisions._retries import RetryBudget as RetryBudget
    from ferry_decisions._retries import backoff as backoff
    from ferry_decisions._retry_advice import (
        MIN_RETRY_DELAY_S as MIN_RETRY_DELAY_S,
    )
    from ferry_decisions._retry_advice import Advice as Advice
    from ferry_decisions._retry_advice import DrainRate as DrainRate
    from ferry_decisions._retry_advice import Refusal as Refusal
    from ferry_decisions._retry_advice import ReturnSchedule as ReturnSchedule
    from ferry_decisions._retry_advice import spread_delay_s as spread_delay_s
    from ferry_decisions._retry_advice import usable_delay_s as usable_delay_s
    from ferry_decisions._revisions import UNREAD_REVISION as UNREAD_REVISION
    from ferry_decisions._revisions import Revision as Revision
    from ferry_decisions._routing import READ_POLICIES as READ_POLICIES
    from ferry_decisions._routing import ReadRequest as ReadRequest
    from ferry_decisions._service_times import Pace as Pace
    from ferry_decisions._service_times import ServiceTimes as ServiceTimes
    from ferry_decisions._service_times import TimeHistogram as TimeHistogram
    from ferry_decisions._session_floors import SessionFloors as SessionFloors
    from ferry_decisions._sessions import SessionState as SessionState
    from ferry_decisions._sessions import parse_staleness as parse_staleness
    from ferry_decisions._statements import SETTING_PREFIX as SETTING_PREFIX
    from ferry_decisions._statements import Statement as Statement
    from ferry_decisions._statements import StatementKind as StatementKind
    from ferry_decisions._statements import classify as classify
    from ferry_decisions._structuring import (
        InvalidDocumentError as InvalidDocumentError,
    )
    from ferry_decisions._structuring import structure as structure
    from ferry_decisions._structuring import unstructure as unstructure
    from ferry_decisions._supervision import Supervisor as Supervisor
    from ferry_decisions._supervision import start_detached as start_detached
    from ferry_decisions._timers import PeriodicTimer as PeriodicTimer
    from ferry_decisions._timers import Ticker as Ticker
    from ferry_decisions._timers import Timer as Timer
    from ferry_decisions._timers import TimerService as TimerService
    from ferry_decisions._timers import VirtualTimers as VirtualTimers
    from ferry_decisions._versions import Rank as Rank
    from ferry_decisions._versions import Version as Version
    from ferry_decisions._versions import lost_entries as lost_entries
    from ferry_decisions._versions import newest as newest
    from ferry_decisions._watch import DatabaseWatch as DatabaseWatch
    from ferry_decisions._watch import WatchContext as WatchContext
    from ferry_decisions._watch import WatchSettings as WatchSettings

_NAMES = {
    "_admission": ["ADMISSION_POLICIES", "AdmissionQueue", "Slot"],
    "_blackboard": ["Blackboard", "BoardKey", "BoardView"],
    "_confirmations": ["TermReplacedError"],
    "_contracts": [
        "CONTRACT_PREFIX",
        "Contract",
        "ContractBook",
        "Login",
        "UnknownCustomerError",
        "contract_from_json",
    ],
    "_databases": [
        "Database",
        "Member",
        "MemberStatus",
        "Record",
        "TOPOLOGY_PREFIX",
        "database_from_json",
        "record_from_json",
    ],
    "_directory": ["Directory", "content_digest"],
    "_fair_shares": ["Account", "FairShares"],
    "_flows": [
        "Flow",
        "Future",
        "Settled",
        "SharedRounds",
        "TimeoutExpiredError",
        "completed",
        "failed",
        "first_completed",
        "forward",
        "reject",
        "resolve",
        "settle_all",
        "settled",
        "sleep",
        "start",
        "with_timeout",
    ],
    "_hashing": ["rendezvous_score", "stagger_fraction"],
    "_load": ["Demand", "WorkKey"],
    "_logs": ["log_debug", "log_exception", "log_failure", "log_warning"],
    "_membership": ["Membership"],
    "_outcomes": [
        "ANSWER_LOST",
        "BEHIND",
        "CANCELED",
        "DEADLINE_IN_QUEUE",
        "DUPLICATE_KEY",
        "INTERNAL_FAILURE",
        "INVALID_SETTING",
        "IN_FAILED_TRANSACTION",
        "LOGIN_REFUSED",
        "MEMBER_BUSY",
        "NOT_CONFIRMED",
        "NOT_PRIMARY",
        "NO_CONNECTION",
        "NO_CONTRACT",
        "NO_PRIMARY",
        "NO_SERVING_NODE",
        "OUTDATED",
        "OVERLOADED",
        "OVER_LIMIT",
        "Outcome",
        "PROTOCOL_VIOLATION",
        "READ_CUT",
        "REASONS_BY_NAME",
        "Reason",
        "RequestFailedError",
        "SESSION_STATE_LOST",
        "STATEMENT_FAILED",
        "STATEMENT_TIMEOUT",
        "STOPPING",
        "TERM_CHANGED",
        "TOO_LARGE",
        "TOO_MANY_CONNECTIONS",
        "TRANSACTION_LOST",
        "UNKNOWN_DATABASE",
        "UNKNOWN_PREPARED",
        "UNSUPPORTED",
        "WRONG_MEMBER",
    ],
    "_placement": ["Node", "ranked", "serving_node", "store_readers"],
    "_ports": [
        "ClosableDriver",
        "EndpointRefusedError",
        "EndpointUnreachableError",
        "PromoteOrder",
        "Store",
        "StoreEntry",
        "StoreUnavailableError",
        "StoreWatch",
    ],
    "_positions": [
        "History",
        "InvalidPositionError",
        "Position",
        "ZERO_POSITION",
        "satisfies",
    ],
    "_probing": [
        "Ack",
        "Health",
        "IndirectProbe",
        "MembershipSettings",
        "Probe",
        "ProbeMessage",
        "Update",
    ],
    "_promotion": ["RECORD_PREFIX", "decode_record", "record_key"],
    "_registry": ["Registry"],
    "_replicas": ["Eligibility", "ReplicaTracker"],
    "_retries": ["RetryBudget", "backoff"],
    "_retry_advice": [
        "Advice",
        "DrainRate",
        "MIN_RETRY_DELAY_S",
        "Refusal",
        "ReturnSchedule",
        "spread_delay_s",
        "usable_delay_s",
    ],
    "_revisions": ["Revision", "UNREAD_REVISION"],
    "_routing": ["READ_POLICIES", "ReadRequest"],
    "_service_times": ["Pace", "ServiceTimes", "TimeHistogram"],
    "_session_floors": ["SessionFloors"],
    "_sessions": ["SessionState", "parse_staleness"],
    "_statements": ["SETTING_PREFIX", "Statement", "StatementKind", "classify"],
    "_structuring": ["InvalidDocumentError", "structure", "unstructure"],
    "_supervision": ["Supervisor", "start_detached"],
    "_timers": [
        "PeriodicTimer",
        "Ticker",
        "Timer",
        "TimerService",
        "VirtualTimers",
    ],
    "_versions": ["Rank", "Version", "lost_entries", "newest"],
    "_watch": ["DatabaseWatch", "WatchContext", "WatchSettings"],
}
__all__ = sorted(n for names in _NAMES.values() for n in names)

# Otherwise the type checker would accept any name.
if not typing.TYPE_CHECKING:
    __getattr__ = lazy.loader(__name__, _NAMES)
