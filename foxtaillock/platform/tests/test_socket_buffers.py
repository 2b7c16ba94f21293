"""Tests how many answers of a client that does not read pile up."""

import asyncio
import contextlib
import socket
import unittest

from foxtaillock.platform.tests import entry_vm_case

_TIMEOUT_S = 20.0
_QUIET_S = 0.5

_CALL = b"GET /open/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: jobs.example\r\n\r\n"
_CALLS = 12_000
_MIN_ANSWER_BYTES = 100

# Share of a connection in the memory of an entry VM of 200 MB with 1,600 of
# them.
_MAX_HELD_BYTES = 128 * 1024


class SocketBuffersTest(entry_vm_case.EntryVmCase):
    """An entry VM in this process, and a client that does not read."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.vm = await self.start_vm()

    async def _served_without_reading(self) -> int:
        """Returns how many calls are served until no more are."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.setblocking(False)
        await loop.sock_connect(sock, tuple(self.vm.address))
        sending = asyncio.ensure_future(loop.sock_sendall(sock, _CALL * _CALLS))
        served = -1
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_TIMEOUT_S):
                while served != len(self.vm.events("call")):
                    served = len(self.vm.events("call"))
                    await asyncio.sleep(_QUIET_S)
        sending.cancel()
        return served

    async def test_system_holds_megabytes_of_answers(self) -> None:
        served = await self._served_without_reading()
        self.assertLess(served * _MIN_ANSWER_BYTES, _MAX_HELD_BYTES)


if __name__ == "__main__":
    unittest.main()
