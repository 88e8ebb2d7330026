"""The administration API and the operators' tool, on a fleet."""

import concurrent.futures
import functools
import json
import pathlib

import click.testing
from ferry_ctl import _main
import psycopg
import pytest
import urllib3

import ferry_standins as standins
from ferry_standins.tests import helpers

DOCUMENT = {
    "databases": ["plates"],
    "share": 3,
    "connections": 4,
    "staleness_s": 2.0,
    "logins": [{"name": "clerk", "password": "secret"}],
}


def call(fleet, method, path, body=None, node=0, **headers):
    port = list(fleet.nodes.values())[node].admin.port
    headers.setdefault("Authorization", f"Bearer {standins.ADMIN_TOKEN}")
    reply = urllib3.request(
        method,
        f"http://127.0.0.1:{port}{path}",
        body=json.dumps(body) if body is not None else None,
        headers={n.replace("_", "-"): v for n, v in headers.items()},
        retries=False,
        timeout=10.0,
    )
    return reply.status, json.loads(reply.data)


def create(fleet, customer, **changes):
    body = {**DOCUMENT, **changes}
    return call(fleet, "PUT", f"/v1/contracts/{customer}", body)


def test_contract_is_in_force_on_every_node_and_audited(fleet):
    assert create(fleet, "new-one")[0] == 200
    for node in range(3):
        path = "/v1/contracts/new-one"
        seen = functools.partial(call, fleet, "GET", path, node=node)
        helpers.eventually(lambda: seen()[0] == 200)  # noqa: B023 - at once
    conn = helpers.connect(fleet, 2, "new-one", password="secret")
    conn.close()
    body = {**DOCUMENT, "share": 4, "logins": ["clerk"]}
    status, shown = call(
        fleet, "PUT", "/v1/contracts/new-one", body, If_Match='"1"'
    )
    assert (status, shown["version"], shown["share"]) == (200, 2, 4)
    status, history = call(fleet, "GET", "/v1/contracts/new-one/history")
    assert [h["version"] for h in history] == [2, 1]
    assert "stored_key" not in json.dumps(history)


def test_racing_operators_one_wins(fleet):
    create(fleet, "raced")

    def amend(share):
        body = {**DOCUMENT, "share": share, "logins": ["clerk"]}
        return call(
            fleet,
            "PUT",
            "/v1/contracts/raced",
            body,
            node=share % 3,
            If_Match='"1"',
        )

    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        replies = list(pool.map(amend, range(10, 16)))
    assert sorted(status for status, _ in replies) == [200] + [412] * 5
    refused = next(shown for status, shown in replies if status == 412)
    assert refused["error"] == "version_conflict"


def test_lost_answer_is_resolved_and_repeat_changes_nothing(fleet):
    fleet.kv.faults.replies_to_drop = 1
    status, first = call(
        fleet,
        "PUT",
        "/v1/contracts/lost-answer",
        DOCUMENT,
        Idempotency_Key="change-7",
    )
    assert (status, first["version"]) == (200, 1)
    status, again = call(
        fleet,
        "PUT",
        "/v1/contracts/lost-answer",
        DOCUMENT,
        node=1,
        Idempotency_Key="change-7",
    )
    assert (status, again["version"]) == (200, 1)


@pytest.mark.parametrize(
    ("name", "body", "headers", "status", "error"),
    [
        ("no secret", DOCUMENT, {"Authorization": ""}, 401, "unauthorized"),
        (
            "wrong secret",
            DOCUMENT,
            {"Authorization": "Bearer no"},
            401,
            "unauthorized",
        ),
        ("stale version", DOCUMENT, {"If_Match": '"9"'}, 412, "version"),
        ("not an object", [1], {}, 400, "not_json"),
        ("bad logins", {**DOCUMENT, "logins": [5]}, {}, 422, "invalid"),
        ("mistakes", {"share": 0, "x": 1}, {}, 422, "invalid_contract"),
    ],
)
def test_refused_change_is_typed(fleet, name, body, headers, status, error):
    found, shown = call(fleet, "PUT", "/v1/contracts/refused", body, **headers)
    assert found == status, name
    assert shown["error"].startswith(error)
    assert call(fleet, "GET", "/v1/contracts/refused")[0] == 404


def test_deleted_contract_lets_nobody_in(fleet):
    create(fleet, "short-lived")
    helpers.eventually(
        lambda: helpers.connect(fleet, 1, "short-lived", password="secret")
    ).close()
    status, _ = call(
        fleet, "DELETE", "/v1/contracts/short-lived", If_Match='"1"'
    )
    assert status == 200

    def is_refused():
        try:
            helpers.connect(fleet, 1, "short-lived", password="secret").close()
        except psycopg.OperationalError:
            return True
        return False

    helpers.eventually(is_refused)


def test_store_outage_refuses_changes_and_keeps_serving(own_fleet):
    fleet = own_fleet
    fleet.kv.faults.down = True
    status, shown = create(fleet, "too-late")
    assert (status, shown["error"]) == (503, "store_unavailable")
    with helpers.connect(fleet, 1) as conn:
        conn.execute("INSERT INTO orders VALUES (1, 'outage')")
        assert conn.execute("SELECT count(*) FROM orders").fetchone() == (1,)


def run_tool(fleet, *args):
    port = next(iter(fleet.nodes.values())).admin.port
    env = {
        "ROSEMARYFERRY_URL": f"http://127.0.0.1:{port}",
        "ROSEMARYFERRY_TOKEN": standins.ADMIN_TOKEN,
        "ROSEMARYFERRY_OPERATOR": "olive",
    }
    return click.testing.CliRunner().invoke(_main.main, list(args), env=env)


def test_operators_tool(fleet, tmp_path):
    path = pathlib.Path(tmp_path) / "contract.json"
    path.write_text(json.dumps(DOCUMENT))
    made = run_tool(fleet, "contract", "create", "by-tool", str(path))
    assert made.output == "by-tool is at version 1\n"
    assert "by-tool" in run_tool(fleet, "contract", "list").output
    amended = run_tool(
        fleet, "contract", "amend", "by-tool", str(path), "--version", "1"
    )
    assert amended.output == "by-tool is at version 2\n"
    raced = run_tool(
        fleet, "contract", "amend", "by-tool", str(path), "--version", "1"
    )
    assert raced.exit_code == 1 and "version_conflict" in raced.output
    shown = json.loads(run_tool(fleet, "contract", "show", "by-tool").output)
    assert shown["changed_by"] == "olive"
    history = run_tool(fleet, "contract", "history", "by-tool")
    assert [h["version"] for h in json.loads(history.output)] == [2, 1]
    gone = run_tool(fleet, "contract", "delete", "by-tool", "--version", "2")
    assert gone.exit_code == 0


def test_status_and_metrics(fleet):
    with helpers.connect(fleet, 0) as conn:
        conn.execute("SELECT 1")
    node = next(iter(fleet.nodes.values()))
    shown = run_tool(
        fleet, "status", "--url", f"http://127.0.0.1:{node.admin.port}"
    )
    assert "plates term" in shown.output and "hall-a-1" in shown.output
    reply = urllib3.request(
        "GET", f"http://127.0.0.1:{node.admin.port}/metrics", retries=False
    )
    assert b'rosemaryferry_batches_total{customer="lone-star"' in reply.data
