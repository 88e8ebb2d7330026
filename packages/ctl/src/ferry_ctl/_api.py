"""Calls of the administration API of a node."""

import json
import typing

import attrs
import click
import urllib3

TIMEOUT_S = 10.0


class ApiCallError(click.ClickException):
    """The node refused, or could not be asked."""


@attrs.frozen(slots=True)
class Reply:
    """What a node answered.

    Attributes:
        body: The JSON body.
        version: The version that the ETag names; empty without one.
    """

    body: typing.Any
    version: str


@attrs.frozen(slots=True)
class Api:
    """The administration API of one node.

    Attributes:
        url: Its base URL.
        token: The operators' secret.
        operator: Who asks, for the audit records.
    """

    url: str
    token: str = attrs.field(default="", repr=False)
    operator: str = "unknown"

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        if_version: str = "",
        change_id: str = "",
    ) -> Reply:
        """Makes one call.

        Raises:
            ApiCallError: The node refused, or could not be asked.
        """
        headers = {
            "Authorization": f"Bearer {self.token}",
            "X-Operator": self.operator,
        }
        if if_version:
            headers["If-Match"] = f'"{if_version}"'
        if change_id:
            headers["Idempotency-Key"] = change_id
        try:
            reply = urllib3.request(
                method,
                self.url.rstrip("/") + path,
                body=body or None,
                headers=headers,
                timeout=TIMEOUT_S,
                retries=False,
            )
            document = json.loads(reply.data)
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            raise ApiCallError(f"{self.url}: {exc!r}") from exc
        if reply.status >= 400:
            raise ApiCallError(_error_text(document))
        version = reply.headers.get("ETag", "").strip('"')
        return Reply(document, version)


def _error_text(document: typing.Any) -> str:
    lines = [f"{document.get('error')}: {document.get('detail')}"]
    lines += [f"  {mistake}" for mistake in document.get("mistakes", [])]
    return "\n".join(lines)


def api_options(command: typing.Any) -> typing.Any:
    """Adds the options that every call of a node needs."""
    options = [
        click.option(
            "--url",
            envvar="ROSEMARYFERRY_URL",
            required=True,
            help="Administration URL of any node.",
        ),
        click.option(
            "--token",
            envvar="ROSEMARYFERRY_TOKEN",
            default="",
            help="The operators' secret.",
        ),
        click.option(
            "--operator",
            envvar="ROSEMARYFERRY_OPERATOR",
            default="unknown",
            help="Your name, for the audit records.",
        ),
    ]
    for option in reversed(options):
        command = option(command)
    return command
