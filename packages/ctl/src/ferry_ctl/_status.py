"""`rosemaryferryctl status`: an overview of nodes and databases."""

import typing

import click

from ferry_ctl import _api


@click.command()
@click.option(
    "--url",
    "urls",
    multiple=True,
    required=True,
    help="Administration URL of a node; repeat for more nodes.",
)
def status(urls: tuple[str, ...]) -> None:
    """Shows the nodes of a data centre and the databases they serve."""
    pages = []
    for url in urls:
        try:
            pages.append(_api.Api(url).call("GET", "/v1/status").body)
        except _api.ApiCallError as exc:
            click.echo(f"{url}: {exc.message}", err=True)
    _show_nodes(pages)
    for page in pages:
        for database in page["databases"]:
            _show_database(page["node"], database)


def _show_nodes(pages: list[typing.Any]) -> None:
    click.echo(
        f"{'NODE':16} {'DATA CENTRE':12} {'NODES':>5} {'CALLERS':>7} "
        f"{'STORE':6} CONTRACTS"
    )
    for page in pages:
        store = "ok" if page["store_reachable"] else "-"
        contracts = " ".join(
            f"{name}@{version}" for name, version in page["contracts"].items()
        )
        click.echo(
            f"{page['node']:16} {page['data_centre']:12} "
            f"{len(page['nodes']):>5} {page['callers']:>7} {store:6} "
            f"{contracts}"
        )


def _show_database(node: str, database: typing.Any) -> None:
    click.echo(
        f"\n{database['name']} term {database['term']} "
        f"primary {database['primary'] or '(none)'} as {node} sees it"
    )
    for member in database["members"]:
        waiting = " ".join(f"{c}:{n}" for c, n in member["waiting"].items())
        click.echo(
            f"  {member['name']:20} {member['role']:8} "
            f"term {member['term']:<3} at {member['applied']:10} "
            f"age {member['age_s']:7.3f} s  silent {member['silence_s']:6.3f} "
            f"s  connections {member['connections']:<3} waiting {waiting or 0}"
        )
