"""The login of one caller, from its startup message to its identity."""

from collections.abc import Callable

from absl import logging
import attrs
import ferry_decisions as decisions

from ferry_node import _auth
from ferry_node import _settings
from ferry_node import _wire

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
    """A SCRAM login against the contracts in force.

    Attributes:
        granted: The identity and the first state of the session, once the
            caller has proved its password.
    """

    def __init__(
        self,
        cfg: _settings.Settings,
        contracts: decisions.ContractBook,
        secret: bytes,
        is_current: Callable[[], bool],
    ) -> None:
        """Makes a dialog that has not begun.

        Args:
            cfg: The node's settings.
            contracts: The contracts in force.
            secret: This process's secret.
            is_current: Whether these contracts were found to be the newest.
        """
        self._cfg = cfg
        self._is_current = is_current
        self._contracts = contracts
        self._secret = secret
        self._exchange: _auth.LoginExchange | None = None
        self._pending: GrantedLogin | None = None
        self.granted: GrantedLogin | None = None

    def begin(self, params: dict[str, str], is_tls: bool) -> bytes:
        """Takes the startup message in; returns the offer of a mechanism.

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
        """Takes a message of the exchange in; returns the answer.

        Raises:
            RequestFailedError: The password is wrong, or the message is out
                of order.
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
        """Returns the server's last message for a right password.

        Raises:
            RequestFailedError: The password is wrong; by contracts that may be
                outdated, it may be right.
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
    """Returns the state after the settings of a startup message."""
    for name, value in params.items():
        if name.startswith(decisions.SETTING_PREFIX):
            short = name.removeprefix(decisions.SETTING_PREFIX)
            state = state.with_setting(short, value)
    return state
