"""Statements run with session values that their consumer has replaced.

Sessions change a value inside transactions. The primary is partitioned from its
replicas, so that another member is promoted, and stays as a replica. A
statement breaks PINNED if it runs on a connection whose values differ from
those that were acknowledged to its consumer.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import cluster  # noqa: E402

SESSIONS = 24
WRITERS = 3
COLOURS = ("red", "green")
CUT_S = 4.0


class Session:
    """A consumer's session, and the values that were acknowledged to it."""

    def __init__(self, world: cluster.World, number: int, sent: dict) -> None:
        self._rng = random.Random(number)
        self._number = number
        self._sent = sent
        self._count = 0
        node = world.nodes[number % len(world.nodes)]
        self._consumer = cluster.Consumer(world.record, node, f"u{number}")
        self._values: dict[str, str] = {}

    async def _ask(self, text: str) -> bool:
        """Sends a query; returns whether it succeeded."""
        self._count += 1
        request = f"{self._number:04x}{self._count:012x}"
        self._sent[request] = self._consumer.name, dict(self._values)
        lines = await self._consumer.ask(request, text)
        return any(line.startswith("COMPLETE") for line in lines)

    async def _change_colour(self) -> None:
        colour = COLOURS[self._values.get("colour") == COLOURS[0]]
        if await self._ask(f"SET colour {colour}"):
            self._values["colour"] = colour

    async def _transact(self) -> None:
        """Runs a transaction with pauses; gives it up when one step fails."""
        is_open = await self._ask("BEGIN") and await self._ask("READ item1")
        for _ in range(4):
            if not is_open:
                break
            await asyncio.sleep(self._rng.uniform(0.1, 0.3))
            await self._change_colour()
            is_open = await self._ask("READ item2")
        if is_open and self._number < WRITERS:
            is_open = await self._ask("WRITE item3 x")
        if is_open:
            await self._ask("COMMIT")
        if self._consumer.state != "I":
            await self._ask("ROLLBACK")

    async def run(self) -> None:
        """Runs operations until the script ends."""
        await self._consumer.connect("stock-reconcile")
        while True:
            await self._change_colour()
            for _ in range(4):
                await self._ask("READ item4")
                await asyncio.sleep(self._rng.uniform(0.02, 0.1))
            await self._transact()


async def script(world: cluster.World) -> None:
    """Plays the case."""
    record, group = world.record, world.group
    sent: dict[str, tuple[str, dict[str, str]]] = {}

    def note_run(member, conn, request, word) -> None:
        name, values = sent[request]
        line = (
            f"{member.id}, {member.role}, connection {conn.number}, runs {word}"
            f" of {request} with {conn.values}"
        )
        record.add(line)
        if conn.values != values:
            record.add_violation(
                f"PINNED: {line}; {name} was acknowledged {values}"
            )

    group.note_run = note_run
    sessions = [Session(world, n, sent) for n in range(SESSIONS)]
    tasks = [asyncio.create_task(s.run()) for s in sessions]
    await asyncio.sleep(6.0)
    primary = group.primary
    if world.has_trouble and primary is not None:
        record.add(f"{primary.id} is partitioned from its replicas")
        primary.is_cut = True
    await asyncio.sleep(CUT_S)
    if primary is not None:
        primary.is_cut = False
    await asyncio.sleep(6.0)
    for task in tasks:
        if task.done():
            raise RuntimeError(f"a session ended: {task.exception()!r}")
        task.cancel()


if __name__ == "__main__":
    sys.exit(cluster.run(FOLDER, cluster.LSPW_FERRY, script))
