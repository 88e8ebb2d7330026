"""The entries of a node's blackboard."""

import ferry_decisions as decisions

NODES: decisions.Key[tuple[decisions.Node, ...]] = decisions.Key("nodes", ())
"""The nodes that are live, this one included."""

LEAVING: decisions.Key[frozenset[str]] = decisions.Key("leaving", frozenset())
"""Endpoints, as `host:port`, and nodes, by name, that are leaving."""

DATABASES: decisions.Key[dict[str, decisions.Database]] = decisions.Key(
    "databases", {}
)
"""The databases, by name."""

RECORDS: decisions.Key[dict[str, decisions.Record]] = decisions.Key(
    "records", {}
)
"""The record of each database, by name."""

SERVED: decisions.Key[frozenset[tuple[str, str]]] = decisions.Key(
    "served", frozenset()
)
"""Pairs of a database and a member that this node serves."""

STORE_READER: decisions.Key[bool] = decisions.Key("store_reader", False)
"""Whether this node is one of the few that ask the store."""
