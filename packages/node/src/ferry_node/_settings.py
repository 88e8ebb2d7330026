"""The settings file of a node: JSON with comments, checked as a whole."""

import ipaddress
import pathlib
import re
import typing

import attrs
import ferry_decisions as decisions
import json5

_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")


class SettingsUnreadableError(Exception):
    """The settings file cannot be read, or is not JSON with comments."""


def _check_ip(_: object, field: "attrs.Attribute[str]", value: str) -> None:
    try:
        ipaddress.IPv4Address(value)
    except ValueError as exc:
        raise ValueError(f"{field.name} must be an IPv4 number") from exc


def _check_name(_: object, field: "attrs.Attribute[str]", value: str) -> None:
    if not _NAME.fullmatch(value):
        raise ValueError(f"{field.name} must match {_NAME.pattern}")


def _check_port(_: object, field: "attrs.Attribute[int]", value: int) -> None:
    if not 0 <= value <= 65_535:
        raise ValueError(f"{field.name} must be a port, or 0 for any")


def _check_positive(
    _: object, field: "attrs.Attribute[typing.Any]", value: float
) -> None:
    if value <= 0:
        raise ValueError(f"{field.name} must be greater than 0")


def _check_policy(_: object, field: "attrs.Attribute[str]", value: str) -> None:
    names = {
        "read_policy": decisions.READ_POLICIES.names(),
        "admission": decisions.ADMISSION_POLICIES.names(),
    }[field.name]
    if value not in names:
        raise ValueError(f"{field.name} must be one of {names}")


@attrs.frozen(slots=True)
class CallerSettings:
    """The port that callers connect to.

    Attributes:
        host: The IP number to listen on.
        port: The TCP port; 0 for any.
        tls_certificate: Path of a PEM certificate; empty for no TLS.
        tls_key: Path of its PEM key.
        require_tls: Whether callers without TLS are refused.
        max_connections: Connections that this node accepts at once.
    """

    host: str = attrs.field(default="127.0.0.1", validator=_check_ip)
    port: int = attrs.field(default=0, validator=_check_port)
    tls_certificate: str = ""
    tls_key: str = ""
    require_tls: bool = False
    max_connections: int = attrs.field(
        default=12_000, validator=_check_positive
    )


@attrs.frozen(slots=True)
class EndpointSettings:
    """How endpoints are reached.

    Attributes:
        driver: The registered driver.
        user: The login at endpoints.
        connect_timeout_s: Time for a new connection, in seconds.
        validate_after_s: An idle connection older than this is tried before
            a statement is handed to it, in seconds.
        idle_keep_s: How long an idle connection is kept, in seconds.
    """

    driver: str = "standin"
    user: str = "rosemaryferry"
    connect_timeout_s: float = attrs.field(
        default=0.5, validator=_check_positive
    )
    validate_after_s: float = attrs.field(
        default=1.0, validator=_check_positive
    )
    idle_keep_s: float = attrs.field(default=60.0, validator=_check_positive)


@attrs.frozen(slots=True)
class PolicySettings:
    """Choices that may vary between fleets.

    Attributes:
        read_policy: The registered policy that orders members for a read.
        admission: The registered order of the slot queues.
        probe_s: Period of the status probes of members, in seconds.
        probe_timeout_s: Time for one probe's answer, in seconds.
        silence_s: Silence after which a primary is suspected, in seconds.
        refused_s: Refusal after which a primary is suspected, in seconds.
        hold_s: Silence of a primary after which no new statement is handed to
            it, in seconds.
        catch_up_s: Longest wait for a replica to reach a floor, in seconds.
        request_timeout_s: Time that a statement may take by default, seconds.
        transaction_idle_s: Time that an open transaction may be idle, seconds.
        stop_s: Time for what is in flight at a planned stop, in seconds.
        leaving_s: Period at which the list of VMs is read, in seconds.
    """

    read_policy: str = attrs.field(
        default="replica_first", validator=_check_policy
    )
    admission: str = attrs.field(default="fair", validator=_check_policy)
    probe_s: float = attrs.field(default=0.2, validator=_check_positive)
    probe_timeout_s: float = attrs.field(default=0.3, validator=_check_positive)
    silence_s: float = attrs.field(default=1.15, validator=_check_positive)
    refused_s: float = attrs.field(default=0.3, validator=_check_positive)
    hold_s: float = attrs.field(default=0.45, validator=_check_positive)
    catch_up_s: float = attrs.field(default=0.02, validator=_check_positive)
    request_timeout_s: float = attrs.field(
        default=10.0, validator=_check_positive
    )

    @silence_s.validator
    def _check_silence(self, _: object, value: float) -> None:
        if value <= self.probe_s:
            raise ValueError("silence_s must be greater than probe_s")

    transaction_idle_s: float = attrs.field(
        default=30.0, validator=_check_positive
    )
    stop_s: float = attrs.field(default=20.0, validator=_check_positive)
    leaving_s: float = attrs.field(default=1.0, validator=_check_positive)


@attrs.frozen(slots=True)
class Settings:
    """All settings of a node.

    Attributes:
        node: The name of the node, unique and new with each replacement.
        data_centre: Where it runs.
        host: The IP number that other nodes reach it at.
        peer_port: TCP port of peer streams; 0 for any.
        probe_port: UDP port of membership probes; 0 for any.
        admin_port: TCP port of the administration API; 0 for any.
        admin_token: The secret that operators send; empty closes the API to
            changes.
        store_url: Base URL of the platform's key-value service.
        vm_list_url: URL of the platform's list of VMs.
        store_readers: Nodes of each data centre that ask the store.
        callers: The callers' port.
        endpoints: How endpoints are reached.
        policy: Choices that may vary.
        tracing: Whether spans are recorded.
        log_dir: Where logs go; empty for standard error.
    """

    node: str = attrs.field(validator=_check_name)
    data_centre: str = attrs.field(validator=_check_name)
    host: str = attrs.field(validator=_check_ip)
    store_url: str
    vm_list_url: str
    peer_port: int = attrs.field(default=0, validator=_check_port)
    probe_port: int = attrs.field(default=0, validator=_check_port)
    admin_port: int = attrs.field(default=0, validator=_check_port)
    admin_token: str = attrs.field(default="", repr=False)
    store_readers: int = attrs.field(default=2, validator=_check_positive)
    callers: CallerSettings = CallerSettings()
    endpoints: EndpointSettings = EndpointSettings()
    policy: PolicySettings = PolicySettings()
    tracing: bool = False
    log_dir: str = ""


def settings_from_text(text: str) -> Settings:
    """Returns the settings in a JSON text with comments.

    Raises:
        SettingsUnreadableError: The text is not JSON with comments.
        InvalidDocumentError: With every mistake, each with its path.
    """
    try:
        raw = json5.loads(text)
    except (ValueError, RecursionError) as exc:
        raise SettingsUnreadableError(str(exc)) from exc
    return decisions.structure(raw, Settings, "settings")


def settings_from_file(path: str) -> Settings:
    """Returns the settings in a file.

    Raises:
        SettingsUnreadableError: The file cannot be read.
        InvalidDocumentError: With every mistake, each with its path.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsUnreadableError(str(exc)) from exc
    return settings_from_text(text)
