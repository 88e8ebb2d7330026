"""`rosemaryferryctl contract`: shows and changes customers' contracts."""

import json
import pathlib
import secrets

import click

from ferry_ctl import _api


@click.group()
def contract() -> None:
    """Shows and changes contracts."""


def _show(api: _api.Api, path: str) -> None:
    click.echo(json.dumps(api.call("GET", path).body, indent=2))


def _document(path: str) -> bytes:
    return pathlib.Path(path).read_bytes()


@contract.command("list")
@_api.api_options
def list_contracts(url: str, token: str, operator: str) -> None:
    """Lists the contracts in force."""
    contracts = _api.Api(url, token, operator).call("GET", "/v1/contracts").body
    click.echo(f"{'CUSTOMER':24} {'VERSION':>7} {'SHARE':>5}  DATABASES")
    for row in contracts:
        click.echo(
            f"{row['customer']:24} {row['version']:>7} {row['share']:>5}  "
            f"{','.join(row['databases'])}"
        )


@contract.command()
@click.argument("customer")
@_api.api_options
def show(customer: str, url: str, token: str, operator: str) -> None:
    """Shows one contract."""
    _show(_api.Api(url, token, operator), f"/v1/contracts/{customer}")


@contract.command()
@click.argument("customer")
@_api.api_options
def history(customer: str, url: str, token: str, operator: str) -> None:
    """Shows a contract's changes and their authors, newest first."""
    _show(_api.Api(url, token, operator), f"/v1/contracts/{customer}/history")


@contract.command()
@click.argument("customer")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@_api.api_options
def create(
    customer: str, path: str, url: str, token: str, operator: str
) -> None:
    """Creates a contract from a JSON document."""
    api = _api.Api(url, token, operator)
    reply = api.call(
        "PUT",
        f"/v1/contracts/{customer}",
        _document(path),
        change_id=secrets.token_hex(8),
    )
    click.echo(f"{customer} is at version {reply.version}")


@contract.command()
@click.argument("customer")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--version", required=True, help="The version to amend.")
@_api.api_options
def amend(
    customer: str,
    path: str,
    version: str,
    url: str,
    token: str,
    operator: str,
) -> None:
    """Replaces a contract if it is still at the given version."""
    api = _api.Api(url, token, operator)
    reply = api.call(
        "PUT",
        f"/v1/contracts/{customer}",
        _document(path),
        if_version=version,
        change_id=secrets.token_hex(8),
    )
    click.echo(f"{customer} is at version {reply.version}")


@contract.command()
@click.argument("customer")
@click.option("--version", required=True, help="The version to delete.")
@_api.api_options
def delete(
    customer: str, version: str, url: str, token: str, operator: str
) -> None:
    """Deletes a contract, so that its customer is no longer served."""
    api = _api.Api(url, token, operator)
    api.call("DELETE", f"/v1/contracts/{customer}", if_version=version)
    click.echo(f"{customer} is deleted")
