"""Members that are listed, or restart, while an order is under way.

They are not paused, so an old primary that has not stepped down may have them
acknowledge commits that the ordered member lacks.
"""

from collections.abc import Iterable
import functools

import ferry_decisions as decisions

from ferry_proxy import _change_steps
from ferry_proxy import _control_commands
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members


class Newcomers:
    """Pauses members that joined a group after it was fenced."""

    def __init__(self, group: _groups.Group) -> None:
        self._group = group
        self._old_primary = ""
        self._term = 0
        self._known: set[tuple[str, int]] = set()

    def begin(self, old_primary: str, term: int, paused: Iterable[str]) -> None:
        """Records a fence.

        Args:
            old_primary: The member that is replaced.
            term: The term that the others are paused for.
            paused: The ids of the paused members.
        """
        pools = self._group.pools
        self._old_primary = old_primary
        self._term = term
        self._known = {_key(pools[n].member) for n in paused if n in pools}

    def pause(self, guard: _control_commands.Guard) -> None:
        """Begins to pause members that have joined or restarted since.

        Args:
            guard: Raises an error once this node may send no more commands.
        """
        for name, pool in list(self._group.pools.items()):
            key = _key(pool.member)
            if name == self._old_primary or key in self._known:
                continue
            self._known.add(key)
            command = _links.Pause(self._term)
            fut = decisions.start(self._group.ask(pool, command, guard))
            fut.add_done_callback(functools.partial(self._on_paused, key))

    def _on_paused(
        self, key: tuple[str, int], fut: "decisions.Future[_members.Report]"
    ) -> None:
        exc = fut.exception()
        if isinstance(exc, decisions.RequestFailedError):
            self._known.discard(key)  # The next call tries again.
        outcome = repr(exc) if exc else f"received {fut.result().received}"
        _change_steps.log_step(
            self._group, "newcomer paused", 0, key[0], outcome
        )


def _key(member: _members.Member) -> tuple[str, int]:
    """Returns what differs between two processes of a member."""
    return member.id, member.born
