"""A planned stop cuts requests of consumers that have no long pauses.

Six consumers of one node send a statement 5 to 20 ms after the last answer.
The node gets SIGTERM. A request breaks LOST if it was sent more than 3 s later,
was passed on to a member, and has no answer when its connection ends.
"""

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import cluster  # noqa: E402

SESSIONS = 6
GRACE_S = 6.0
# A request that was sent no later than this after SIGTERM may be cut.
EXCUSED_S = 3.0


class Cut:
    """A request whose connection ended before its answer."""

    def __init__(self, request: str, text: str, sent_at: float) -> None:
        self.request, self.text, self.sent_at = request, text, sent_at
        self.ended_at = time.monotonic()


async def consume(
    world: cluster.World, number: int, cuts: list[Cut]
) -> None:
    """Sends one statement after the other until the connection ends."""
    rng = random.Random(number)
    name = f"u{number}"
    is_lookup = number % 2 == 0
    consumer = cluster.Consumer(world.record, world.nodes[0], name)
    await consumer.connect("status-lookup" if is_lookup else "stock-reconcile")
    count = 0
    while True:
        count += 1
        request = f"{number:04x}{count:012x}"
        item = f"item{rng.randrange(50)}"
        is_write = not is_lookup and count % 4 == 0
        text = f"WRITE {item} {count}" if is_write else f"READ {item}"
        sent_at = time.monotonic()
        try:
            await consumer.ask(request, text)
        except cluster.ConnectionEndedError as exc:
            world.record.add(f"{name} gets no answer to {request}: {exc}")
            cuts.append(Cut(request, text, sent_at))
            return
        await asyncio.sleep(rng.uniform(0.005, 0.02))


async def script(world: cluster.World) -> None:
    """Plays the case."""
    runs: dict[str, str] = {}

    def note_run(member, conn, request, word) -> None:
        runs[request] = member.id
        world.record.add(f"{member.id} runs {word} of {request}")

    world.group.note_run = note_run
    # The mean work of stock-reconcile, on the sheet of the site.
    world.group.work_s = 0.033
    cuts: list[Cut] = []
    tasks = [
        asyncio.create_task(consume(world, n, cuts)) for n in range(SESSIONS)
    ]
    # Everything has been calm for stableWindowMs.
    await asyncio.sleep(6.0)
    stopped_at = float("inf")
    node = world.nodes[0]
    if world.has_trouble:
        stopped_at = time.monotonic()
        world.record.add(f"SIGTERM to {node.name}")
        node.send(signal.SIGTERM)
    await asyncio.sleep(GRACE_S + 1.0)
    world.record.add(f"{node.name}: exit code {node.exit_code}")
    for task in tasks:
        task.cancel()
    for cut in cuts:
        after_s = cut.sent_at - stopped_at
        age_s = cut.ended_at - cut.sent_at
        detail = (
            f"{cut.request} {cut.text}, sent {after_s:.3f} s after SIGTERM,"
            f" passed on to {runs.get(cut.request)}, cut after {age_s:.3f} s"
        )
        if cut.request in runs and after_s > EXCUSED_S:
            world.record.add_violation(f"LOST: {detail}")
        else:
            world.record.add(f"not counted: {detail}")


if __name__ == "__main__":
    sys.exit(cluster.run(FOLDER, cluster.LSPW_FERRY, script))
