"""Writing again what the store lost when it came back from a copy.

Contracts that an operator was told are in force, and records of who leads,
were written by nodes, and nobody but nodes can write them again. Every reader
of the store looks; each waits for its own part of a while first, so that one
writes and the others find it done.
"""

import json

from absl import logging
import ferry_decisions as decisions

from ferry_node import _audits

SPREAD_S = 2.0  # Between 14 readers: longer than a read and a write take.


class Restorer:
    """Compares what a node knows with what the store lists."""

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
        self._delay_s = SPREAD_S * decisions.stagger_fraction("restore", node)
        self._busy = False

    def look(self, listed: dict[str, decisions.StoreEntry]) -> None:
        """Begins to write what is lacking, unless that is under way.

        Args:
            listed: What the store holds of contracts, records and topology.
        """
        held = self._directory.entries()
        lost = decisions.lost_entries(held, listed, self._store.era)
        if not lost or self._busy:
            return
        self._busy = True
        fut = decisions.start(self._restore(lost))
        fut.add_done_callback(self._done)

    def _done(self, fut: "decisions.Future[None]") -> None:
        self._busy = False
        exc = fut.exception()
        if exc is not None:  # The next read of the store finds what is left.
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
            record = _audits.record_of(contract)
            new = decisions.Revision(era)
            yield self._store.put_if(record.key, record.value, new)
