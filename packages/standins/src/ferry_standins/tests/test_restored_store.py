"""A store that comes back from an older copy, on the PostgreSQL side.

What the nodes wrote in the last seconds is gone: contracts that an operator was
told are in force, and records of who leads. Revisions are given out again.
Changes of contracts were passed over by all nodes, since the directory had seen
higher numbers; a node that came later knew the older contract alone; and the
next primary was claimed at terms that members had promised before.
"""

import concurrent.futures
import json

import ferry_decisions as decisions
import pytest

import ferry_standins as standins
from ferry_standins.tests import helpers
from ferry_standins.tests import test_admin

CUSTOMER = "lone-star"
KEY = decisions.CONTRACT_PREFIX + CUSTOMER
IN_FORCE_S = 15.0  # Two reads of the store, at the longest pause between them.


def contract(version: int) -> bytes:
    """Returns a version of a contract as the store keeps it."""
    document = decisions.Contract(
        customer=CUSTOMER,
        databases=("plates",),
        share=version,
        connections=10,
        version=version,
    )
    return json.dumps(decisions.unstructure(document)).encode()


class Lab:
    """Nodes of a fleet, whose store loses two versions of a contract."""

    def __init__(self, nodes: int = 9) -> None:
        plan = standins.SwarmPlan(nodes=nodes, centres=3, spreads=True)
        self.swarm = standins.Swarm(plan, seed=1)
        self.swarm.timers.advance(3.0)
        self.write(1)
        self.swarm.timers.advance(IN_FORCE_S)
        self.copy = self.swarm.store.copy()
        for version in (2, 3):
            self.write(version)
            self.swarm.timers.advance(2.0)
        assert self.versions == {3}

    def write(self, version: int) -> None:
        """Writes a version as a node does for an operator."""
        node = next(iter(self.swarm.nodes.values()))
        condition = self.swarm.store.condition(KEY)
        fut = node.store.put_if(KEY, contract(version), condition)
        self.swarm.timers.advance(0.1)
        assert fut.result() is not None

    def lose(self) -> None:
        """Has the store come back from its older copy."""
        self.swarm.store.down = True
        self.swarm.timers.advance(1.5)
        self.swarm.store.restore(self.copy)
        self.swarm.store.down = False

    @property
    def versions(self) -> set[int]:
        """The versions that nodes have, one for each that differs."""
        return {version_at(n) for n in self.swarm.nodes.values()}

    @property
    def stored(self) -> int:
        """The version that the store holds."""
        return int(json.loads(self.swarm.store.entries[KEY].value)["version"])


def test_a_contract_that_the_store_lost_is_written_again():
    lab = Lab()
    lab.lose()
    lab.swarm.timers.advance(IN_FORCE_S)
    assert lab.stored == 3
    assert lab.versions == {3}


def test_a_change_after_the_restore_is_in_force_everywhere():
    lab = Lab()
    lab.lose()
    lab.swarm.timers.advance(0.5)
    lab.write(4)
    lab.swarm.timers.advance(IN_FORCE_S)
    assert lab.versions == {4}


def test_the_older_contract_of_the_copy_never_replaces_the_one_in_force():
    lab = Lab()
    lab.lose()
    for _ in range(200):
        lab.swarm.timers.advance(0.1)
        assert lab.versions == {3}


def test_few_nodes_write_what_was_lost():
    lab = Lab(nodes=60)
    lab.lose()
    before = lab.swarm.store.number
    lab.swarm.timers.advance(IN_FORCE_S)
    assert lab.stored == 3
    written = set(lab.swarm.store.entries) - set(lab.copy.entries)
    assert written == {f"audit/{CUSTOMER}/{3:08d}"}
    assert lab.swarm.store.number == before + 2  # With the contract itself.
    assert lab.swarm.store.refused_writes <= 2


def gap_after(loses_records: bool) -> tuple[float, int]:
    """Returns the seconds until a primary is replaced, and terms begun."""
    lab = standins.Lab(standins.LabPlan(), 1)
    lab.timers.advance(1.0)
    copy = lab.store.copy()
    for _ in range(3):
        leader = lab.primary().name
        lab.crash(leader)
        lab.timers.advance(6.0)
        lab.restart(leader)
        lab.timers.advance(2.0)
    known = lab.primary().replica.term
    if loses_records:
        lab.store.restore(copy)
    leader = lab.primary().name
    lab.crash(leader)
    begun = lab.timers.now()
    while lab.primary().name == leader and lab.timers.now() - begun < 30.0:
        lab.timers.advance(0.05)
    return lab.timers.now() - begun, lab.primary().replica.term - known


def test_a_primary_is_claimed_above_all_terms_that_members_promised():
    """Each lost term cost a claim that all members refused, 0.12 s each."""
    calm_s, _ = gap_after(loses_records=False)
    gap_s, terms = gap_after(loses_records=True)
    assert terms == 1
    assert gap_s <= calm_s + 0.05


def test_an_operators_change_after_the_restore_is_in_force(own_fleet):
    fleet = own_fleet
    assert test_admin.create(fleet, "kept")[0] == 200
    copy = fleet.kv.state.copy()
    body = {**test_admin.DOCUMENT, "logins": ["clerk"]}
    for version in (1, 2):
        status, _ = test_admin.call(
            fleet,
            "PUT",
            "/v1/contracts/kept",
            {**body, "share": 3 + version},
            If_Match=f'"{version}"',
        )
        assert status == 200
    fleet.kv.state.restore(copy)

    def amended() -> bool:
        status, _ = test_admin.call(
            fleet,
            "PUT",
            "/v1/contracts/kept",
            {**body, "share": 9},
            If_Match='"3"',
        )
        return bool(status == 200)

    helpers.eventually(amended, seconds=IN_FORCE_S)
    for node in range(3):
        shown = lambda n=node: test_admin.call(  # noqa: E731
            fleet, "GET", "/v1/contracts/kept", node=n
        )[1]
        helpers.eventually(lambda s=shown: s()["share"] == 9)


@pytest.mark.parametrize("lost", [1, 2])
def test_history_of_a_contract_is_kept_too(own_fleet, lost):
    fleet = own_fleet
    assert test_admin.create(fleet, "audited")[0] == 200
    copy = fleet.kv.state.copy()
    body = {**test_admin.DOCUMENT, "logins": ["clerk"]}
    for version in range(1, 1 + lost):
        test_admin.call(
            fleet,
            "PUT",
            "/v1/contracts/audited",
            {**body, "share": 3 + version},
            If_Match=f'"{version}"',
        )
    fleet.kv.state.restore(copy)

    def newest() -> int:
        path = "/v1/contracts/audited/history"
        status, shown = test_admin.call(fleet, "GET", path)
        return shown[0]["version"] if status == 200 else 0

    helpers.eventually(lambda: newest() == 1 + lost, seconds=IN_FORCE_S)


def test_a_change_whose_answer_the_restore_took_is_not_called_a_conflict(
    own_fleet,
):
    """It took effect, was lost by the store, and is written again by nodes."""
    fleet = own_fleet
    assert test_admin.create(fleet, "unsure")[0] == 200
    copy = fleet.kv.state.copy()
    fleet.kv.faults.replies_to_drop = 1
    body = {**test_admin.DOCUMENT, "logins": ["clerk"], "share": 9}
    headers = {"If_Match": '"1"', "Idempotency_Key": "once"}
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(
            test_admin.call,
            fleet,
            "PUT",
            "/v1/contracts/unsure",
            body,
            **headers,
        )
        helpers.eventually(lambda: fleet.kv.state.revision > copy.revision)
        fleet.kv.state.restore(copy)
        status, shown = fut.result()
    assert (status, shown["error"]) == (504, "unknown")


def test_a_directory_is_current_once_it_was_compared():
    lab = Lab()
    lab.lose()
    lab.swarm.timers.advance(IN_FORCE_S)
    for node in lab.swarm.nodes.values():
        assert node.directory_sync is not None
        assert node.directory_sync.is_current


def test_a_node_that_knows_only_the_copy_is_not_current():
    lab = Lab()
    for peer in lab.swarm.nodes.values():
        peer.store.cut = True  # Else they write the newer one again.
    lab.lose()
    reader = lab.swarm.readers("dc-0")[0]
    lab.swarm.alone.add(reader)
    node = lab.swarm.restart(reader)
    lab.swarm.timers.advance(1.5)
    assert node.directory_sync is not None
    assert version_at(node) == 1
    assert not node.directory_sync.is_current
    lab.swarm.alone.clear()
    lab.swarm.timers.advance(IN_FORCE_S)
    assert version_at(node) == 3
    assert node.directory_sync.is_current


def version_at(node):
    entry = node.directory.get(KEY)
    assert entry is not None
    return json.loads(entry.value)["version"]
