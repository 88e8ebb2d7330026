"""Rendezvous hashing (Thaler and Ravishankar, 1998).

Each node gets a score for a key, and the best one wins. A node that comes or
goes moves only its own keys, and all nodes find the same without asking.
"""

import functools
import hashlib


@functools.lru_cache(maxsize=65_536)
def rendezvous_score(key: str, node: str) -> int:
    """Returns the rendezvous score of a node for a key."""
    digest = hashlib.blake2b(f"{key}|{node}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")
