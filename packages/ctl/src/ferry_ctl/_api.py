"""Client of a node's administration API."""

import json
import typing

import attrs
import click
import urllib3

TIMEOUT_S = 10.0


class ApiCallError(click.ClickException):
    """The node refused the call or could not be reached."""


@attrs.frozen(slots=True)
class Reply:
    """A node's reply to a call.

    Attributes:
        body: The JSON body.
        version: The version given by the ETag; empty if there is none.
    """

    body: typing.Any
    version: str


@attrs.frozen(slots=True)
class Api:
    """The administration API of one node.

    Attributes:
        url: The base URL of the API.
        token: The operators' secret.
        operator: Name of the person calling, for the audit records.
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
        """Makes a call and returns the decoded reply.

        Args:
            method: The HTTP method.
            path: The path below the base URL.
            body: The request body; empty for none.
            if_version: Apply the change only at this version of the document.
            change_id: Idempotency key that makes a repeated change safe.

        Raises:
            ApiCallError: The node refused the call or could not be reached.
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
    """Decorates a command with the options for calling a node."""
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
