"""Rendezvous hashing (Thaler and Ravishankar, 1998).

Each node gets a score for a key, and the best one wins. A node that comes or
goes moves only its own keys, and all nodes find the same without asking.
"""

import functools
import hashlib

DIGEST_BYTES = 8


@functools.lru_cache(maxsize=65_536)
def rendezvous_score(key: str, node: str) -> int:
    """Returns the rendezvous score of a node for a key."""
    digest = hashlib.blake2b(f"{key}|{node}".encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


def stagger_fraction(key: str, node: str) -> float:
    """Returns a node's own share of a delay, from 0 to 1, for a key.

    Nodes that would act at one moment act spread over the delay.
    """
    return rendezvous_score(key, node) / (1 << 8 * DIGEST_BYTES)
