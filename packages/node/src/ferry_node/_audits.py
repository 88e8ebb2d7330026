"""Audit records: who changed which contract, kept beside it in the store."""

import json

import attrs
import ferry_decisions as decisions

AUDIT_PREFIX = "audit/"


@attrs.frozen(slots=True)
class AuditRecord:
    """A record as the store keeps it.

    Attributes:
        key: Its key; records of a customer stand together, by version.
        value: The contract without what checks passwords, as JSON.
    """

    key: str
    value: bytes


def prefix_of(customer: str) -> str:
    """Returns what the keys of a customer's records begin with."""
    return f"{AUDIT_PREFIX}{customer}/"


def record_of(contract: decisions.Contract) -> AuditRecord:
    """Returns the record of a version of a contract."""
    shown = decisions.unstructure(contract)
    shown["logins"] = [login.name for login in contract.logins]
    key = f"{prefix_of(contract.customer)}{contract.version:08d}"
    return AuditRecord(key, json.dumps(shown).encode())
