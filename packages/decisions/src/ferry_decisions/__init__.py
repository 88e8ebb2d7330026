"""Decisions of rosemaryferry: no sockets, no threads, no clock of its own."""

from ferry_decisions._admission import ORDERS
from ferry_decisions._admission import AdmissionQueue
from ferry_decisions._admission import Slot
from ferry_decisions._blackboard import Blackboard
from ferry_decisions._blackboard import Key
from ferry_decisions._blackboard import View
from ferry_decisions._confirmations import TermReplacedError
from ferry_decisions._contracts import CONTRACT_PREFIX
from ferry_decisions._contracts import Contract
from ferry_decisions._contracts import ContractBook
from ferry_decisions._contracts import Login
from ferry_decisions._contracts import UnknownCustomerError
from ferry_decisions._contracts import contract_from_json
from ferry_decisions._databases import TOPOLOGY_PREFIX
from ferry_decisions._databases import Database
from ferry_decisions._databases import Member
from ferry_decisions._databases import MemberStatus
from ferry_decisions._databases import Record
from ferry_decisions._databases import database_from_json
from ferry_decisions._databases import record_from_json
from ferry_decisions._directory import Directory
from ferry_decisions._directory import content_digest
from ferry_decisions._flows import Flow
from ferry_decisions._flows import Future
from ferry_decisions._flows import Settled
from ferry_decisions._flows import SharedRounds
from ferry_decisions._flows import TimeoutExpiredError
from ferry_decisions._flows import completed
from ferry_decisions._flows import either
from ferry_decisions._flows import failed
from ferry_decisions._flows import forward
from ferry_decisions._flows import reject
from ferry_decisions._flows import resolve
from ferry_decisions._flows import settle_all
from ferry_decisions._flows import settled
from ferry_decisions._flows import sleep
from ferry_decisions._flows import start
from ferry_decisions._flows import within
from ferry_decisions._membership import Membership
from ferry_decisions._outcomes import ANSWER_LOST
from ferry_decisions._outcomes import BEHIND
from ferry_decisions._outcomes import BY_NAME
from ferry_decisions._outcomes import CANCELED
from ferry_decisions._outcomes import DEADLINE_IN_QUEUE
from ferry_decisions._outcomes import DUPLICATE_KEY
from ferry_decisions._outcomes import IN_FAILED_TRANSACTION
from ferry_decisions._outcomes import INVALID_SETTING
from ferry_decisions._outcomes import LOGIN_REFUSED
from ferry_decisions._outcomes import MEMBER_BUSY
from ferry_decisions._outcomes import NO_CONNECTION
from ferry_decisions._outcomes import NO_CONTRACT
from ferry_decisions._outcomes import NO_PRIMARY
from ferry_decisions._outcomes import NO_SERVING_NODE
from ferry_decisions._outcomes import NOT_CONFIRMED
from ferry_decisions._outcomes import NOT_PRIMARY
from ferry_decisions._outcomes import OVERLOADED
from ferry_decisions._outcomes import PROTOCOL_VIOLATION
from ferry_decisions._outcomes import READ_CUT
from ferry_decisions._outcomes import STATEMENT_FAILED
from ferry_decisions._outcomes import STATEMENT_TIMEOUT
from ferry_decisions._outcomes import STOPPING
from ferry_decisions._outcomes import TERM_CHANGED
from ferry_decisions._outcomes import TOO_LARGE
from ferry_decisions._outcomes import TOO_MANY_CONNECTIONS
from ferry_decisions._outcomes import TRANSACTION_LOST
from ferry_decisions._outcomes import UNKNOWN_DATABASE
from ferry_decisions._outcomes import UNKNOWN_PREPARED
from ferry_decisions._outcomes import UNSUPPORTED
from ferry_decisions._outcomes import WRONG_MEMBER
from ferry_decisions._outcomes import Outcome
from ferry_decisions._outcomes import Reason
from ferry_decisions._outcomes import RequestFailedError
from ferry_decisions._placement import Node
from ferry_decisions._placement import ranked
from ferry_decisions._placement import rendezvous_score
from ferry_decisions._placement import serving_node
from ferry_decisions._placement import store_readers
from ferry_decisions._ports import ClosableDriver
from ferry_decisions._ports import EndpointRefusedError
from ferry_decisions._ports import EndpointUnreachableError
from ferry_decisions._ports import PromoteOrder
from ferry_decisions._ports import Store
from ferry_decisions._ports import StoreEntry
from ferry_decisions._ports import StoreUnavailableError
from ferry_decisions._ports import StoreWatch
from ferry_decisions._positions import ZERO
from ferry_decisions._positions import History
from ferry_decisions._positions import InvalidPositionError
from ferry_decisions._positions import Position
from ferry_decisions._positions import satisfies
from ferry_decisions._probing import Ack
from ferry_decisions._probing import Health
from ferry_decisions._probing import IndirectProbe
from ferry_decisions._probing import MembershipSettings
from ferry_decisions._probing import Probe
from ferry_decisions._probing import ProbeMessage
from ferry_decisions._probing import Update
from ferry_decisions._promotion import RECORD_PREFIX
from ferry_decisions._promotion import decode_record
from ferry_decisions._promotion import record_key
from ferry_decisions._registry import Registry
from ferry_decisions._replicas import Fitness
from ferry_decisions._replicas import ReplicaTracker
from ferry_decisions._retries import RetryBudget
from ferry_decisions._retries import backoff
from ferry_decisions._routing import READ_POLICIES
from ferry_decisions._routing import ReadRequest
from ferry_decisions._session_floors import SessionFloors
from ferry_decisions._sessions import SessionState
from ferry_decisions._sessions import staleness_of
from ferry_decisions._statements import SETTING_PREFIX
from ferry_decisions._statements import Kind
from ferry_decisions._statements import Statement
from ferry_decisions._statements import classify
from ferry_decisions._structuring import InvalidDocumentError
from ferry_decisions._structuring import structure
from ferry_decisions._structuring import unstructure
from ferry_decisions._timers import PeriodicTimer
from ferry_decisions._timers import Timer
from ferry_decisions._timers import TimerService
from ferry_decisions._timers import VirtualTimers
from ferry_decisions._watch import DatabaseWatch
from ferry_decisions._watch import WatchContext
from ferry_decisions._watch import WatchSettings

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
