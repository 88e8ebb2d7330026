"""Parsing and validation of a node's settings file.

The format is JSON with comments. The file is validated as a whole, so that
every mistake in it is reported at once.
"""

import ipaddress
import pathlib
import re
import typing

import attrs
import ferry_decisions as decisions
import json5

_NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")


class SettingsUnreadableError(Exception):
    """The settings file cannot be read or is not JSON with comments."""


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
    """The listening port for callers.

    Attributes:
        host: The IPv4 address to listen on.
        port: The TCP port; 0 for any free one.
        tls_certificate: The path of a PEM certificate; empty to disable TLS.
        tls_key: The path of the certificate's PEM key.
        require_tls: Whether callers without TLS are rejected.
        max_connections: The maximum number of concurrent connections.
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
    """How the node connects to endpoints.

    Attributes:
        driver: The name of the registered driver.
        user: The user name for logging in at endpoints.
        connect_timeout_s: The timeout for a new connection, in seconds.
        validate_after_s: The idle time after which a connection is validated
            before it is given a statement, in seconds.
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
    """Policies and timings that may differ between deployments.

    Attributes:
        read_policy: The name of the policy that orders members for a read.
        admission: The name of the policy that orders the slot queues.
        probe_s: The interval of the status probes of members, in seconds.
        probe_timeout_s: The timeout of one status probe, in seconds.
        silence_s: How long a primary may be silent before it is suspected, in
            seconds.
        refused_s: How long a primary may refuse connections before it is
            suspected, in seconds.
        hold_s: How long a primary may be silent before new statements are
            held back from it, in seconds.
        catch_up_s: The maximum wait for a replica to reach a floor, in
            seconds.
        request_timeout_s: The default timeout of a statement, in seconds.
        transaction_idle_s: The maximum idle time of an open transaction, in
            seconds.
        stop_s: The time for work in progress to complete at a planned stop,
            in seconds.
        leaving_s: The interval at which the VM list is read, in seconds.
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
        node: The unique name of the node; a replacement gets a new name.
        data_centre: The data centre that the node runs in.
        host: The IPv4 address at which other nodes reach the node.
        peer_port: The TCP port for peer streams; 0 for any free one.
        probe_port: The UDP port for membership probes; 0 for any free one.
        admin_port: The TCP port of the administration API; 0 for any free
            one.
        admin_token: The secret that authorizes changes by operators; if it is
            empty, the API accepts no changes.
        store_url: The base URL of the platform's key-value service.
        vm_list_url: The URL of the platform's list of VMs.
        store_readers: The number of nodes per data centre that read the
            store.
        callers: The listening port for callers.
        endpoints: How the node connects to endpoints.
        policy: Policies and timings.
        tracing: Whether spans are recorded.
        log_dir: The directory for log files; empty for standard error.
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
    """Parses settings from a JSON text with comments.

    Raises:
        SettingsUnreadableError: The text is not JSON with comments.
        InvalidDocumentError: The settings are invalid. The error holds every
            mistake with its path.
    """
    try:
        raw = json5.loads(text)
    except (ValueError, RecursionError) as exc:
        raise SettingsUnreadableError(str(exc)) from exc
    return decisions.structure(raw, Settings, "settings")


def settings_from_file(path: str) -> Settings:
    """Reads settings from a file.

    Raises:
        SettingsUnreadableError: The file cannot be read or is not JSON with
            comments.
        InvalidDocumentError: The settings are invalid. The error holds every
            mistake with its path.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsUnreadableError(str(exc)) from exc
    return settings_from_text(text)
