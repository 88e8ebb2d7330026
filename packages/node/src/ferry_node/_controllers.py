"""Controllers that react to changes of a node's blackboard.

They decide which members the node serves and whether it reads the store, and
start and stop the services accordingly.
"""

from collections.abc import Callable
import itertools
import json
import typing

from absl import logging
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_node import _board
from ferry_node import _drivers
from ferry_node import _endpoint
from ferry_node import _pools
from ferry_node import _serving
from ferry_node import _settings
from ferry_node import _wire

RETIRE_POLL_S = 0.1


class DirectoryReader:
    """Parses directory entries into databases, records and contracts."""

    def __init__(
        self, board: decisions.Blackboard, contracts: decisions.ContractBook
    ) -> None:
        self._board = board
        self._contracts = contracts

    def apply(self, entry: decisions.StoreEntry) -> None:
        """Applies an entry; one that cannot be parsed is logged and ignored."""
        try:
            self._apply(entry)
        except (ValueError, decisions.InvalidDocumentError) as exc:
            logging.error(
                "event=entry_unreadable key=%s detail=%s", entry.key, exc
            )

    def _apply(self, entry: decisions.StoreEntry) -> None:
        raw = json.loads(entry.value)
        if entry.key.startswith(decisions.CONTRACT_PREFIX):
            self._contracts.merge(decisions.contract_from_json(raw))
        elif entry.key.startswith(decisions.TOPOLOGY_PREFIX):
            database = decisions.database_from_json(raw)
            known = self._board.read(_board.DATABASES)
            self._board.write(
                _board.DATABASES, {**known, database.name: database}
            )
        elif entry.key.startswith(decisions.RECORD_PREFIX):
            record = decisions.record_from_json(raw)
            records = self._board.read(_board.RECORDS)
            if record.newer_than(records.get(record.database)):
                self._board.write(
                    _board.RECORDS, {**records, record.database: record}
                )


class PlacementController:
    """Determines which members this node serves."""

    reads: tuple[decisions.BoardKey[typing.Any], ...] = (
        _board.NODES,
        _board.DATABASES,
    )
    writes: tuple[decisions.BoardKey[typing.Any], ...] = (_board.SERVED,)

    def __init__(self, node: str) -> None:
        self._node = node

    def run(self, board: decisions.BoardView) -> None:
        """Writes the members for which this node has the highest score."""
        nodes = board.read(_board.NODES)
        served = set()
        for database in board.read(_board.DATABASES).values():
            for member in database.members:
                owner = decisions.serving_node(database, member, nodes)
                if owner is not None and owner.name == self._node:
                    served.add((database.name, member.name))
        board.write(_board.SERVED, frozenset(served))


class StoreReaderController:
    """Determines whether this node reads the store."""

    reads: tuple[decisions.BoardKey[typing.Any], ...] = (_board.NODES,)
    writes: tuple[decisions.BoardKey[typing.Any], ...] = (_board.STORE_READER,)

    def __init__(self, cfg: _settings.Settings) -> None:
        self._cfg = cfg

    def run(self, board: decisions.BoardView) -> None:
        """Writes whether this node is a store reader of its data centre.

        While no reader is known, this node reads the store itself.
        """
        nodes = board.read(_board.NODES)
        readers = decisions.store_readers(
            self._cfg.data_centre, nodes, self._cfg.store_readers
        )
        names = [n.name for n in readers]
        board.write(_board.STORE_READER, not names or self._cfg.node in names)


class RecordController:
    """Reports each database whose record has changed."""

    reads: tuple[decisions.BoardKey[typing.Any], ...] = (_board.RECORDS,)
    writes: tuple[decisions.BoardKey[typing.Any], ...] = ()

    def __init__(self, notify: Callable[[str], object]) -> None:
        self._notify = notify
        self._known: dict[str, decisions.Record] = {}

    def run(self, board: decisions.BoardView) -> None:
        """Calls `notify` with the name of each database with a new record."""
        records = board.read(_board.RECORDS)
        known, self._known = self._known, records
        for name, record in records.items():
            if known.get(name) != record:
                self._notify(name)


class ServiceController:
    """Starts, configures and stops the services of the members served.

    Attributes:
        services: The running services, by database and member.
        retired: Services of members that this node no longer serves, whose
            work in progress is still being completed.
        watches: The watches of the databases concerned, by name.
    """

    reads: tuple[decisions.BoardKey[typing.Any], ...] = (
        _board.SERVED,
        _board.RECORDS,
        _board.DATABASES,
    )
    writes: tuple[decisions.BoardKey[typing.Any], ...] = ()

    def __init__(
        self,
        loop: runtime.EventLoop,
        cfg: _settings.Settings,
        contracts: decisions.ContractBook,
        ctx: decisions.WatchContext,
    ) -> None:
        self.services: dict[tuple[str, str], _serving.MemberService] = {}
        self.retired: set[_serving.MemberService] = set()
        self.watches: dict[str, decisions.DatabaseWatch] = {}
        self._loop = loop
        self._cfg = cfg
        self._contracts = contracts
        self._ctx = ctx
        self._channel_numbers = itertools.count(1)

    def run(self, board: decisions.BoardView) -> None:
        """Reconciles services and watches with the blackboard."""
        served = board.read(_board.SERVED)
        databases = board.read(_board.DATABASES)
        records = board.read(_board.RECORDS)
        for key in [k for k in self.services if k not in served]:
            self._retire(key)
        wanted = {name for name, _ in served}
        wanted |= {s.watch.database.name for s in self.retired}
        for name in [n for n in self.watches if n not in wanted]:
            self.watches.pop(name).close()
        for name, member in served:
            watch = self._get_or_start_watch(databases[name], records.get(name))
            record = records.get(name)
            if record is not None and record.newer_than(watch.record):
                watch.note_record(record)
            self._get_or_start_service(watch, member).configure()

    def _retire(self, key: tuple[str, str]) -> None:
        """Stops serving a member.

        Work in progress may continue for up to `stop_s` seconds.
        """
        service = self.services.pop(key)
        self.retired.add(service)
        service.ownership.release()
        deadline = self._loop.now() + self._cfg.policy.stop_s

        def close_when_idle() -> None:
            if service.busy and self._loop.now() < deadline:
                self._loop.after(RETIRE_POLL_S, close_when_idle)
                return
            self.retired.discard(service)
            service.close()

        self._loop.after(RETIRE_POLL_S, close_when_idle)

    def drop_channel(self, number: int) -> None:
        """Rolls back an open transaction, on whichever service holds it."""
        for service in [*self.services.values(), *self.retired]:
            service.drop(number)

    def cancel(self, cancel_key: int) -> None:
        """Asks the endpoint to cancel a batch, on whichever service runs it."""
        for service in [*self.services.values(), *self.retired]:
            service.cancel(cancel_key)

    def find_holder(self, channel: int) -> _serving.MemberService | None:
        """Returns the service that holds an open transaction, if any."""
        for service in [*self.services.values(), *self.retired]:
            if channel in service.channels:
                return service
        return None

    def close(self) -> None:
        """Stops all services and watches."""
        for service in [*self.services.values(), *self.retired]:
            service.close()
        for watch in self.watches.values():
            watch.close()

    def _get_or_start_watch(
        self, database: decisions.Database, record: decisions.Record | None
    ) -> decisions.DatabaseWatch:
        watch = self.watches.get(database.name)
        if watch is None:
            factory = _drivers.DRIVERS.get(self._cfg.endpoints.driver)
            driver = factory(
                self._loop,
                database,
                self._cfg.endpoints,
                self._cfg.policy.probe_timeout_s,
            )
            watch = decisions.DatabaseWatch(self._ctx, database, driver, record)
            self.watches[database.name] = watch
        return watch

    def _get_or_start_service(
        self, watch: decisions.DatabaseWatch, name: str
    ) -> _serving.MemberService:
        key = (watch.database.name, name)
        service = self.services.get(key)
        if service is None:
            service = _serving.MemberService(
                self._loop,
                watch,
                watch.database.member(name),
                self._contracts,
                self._cfg,
                self._connector(watch.database, name),
                self._channel_numbers,
            )
            self.services[key] = service
        return service

    def _connector(
        self, database: decisions.Database, name: str
    ) -> _pools.Connect:
        member = database.member(name)
        cfg = self._cfg.endpoints

        def connect(term: int, owner: str) -> _endpoint.EndpointConn:
            return _endpoint.EndpointConn(
                self._loop,
                member.host,
                member.port,
                {
                    "user": cfg.user,
                    "database": database.name,
                    _wire.TERM_PARAMETER: str(term),
                    _wire.OWNER_PARAMETER: owner,
                },
                cfg.connect_timeout_s,
            )

        return connect
