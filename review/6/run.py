"""One unreadable entry of another writer ends all following of the store.

An entry appears under `servers/` whose `coldRemainingMs` is a whole number of
401 digits. The operator then writes a version without a route. A request
breaks CONFIG if it is sent on that route later than `configApplyMs` after the
acknowledgement and runs.
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import cluster  # noqa: E402

CONFIG_APPLY_S = 5.0
FOREIGN_ENTRY = {
    "service": "archive",
    "address": "127.0.0.1:9",
    "zone": "hall-a",
    "version": "v1",
    "slots": 5,
    "state": "ready",
    "coldRemainingMs": 10**400,
    "dbRole": "replica",
    "sequence": 1,
    "born": 1769312312000,
}


async def script(world: cluster.World) -> None:
    """Plays the case."""
    record, group = world.record, world.group
    runs: dict[str, str] = {}

    def note_run(member, conn, request, word) -> None:
        runs[request] = member.id
        record.add(f"{member.id} runs {word} of {request}")

    group.note_run = note_run
    # All machines have been in touch for stableWindowMs.
    await asyncio.sleep(6.0)
    if world.has_trouble:
        record.add("another writer adds servers/i-archive")
        world.store.put("servers/i-archive", FOREIGN_ENTRY)
    await asyncio.sleep(2.0)
    configuration = cluster.configuration(8, [cluster.STOCK])
    world.store.put("op/config", configuration)
    acknowledged_at = time.monotonic()
    record.add("version 8 is acknowledged; it has no route status-lookup")
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    count = 0
    for _ in range(5):
        for node in world.nodes:
            count += 1
            consumer = cluster.Consumer(record, node, f"u{count}")
            if await consumer.connect("status-lookup"):
                request = f"{count:016x}"
                sent_after_s = time.monotonic() - acknowledged_at
                await consumer.ask(request, "READ item1")
                if request in runs:
                    record.add_violation(
                        f"CONFIG: {request}, sent through {node.name}"
                        f" {sent_after_s:.3f} s after the acknowledgement on a"
                        f" dropped route, is run by {runs[request]}"
                    )
            consumer.close()
        await asyncio.sleep(1.0)


if __name__ == "__main__":
    sys.exit(cluster.run(FOLDER, cluster.HUVUDBOK, script))
