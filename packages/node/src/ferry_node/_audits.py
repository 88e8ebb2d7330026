"""Audit records of contract changes, kept in the store beside contracts."""

import json

import attrs
import ferry_decisions as decisions

AUDIT_PREFIX = "audit/"


@attrs.frozen(slots=True)
class AuditRecord:
    """An audit record in its stored form.

    Attributes:
        key: The store key. It sorts by customer and then by version.
        value: The contract as JSON, without password verifiers.
    """

    key: str
    value: bytes


def audit_prefix(customer: str) -> str:
    """Returns the common prefix of the keys of a customer's records."""
    return f"{AUDIT_PREFIX}{customer}/"


def audit_record(contract: decisions.Contract) -> AuditRecord:
    """Returns the audit record of one contract version."""
    fields = decisions.unstructure(contract)
    fields["logins"] = [login.name for login in contract.logins]
    key = f"{audit_prefix(contract.customer)}{contract.version:08d}"
    return AuditRecord(key, json.dumps(fields).encode())
