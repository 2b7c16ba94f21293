"""Tests of the settings of the memory allocator."""

import subprocess
import sys
import unittest

_PROGRAM = """
import resource, socket, sys
from foxtaillock.platform import allocator

if sys.argv[1] == "kept" and not allocator.keep_read_buffers():
    sys.exit("not applied")
sender, receiver = socket.socketpair()
before = resource.getrusage(resource.RUSAGE_SELF).ru_minflt
for _ in range(2_000):
    sender.send(bytes(100))
    receiver.recv(256 * 1024)
print(resource.getrusage(resource.RUSAGE_SELF).ru_minflt - before)
"""


def _page_faults(mode: str) -> int:
    """Returns the page faults of 2,000 reads in a new process."""
    command = [sys.executable, "-c", _PROGRAM, mode]
    return int(subprocess.check_output(command, text=True, timeout=30))


class AllocatorTest(unittest.TestCase):
    """Tests of `keep_read_buffers`."""

    def test_each_read_of_a_socket_maps_its_buffer_anew(self) -> None:
        self.assertGreater(_page_faults("default"), 2_000)
        self.assertLess(_page_faults("kept"), 100)
