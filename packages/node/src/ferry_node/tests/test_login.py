"""Tests logins with contracts that may be outdated.

A wrong login must not be refused for good while newer contracts may allow it.
"""

import ferry_decisions as decisions
import pytest
import scramp

from ferry_node import _auth
from ferry_node import _login
from ferry_node import _settings
from ferry_node import _wire

CFG = _settings.Settings(
    node="n1",
    data_centre="hall-a",
    host="127.0.0.1",
    store_url="",
    vm_list_url="",
)
SECRET = b"s" * 32
CUSTOMER = decisions.Contract(
    customer="lone-star",
    databases=("plates",),
    share=1,
    connections=10,
    version=1,
    logins=(_auth.make_login("clerk", "correct", b"salt" * 4),),
)


def log_in(is_current, login="clerk", customer="lone-star", password="correct"):
    """Returns the dialog after a complete exchange with a SCRAM client."""
    book = decisions.ContractBook()
    book.merge(CUSTOMER)
    dialog = _login.LoginDialog(CFG, book, SECRET, lambda: is_current)
    params = {"user": f"{login}@{customer}", "database": "plates"}
    dialog.begin(params, is_tls=True)
    client = scramp.ScramClient([_auth.MECHANISM], login, password)
    first = client.get_client_first().encode()
    challenge = dialog.handle(_wire.SASLInitialResponse(_auth.MECHANISM, first))
    client.set_server_first(_text(challenge))
    final = client.get_client_final().encode()
    dialog.handle(_wire.SASLResponse(final))
    return dialog


def _text(message):
    """Returns the payload of the server's authentication message."""
    return message[9:].decode()


@pytest.mark.parametrize("is_current", [True, False])
def test_a_known_login_is_granted_by_any_contracts(is_current):
    assert log_in(is_current).granted is not None


REFUSED = [
    {"login": "new-clerk"},
    {"customer": "new-customer"},
    {"password": "new-password"},
]


@pytest.mark.parametrize("who", REFUSED)
def test_outdated_contracts_refuse_with_a_retryable_reason(who):
    with pytest.raises(decisions.RequestFailedError) as caught:
        log_in(is_current=False, **who)
    assert caught.value.reason is decisions.OUTDATED
    assert caught.value.retry_after_s > 0


@pytest.mark.parametrize("who", REFUSED)
def test_current_contracts_refuse_permanently(who):
    with pytest.raises(decisions.RequestFailedError) as caught:
        log_in(is_current=True, **who)
    assert caught.value.reason is decisions.LOGIN_REFUSED
