"""Tests of a store that is restored from an older backup (PostgreSQL side).

The restore loses recent writes, such as contracts that were confirmed to an
operator and records of the primary, and the store assigns their revisions
again. This led to three failures. All nodes ignored later changes of contracts,
since their directories had seen higher revisions. Nodes that started later knew
only the older contract. The next primary was claimed at terms that members had
already promised.
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
# Time until a change is active on every node: two reads of the store, with the
# longest pause between them.
ACTIVATION_LIMIT_S = 15.0


def contract(version: int) -> bytes:
    """Returns a version of the contract in the format of the store."""
    document = decisions.Contract(
        customer=CUSTOMER,
        databases=("plates",),
        share=version,
        connections=10,
        version=version,
    )
    return json.dumps(decisions.unstructure(document)).encode()


class RestoreLab:
    """A swarm whose store loses two versions of a contract.

    The versions 2 and 3 were written after the backup.
    """

    def __init__(self, nodes: int = 9) -> None:
        plan = standins.SwarmPlan(nodes=nodes, centres=3, spreads=True)
        self.swarm = standins.Swarm(plan, seed=1)
        self.swarm.timers.advance(3.0)
        self.write(1)
        self.swarm.timers.advance(ACTIVATION_LIMIT_S)
        self.backup = self.swarm.store.copy()
        for version in (2, 3):
            self.write(version)
            self.swarm.timers.advance(2.0)
        assert self.versions == {3}

    def write(self, version: int) -> None:
        """Writes a version of the contract through a node."""
        node = next(iter(self.swarm.nodes.values()))
        condition = self.swarm.store.condition(KEY)
        fut = node.store.put_if(KEY, contract(version), condition)
        self.swarm.timers.advance(0.1)
        assert fut.result() is not None

    def restore_backup(self) -> None:
        """Restores the store from the backup, after an outage."""
        self.swarm.store.down = True
        self.swarm.timers.advance(1.5)
        self.swarm.store.restore(self.backup)
        self.swarm.store.down = False

    @property
    def versions(self) -> set[int]:
        """The distinct versions that the nodes know."""
        return {version_at(n) for n in self.swarm.nodes.values()}

    @property
    def stored(self) -> int:
        """The version in the store."""
        return int(json.loads(self.swarm.store.entries[KEY].value)["version"])


def test_a_contract_that_the_store_lost_is_written_again():
    lab = RestoreLab()
    lab.restore_backup()
    lab.swarm.timers.advance(ACTIVATION_LIMIT_S)
    assert lab.stored == 3
    assert lab.versions == {3}


def test_a_change_after_the_restore_is_in_force_everywhere():
    lab = RestoreLab()
    lab.restore_backup()
    lab.swarm.timers.advance(0.5)
    lab.write(4)
    lab.swarm.timers.advance(ACTIVATION_LIMIT_S)
    assert lab.versions == {4}


def test_the_older_contract_of_the_copy_never_replaces_the_one_in_force():
    lab = RestoreLab()
    lab.restore_backup()
    for _ in range(200):
        lab.swarm.timers.advance(0.1)
        assert lab.versions == {3}


def test_few_nodes_write_what_was_lost():
    lab = RestoreLab(nodes=60)
    lab.restore_backup()
    before = lab.swarm.store.number
    lab.swarm.timers.advance(ACTIVATION_LIMIT_S)
    assert lab.stored == 3
    written = set(lab.swarm.store.entries) - set(lab.backup.entries)
    assert written == {f"audit/{CUSTOMER}/{3:08d}"}
    # One write of the audit entry and one of the contract itself.
    assert lab.swarm.store.number == before + 2
    assert lab.swarm.store.refused_writes <= 2


def measure_failover(loses_records: bool) -> tuple[float, int]:
    """Crashes the primary after three failovers.

    Args:
        loses_records: Whether the store is first restored from a backup that
            was taken before these failovers.

    Returns:
        The seconds until another primary leads, and the number of terms begun
        meanwhile.
    """
    lab = standins.Lab(standins.LabPlan(), 1)
    lab.timers.advance(1.0)
    backup = lab.store.copy()
    for _ in range(3):
        primary = lab.primary().name
        lab.crash(primary)
        lab.timers.advance(6.0)
        lab.restart(primary)
        lab.timers.advance(2.0)
    known_term = lab.primary().replica.term
    if loses_records:
        lab.store.restore(backup)
    primary = lab.primary().name
    lab.crash(primary)
    crashed_at = lab.timers.now()
    while (
        lab.primary().name == primary and lab.timers.now() - crashed_at < 30.0
    ):
        lab.timers.advance(0.05)
    return (
        lab.timers.now() - crashed_at,
        lab.primary().replica.term - known_term,
    )


def test_a_primary_is_claimed_above_all_terms_that_members_promised():
    """Each lost term once cost a claim that all members refused.

    Every such claim took 0.12 s.
    """
    baseline_s, _ = measure_failover(loses_records=False)
    gap_s, terms = measure_failover(loses_records=True)
    assert terms == 1
    assert gap_s <= baseline_s + 0.05


def test_an_operators_change_after_the_restore_is_in_force(own_fleet):
    fleet = own_fleet
    assert test_admin.create(fleet, "kept")[0] == 200
    backup = fleet.kv.state.copy()
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
    fleet.kv.state.restore(backup)

    def amended() -> bool:
        status, _ = test_admin.call(
            fleet,
            "PUT",
            "/v1/contracts/kept",
            {**body, "share": 9},
            If_Match='"3"',
        )
        return bool(status == 200)

    helpers.eventually(amended, seconds=ACTIVATION_LIMIT_S)
    for node in range(3):
        shown = lambda n=node: test_admin.call(  # noqa: E731
            fleet, "GET", "/v1/contracts/kept", node=n
        )[1]
        helpers.eventually(lambda s=shown: s()["share"] == 9)


@pytest.mark.parametrize("lost", [1, 2])
def test_history_of_a_contract_is_kept_too(own_fleet, lost):
    fleet = own_fleet
    assert test_admin.create(fleet, "audited")[0] == 200
    backup = fleet.kv.state.copy()
    body = {**test_admin.DOCUMENT, "logins": ["clerk"]}
    for version in range(1, 1 + lost):
        test_admin.call(
            fleet,
            "PUT",
            "/v1/contracts/audited",
            {**body, "share": 3 + version},
            If_Match=f'"{version}"',
        )
    fleet.kv.state.restore(backup)

    def newest() -> int:
        path = "/v1/contracts/audited/history"
        status, shown = test_admin.call(fleet, "GET", path)
        return shown[0]["version"] if status == 200 else 0

    helpers.eventually(lambda: newest() == 1 + lost, seconds=ACTIVATION_LIMIT_S)


def test_a_change_whose_answer_the_restore_took_is_not_called_a_conflict(
    own_fleet,
):
    """The change took effect, the restore lost it, and nodes rewrite it."""
    fleet = own_fleet
    assert test_admin.create(fleet, "unsure")[0] == 200
    backup = fleet.kv.state.copy()
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
        helpers.eventually(lambda: fleet.kv.state.revision > backup.revision)
        fleet.kv.state.restore(backup)
        status, shown = fut.result()
    assert (status, shown["error"]) == (504, "unknown")


def test_a_directory_is_current_once_it_was_compared():
    lab = RestoreLab()
    lab.restore_backup()
    lab.swarm.timers.advance(ACTIVATION_LIMIT_S)
    for node in lab.swarm.nodes.values():
        assert node.directory_sync is not None
        assert node.directory_sync.is_current


def test_a_node_that_knows_only_the_copy_is_not_current():
    lab = RestoreLab()
    for peer in lab.swarm.nodes.values():
        # Otherwise they would write the newer version again.
        peer.store.cut = True
    lab.restore_backup()
    reader = lab.swarm.readers("dc-0")[0]
    lab.swarm.isolated_nodes.add(reader)
    node = lab.swarm.restart(reader)
    lab.swarm.timers.advance(1.5)
    assert node.directory_sync is not None
    assert version_at(node) == 1
    assert not node.directory_sync.is_current
    lab.swarm.isolated_nodes.clear()
    lab.swarm.timers.advance(ACTIVATION_LIMIT_S)
    assert version_at(node) == 3
    assert node.directory_sync.is_current


def version_at(node):
    entry = node.directory.get(KEY)
    assert entry is not None
    return json.loads(entry.value)["version"]
