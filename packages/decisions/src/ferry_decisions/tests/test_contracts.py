"""Tests of contracts: validation, and versions that never revert."""

import attrs
import pytest

import ferry_decisions as decisions

VALID_CONTRACT = {
    "customer": "lone-star",
    "databases": ["plates"],
    "share": 10,
    "connections": 8,
}


def test_good_document():
    contract = decisions.contract_from_json(VALID_CONTRACT)
    assert contract.share == 10
    assert contract.staleness_s == 0.0


@pytest.mark.parametrize(
    ("name", "change", "paths"),
    [
        ("wrong type", {"share": "ten"}, ["contract.share"]),
        (
            "several mistakes",
            {"share": "ten", "connections": "x"},
            ["contract.share", "contract.connections"],
        ),
        ("unknown key", {"shares": 1}, ["contract"]),
        ("bool is no number", {"staleness_s": True}, ["contract.staleness_s"]),
    ],
)
def test_every_mistake_is_reported_with_its_path(name, change, paths):
    with pytest.raises(decisions.InvalidDocumentError) as found:
        decisions.contract_from_json({**VALID_CONTRACT, **change})
    assert [getattr(e, "path", "") for e in found.value.exceptions] == paths, (
        name
    )


@pytest.mark.parametrize(
    "change",
    [
        {"share": 0},
        {"connections": 0},
        {"staleness_s": -1.0},
        {"customer": "Not A Name"},
        {"databases": []},
    ],
)
def test_values_out_of_range_are_refused(change):
    with pytest.raises(decisions.InvalidDocumentError):
        decisions.contract_from_json({**VALID_CONTRACT, **change})


@pytest.mark.parametrize(
    ("versions", "kept"),
    [([1, 2, 3], 3), ([3, 1, 2], 3), ([2, 2], 2), ([5, 4], 5)],
)
def test_book_keeps_the_highest_version(versions, kept):
    book = decisions.ContractBook()
    for version in versions:
        book.merge(
            decisions.contract_from_json({**VALID_CONTRACT, "version": version})
        )
    assert book.get("lone-star").version == kept


def test_tombstone_outlives_an_older_contract():
    book = decisions.ContractBook()
    old = decisions.contract_from_json(VALID_CONTRACT)
    book.merge(attrs.evolve(old, version=2, deleted=True))
    assert not book.merge(old)
    with pytest.raises(decisions.UnknownCustomerError):
        book.get("lone-star")
