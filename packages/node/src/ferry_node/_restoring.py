"""Rewrites entries that the store lost when it was restored from a backup.

Contracts that were confirmed to an operator, and records of the primaries,
were written by nodes, and only nodes can write them again. Every store reader
checks for lost entries. Each then waits for a delay of its own, so that
usually one reader writes them and the others find the work done.
"""

import json

from absl import logging
import ferry_decisions as decisions

from ferry_node import _audits

# The delays of the readers lie within this time. With 14 readers, the average
# gap between two of them is still longer than a read and a write take.
MAX_DELAY_S = 2.0


class Restorer:
    """Compares a node's directory with the store and restores lost entries."""

    def __init__(
        self,
        timers: decisions.TimerService,
        node: str,
        store: decisions.Store,
        directory: decisions.Directory,
    ) -> None:
        self._timers = timers
        self._store = store
        self._directory = directory
        self._delay_s = MAX_DELAY_S * decisions.stagger_fraction(
            "restore", node
        )
        self._busy = False

    def restore_lost(self, listed: dict[str, decisions.StoreEntry]) -> None:
        """Starts to restore lost entries, unless that is in progress.

        Args:
            listed: The store's contracts, records and topology, by key.
        """
        known = self._directory.entries()
        lost = decisions.lost_entries(known, listed, self._store.era)
        if not lost or self._busy:
            return
        self._busy = True
        fut = decisions.start(self._restore(lost))
        fut.add_done_callback(self._restore_done)

    def _restore_done(self, fut: "decisions.Future[None]") -> None:
        self._busy = False
        exc = fut.exception()
        # The next read of the store finds the entries that are still lost.
        if exc is not None:
            logging.warning("event=restoring_failed detail=%s", exc)

    def _restore(
        self, lost: list[decisions.StoreEntry]
    ) -> "decisions.Flow[None]":
        yield decisions.sleep(self._timers, self._delay_s)
        for entry in lost:
            yield from self._restore_one(entry)

    def _restore_one(
        self, entry: decisions.StoreEntry
    ) -> "decisions.Flow[None]":
        stored = yield self._store.get(entry.key)
        listed = {} if stored is None else {entry.key: stored}
        era = self._store.era
        if not decisions.lost_entries([entry], listed, era):
            return
        known = decisions.Revision(era) if stored is None else stored.revision
        written = yield self._store.put_if(entry.key, entry.value, known)
        if written is None:
            return
        logging.warning("event=restored key=%s era=%d", entry.key, era)
        if entry.key.startswith(decisions.CONTRACT_PREFIX):
            contract = decisions.contract_from_json(json.loads(entry.value))
            record = _audits.audit_record(contract)
            new = decisions.Revision(era)
            yield self._store.put_if(record.key, record.value, new)
