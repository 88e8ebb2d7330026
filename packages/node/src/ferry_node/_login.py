"""The login of one caller, from its startup message to its identity."""

from collections.abc import Callable

from absl import logging
import attrs
import ferry_decisions as decisions

from ferry_node import _auth
from ferry_node import _settings
from ferry_node import _wire

# Parameters that are reported to each caller after its login.
PARAMETERS = {
    "server_version": "15.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
}

GrantedLogin = tuple[_auth.Identity, decisions.SessionState]


class LoginDialog:
    """A SCRAM login that is checked against the active contracts.

    Attributes:
        granted: The identity and the initial state of the session; None until
            the caller has proved its password.
    """

    def __init__(
        self,
        cfg: _settings.Settings,
        contracts: decisions.ContractBook,
        secret: bytes,
        is_current: Callable[[], bool],
    ) -> None:
        """Creates a dialog that awaits the startup message.

        Args:
            cfg: The node's settings.
            contracts: The active contracts.
            secret: A secret of this process, from which logins that do not
                exist get their keys.
            is_current: Returns whether these contracts are confirmed to be
                the newest.
        """
        self._cfg = cfg
        self._is_current = is_current
        self._contracts = contracts
        self._secret = secret
        self._exchange: _auth.LoginExchange | None = None
        self._pending: GrantedLogin | None = None
        self.granted: GrantedLogin | None = None

    def begin(self, params: dict[str, str], is_tls: bool) -> bytes:
        """Handles the startup message; returns the offer of a mechanism.

        Raises:
            RequestFailedError: TLS is required, or a setting is malformed.
        """
        if self._cfg.callers.require_tls and not is_tls:
            raise decisions.RequestFailedError(
                decisions.LOGIN_REFUSED, "TLS is required"
            )
        name, customer = _auth.split_user(params.get("user", ""))
        database = params.get("database", "")
        state = decisions.SessionState(
            timeout_s=self._cfg.policy.request_timeout_s
        )
        login = None
        try:
            contract = self._contracts.get(customer)
            state = attrs.evolve(state, staleness_s=contract.staleness_s)
            if database in contract.databases:
                login = contract.login(name)
        except decisions.UnknownCustomerError:
            login = None
        identity = _auth.Identity(customer, name, database)
        self._pending = (identity, _with_settings(state, params))
        self._exchange = _auth.LoginExchange(login, self._secret)
        return _wire.encode_sasl(_auth.MECHANISM)

    def handle(self, msg: _wire.Message) -> bytes:
        """Handles a message of the exchange; returns the answer.

        Raises:
            RequestFailedError: The password is wrong, or the message is not
                expected now.
        """
        assert self._exchange is not None
        match msg:
            case _wire.SASLInitialResponse():
                challenge = self._exchange.handle_client_first(msg.data)
                return _wire.encode_sasl_continue(challenge)
            case _wire.SASLResponse():
                final = self._verify_proof(self._exchange, msg.data)
                self.granted = self._pending
                return _wire.encode_sasl_final(final)
            case _:
                raise decisions.RequestFailedError(
                    decisions.PROTOCOL_VIOLATION, type(msg).__name__
                )

    def _verify_proof(self, exchange: _auth.LoginExchange, data: bytes) -> str:
        """Returns the server's last message for a correct password.

        Raises:
            RequestFailedError: The password is wrong. If the contracts may be
                outdated, the reason is OUTDATED instead of LOGIN_REFUSED: by
                newer ones the password may be correct.
        """
        try:
            return exchange.handle_client_final(data)
        except decisions.RequestFailedError as exc:
            is_current = self._is_current()
            logging.info("event=login_refused is_current=%s", is_current)
            if is_current:
                raise
            raise decisions.RequestFailedError(
                decisions.OUTDATED, "contracts may be outdated here"
            ) from exc


def _with_settings(
    state: decisions.SessionState, params: dict[str, str]
) -> decisions.SessionState:
    """Applies the settings of a startup message to a session's state."""
    for name, value in params.items():
        if name.startswith(decisions.SETTING_PREFIX):
            short = name.removeprefix(decisions.SETTING_PREFIX)
            state = state.with_setting(short, value)
    return state
