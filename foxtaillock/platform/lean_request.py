"""Sends a request with few steps, over the connections of a session.

`ClientSession.request` prepares each request for cookies, redirects, proxies,
authentication and tracing. The platform uses none of them, and an owner sends
some hundred requests a second, so this module takes a connection from the
session's connector and lets aiohttp's own request and response use it.
"""

import asyncio
import typing
from collections.abc import Mapping

import aiohttp
from aiohttp import connector as connector_lib
from aiohttp import hdrs
from aiohttp import http
from aiohttp import payload
import multidict
import yarl

__all__ = ["LeanRequest", "send"]


class LeanRequest(aiohttp.ClientRequest):
    """Request whose body is written at once, without a task of its own.

    From Python 3.12 on, aiohttp itself writes a small body at once.
    """

    def update_headers(self, headers: typing.Any) -> None:
        """Sets the headers of the request."""
        host = self.url.host_port_subcomponent or ""
        self.headers = multidict.CIMultiDict(((hdrs.HOST, host),))
        if headers:
            self.headers.extend(headers)

    def update_auto_headers(self, skip_auto_headers: typing.Any) -> None:
        """Adds no headers that only a browser or a human needs."""

    async def send(
        self, conn: connector_lib.Connection
    ) -> aiohttp.ClientResponse:
        """Writes the request to a connection."""
        protocol, body = conn.protocol, self.body
        assert protocol is not None
        if protocol.writing_paused or not isinstance(
            body, payload.BytesPayload
        ):
            return await super().send(conn)
        writer = http.StreamWriter(protocol, self.loop)
        await writer.write_headers(
            f"{self.method} {self.url.raw_path_qs} HTTP/1.1", self.headers
        )
        await body.write(writer)
        await writer.write_eof()
        protocol.start_timeout()
        return self.response_class(
            self.method,
            self.original_url,
            writer=None,
            continue100=None,
            timer=self._timer,
            request_info=self.request_info,
            traces=[],
            loop=self.loop,
            session=self.session,
            stream_writer=writer,
        )


async def send(
    session: aiohttp.ClientSession,
    method: str,
    url: yarl.URL,
    body: bytes | None,
    headers: Mapping[str, str] | None,
    timeout: aiohttp.ClientTimeout,
) -> tuple[int, bytes]:
    """Sends a request and returns the status and the body of its response.

    The whole call is limited by `timeout.total`, and connecting by
    `timeout.sock_connect`. As with a session, a GET request whose connection
    ends without an answer is repeated once: the server may have closed a
    connection that was idle.

    Raises:
        aiohttp.ConnectionTimeoutError: no connection was established in time.
        TimeoutError: no complete response arrived in time.
        aiohttp.ClientError, OSError: any other failure.
    """
    async with asyncio.timeout(timeout.total):
        arguments = (session, method, url, body, headers, timeout)
        try:
            response = await _attempt(*arguments)
        except aiohttp.ClientConnectorError:
            raise
        except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError):
            if method != hdrs.METH_GET:
                raise
            response = await _attempt(*arguments)
        return response.status, await response.read()


async def _attempt(
    session: aiohttp.ClientSession,
    method: str,
    url: yarl.URL,
    body: bytes | None,
    headers: Mapping[str, str] | None,
    timeout: aiohttp.ClientTimeout,
) -> aiohttp.ClientResponse:
    """Sends a request once; returns the response without its body."""
    connector = session.connector
    if connector is None:
        raise aiohttp.ClientConnectionError("the session is closed")
    request = LeanRequest(
        method,
        url,
        data=body,
        headers=headers,
        loop=asyncio.get_running_loop(),
        session=session,
    )
    try:
        connection = await connector.connect(request, [], timeout)
    except TimeoutError as error:
        raise aiohttp.ConnectionTimeoutError(f"{url}") from error
    return await _exchange(request, connection)


async def _exchange(
    request: LeanRequest, connection: connector_lib.Connection
) -> aiohttp.ClientResponse:
    """Sends the request; returns the response once its headers are read."""
    response = None
    try:
        assert connection.protocol is not None
        connection.protocol.set_response_params(
            read_until_eof=True, auto_decompress=False
        )
        response = await request.send(connection)
        return await response.start(connection)
    except BaseException:
        # The connection may still deliver the answer to this request.
        if response is not None:
            response.close()
        connection.close()
        raise
