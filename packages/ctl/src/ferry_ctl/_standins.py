"""`rosemaryferryctl stand-ins`: a simulated platform with databases for nodes.

The stand-ins run in this process. The nodes are separate processes, started by
the user with the settings files that this command writes.
"""

import json
import pathlib
import signal
import socket
import threading

from absl import logging
import click
import ferry_node as node
import ferry_standins as standins

CUSTOMERS = {"lone-star": 20, "blue-mountain": 5}
PASSWORD = "demo-password"  # noqa: S105 - for stand-ins on loopback only


def _free_ports(count: int) -> list[int]:
    """Returns ports on loopback that are free at the moment."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def _settings_text(
    fleet: standins.Fleet, name: str, centre: str, ports: list[int]
) -> str:
    callers, peers, probes, admin = ports
    settings = {
        "node": name,
        "data_centre": centre,
        "host": "127.0.0.1",
        "peer_port": peers,
        "probe_port": probes,
        "admin_port": admin,
        "admin_token": standins.ADMIN_TOKEN,
        "store_url": fleet.kv.url,
        "vm_list_url": fleet.vms.url,
        "callers": {"host": "127.0.0.1", "port": callers},
    }
    return f"// Settings of {name}, on stand-ins.\n" + json.dumps(
        settings, indent=2
    )


@click.command("stand-ins")
@click.option(
    "--dir",
    "directory",
    required=True,
    type=click.Path(file_okay=False),
    help="Directory for the nodes' settings files.",
)
@click.option(
    "--nodes", default=1, show_default=True, help="Nodes per data centre."
)
def stand_ins(directory: str, nodes: int) -> None:
    """Runs the stand-ins until Ctrl-C or SIGTERM."""
    logging.set_verbosity(logging.ERROR)
    fleet = standins.Fleet(standins.FleetPlan(nodes_per_centre=0))
    for customer, share in CUSTOMERS.items():
        fleet.add_contract(customer, {"clerk": PASSWORD}, share)
    folder = pathlib.Path(directory)
    folder.mkdir(parents=True, exist_ok=True)
    for centre in fleet.plan.data_centres:
        for index in range(nodes):
            _write_node(fleet, folder, f"{centre}-{index + 1}", centre)
    for member in fleet.members["plates"].values():
        click.echo(f"{member.name}: 127.0.0.1:{member.port}")
    (folder / "ready").write_text("ready\n")
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    stopped.wait()
    fleet.close()


def _write_node(
    fleet: standins.Fleet, folder: pathlib.Path, name: str, centre: str
) -> None:
    """Writes a node's settings file and adds its VM to the VM list."""
    ports = _free_ports(4)
    text = _settings_text(fleet, name, centre, ports)
    (folder / f"{name}.jsonc").write_text(text)
    fleet.vms.put(
        node.Vm(
            name=name,
            kind="entry",
            state="live",
            data_centre=centre,
            host="127.0.0.1",
            port=ports[1],
            probe_port=ports[2],
        )
    )
