"""Controllers that turn what a node knows into what it does."""

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
    """Turns entries of the directory into databases, records, contracts."""

    def __init__(
        self, board: decisions.Blackboard, contracts: decisions.ContractBook
    ) -> None:
        self._board = board
        self._contracts = contracts

    def take(self, entry: decisions.StoreEntry) -> None:
        """Takes an entry in; one that cannot be read changes nothing."""
        try:
            self._take(entry)
        except (ValueError, decisions.InvalidDocumentError) as exc:
            logging.error(
                "event=entry_unreadable key=%s detail=%s", entry.key, exc
            )

    def _take(self, entry: decisions.StoreEntry) -> None:
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
    """Computes which members this node serves."""

    reads: tuple[decisions.BoardKey[typing.Any], ...] = (
        _board.NODES,
        _board.DATABASES,
    )
    writes: tuple[decisions.BoardKey[typing.Any], ...] = (_board.SERVED,)

    def __init__(self, node: str) -> None:
        self._node = node

    def run(self, board: decisions.BoardView) -> None:
        """Writes the members for which this node scores highest."""
        nodes = board.read(_board.NODES)
        served = set()
        for database in board.read(_board.DATABASES).values():
            for member in database.members:
                owner = decisions.serving_node(database, member, nodes)
                if owner is not None and owner.name == self._node:
                    served.add((database.name, member.name))
        board.write(_board.SERVED, frozenset(served))


class StoreReaderController:
    """Decides whether this node asks the store."""

    reads: tuple[decisions.BoardKey[typing.Any], ...] = (_board.NODES,)
    writes: tuple[decisions.BoardKey[typing.Any], ...] = (_board.STORE_READER,)

    def __init__(self, cfg: _settings.Settings) -> None:
        self._cfg = cfg

    def run(self, board: decisions.BoardView) -> None:
        """Writes whether this node is one of its data centre's readers."""
        nodes = board.read(_board.NODES)
        readers = decisions.store_readers(
            self._cfg.data_centre, nodes, self._cfg.store_readers
        )
        names = [n.name for n in readers]
        board.write(_board.STORE_READER, not names or self._cfg.node in names)


class RecordController:
    """Tells the entry side of each record that has changed."""

    reads: tuple[decisions.BoardKey[typing.Any], ...] = (_board.RECORDS,)
    writes: tuple[decisions.BoardKey[typing.Any], ...] = ()

    def __init__(self, notify: Callable[[str], object]) -> None:
        self._notify = notify
        self._known: dict[str, decisions.Record] = {}

    def run(self, board: decisions.BoardView) -> None:
        """Reports the databases whose records are new."""
        records = board.read(_board.RECORDS)
        known, self._known = self._known, records
        for name, record in records.items():
            if known.get(name) != record:
                self._notify(name)


class ServiceController:
    """Starts, configures and ends the services of the members served."""

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
        self._numbers = itertools.count(1)

    def run(self, board: decisions.BoardView) -> None:
        """Brings services and watches in line with the blackboard."""
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
            watch = self._watch_of(databases[name], records.get(name))
            record = records.get(name)
            if record is not None and record.newer_than(watch.record):
                watch.note_record(record)
            self._service_of(watch, member).configure()

    def _retire(self, key: tuple[str, str]) -> None:
        """Gives a member up; what is under way on it goes on for a while."""
        service = self.services.pop(key)
        self.retired.add(service)
        service.ownership.release()
        deadline = self._loop.now() + self._cfg.policy.stop_s

        def end() -> None:
            if service.busy and self._loop.now() < deadline:
                self._loop.after(RETIRE_POLL_S, end)
                return
            self.retired.discard(service)
            service.close()

        self._loop.after(RETIRE_POLL_S, end)

    def drop_channel(self, number: int) -> None:
        """Rolls back an open transaction, wherever it is."""
        for service in [*self.services.values(), *self.retired]:
            service.drop(number)

    def cancel(self, cancel_key: int) -> None:
        """Asks the endpoint to stop a batch, wherever it runs."""
        for service in [*self.services.values(), *self.retired]:
            service.cancel(cancel_key)

    def holder(self, channel: int) -> _serving.MemberService | None:
        """Returns the service that holds an open transaction."""
        for service in [*self.services.values(), *self.retired]:
            if channel in service.channels:
                return service
        return None

    def close(self) -> None:
        """Ends all services and watches."""
        for service in [*self.services.values(), *self.retired]:
            service.close()
        for watch in self.watches.values():
            watch.close()

    def _watch_of(
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

    def _service_of(
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
                self._numbers,
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
