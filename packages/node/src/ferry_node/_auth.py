"""Authenticates callers by SCRAM-SHA-256 with the logins of the contracts.

A user name has the form `login@customer`. The customer's contract holds its
logins and names its databases. An unknown login goes through the same exchange
as a wrong password, so that the two cannot be told apart.
"""

import base64
import hashlib
import hmac

import attrs
import ferry_decisions as decisions
import scramp

MECHANISM = "SCRAM-SHA-256"
ITERATIONS = 4096


@attrs.frozen(slots=True)
class Identity:
    """The identity of an authenticated caller.

    Attributes:
        customer: The customer that the login belongs to.
        login: The name of the login.
        database: The database that the caller chose.
    """

    customer: str
    login: str
    database: str


def make_login(name: str, password: str, salt: bytes) -> decisions.Login:
    """Returns a login with the keys that verify a password.

    The login does not hold the password itself.
    """
    salted = hashlib.pbkdf2_hmac("sha256", password.encode(), salt, ITERATIONS)
    client_key = hmac.digest(salted, b"Client Key", "sha256")
    stored_key = hashlib.sha256(client_key).digest()
    server_key = hmac.digest(salted, b"Server Key", "sha256")
    return decisions.Login(
        name=name,
        salt=_base64_text(salt),
        stored_key=_base64_text(stored_key),
        server_key=_base64_text(server_key),
        iterations=ITERATIONS,
    )


def _base64_text(data: bytes) -> str:
    return base64.b64encode(data).decode()


def split_user(user: str) -> tuple[str, str]:
    """Splits a user name into its login and its customer."""
    login, _, customer = user.rpartition("@")
    return login, customer


class LoginExchange:
    """One SCRAM exchange with a caller."""

    def __init__(self, login: decisions.Login | None, secret: bytes) -> None:
        """Starts the exchange.

        Args:
            login: The login, or None for one that does not exist.
            secret: A secret of this process, from which the keys of a login
                that does not exist are derived.
        """
        checked_login = login or _unknown_login(secret)
        info = (
            base64.b64decode(checked_login.salt),
            base64.b64decode(checked_login.stored_key),
            base64.b64decode(checked_login.server_key),
            checked_login.iterations,
        )
        mechanism = scramp.ScramMechanism(MECHANISM)
        self._server = mechanism.make_server(lambda _: info)

    def handle_client_first(self, client_first: bytes) -> str:
        """Returns the challenge for the caller's first message.

        Raises:
            RequestFailedError: The message is malformed.
        """
        try:
            text = client_first.decode()
            # PostgreSQL clients leave the user name empty, which the library
            # rejects. The signature covers the message as the client sent it,
            # so the original is restored after parsing.
            self._server.set_client_first(text.replace("n=,", "n=*,", 1))
            self._server.client_first_bare = text.split(",", 2)[2]
            return str(self._server.get_server_first())
        except (scramp.ScramException, ValueError) as exc:
            raise _login_refused() from exc

    def handle_client_final(self, client_final: bytes) -> str:
        """Returns the server's last message for a correct password.

        Raises:
            RequestFailedError: The password is wrong.
        """
        try:
            self._server.set_client_final(client_final.decode())
            return str(self._server.get_server_final())
        except (scramp.ScramException, ValueError) as exc:
            raise _login_refused() from exc


def _login_refused() -> decisions.RequestFailedError:
    return decisions.RequestFailedError(decisions.LOGIN_REFUSED)


def _unknown_login(secret: bytes) -> decisions.Login:
    return make_login("nobody", secret.hex(), secret[:16])
