"""Tests of the buffer for a body."""

import random
import unittest

from foxtaillock.platform import body_buffer

_MAX_BYTES = 100_000


class BodyBufferTest(unittest.TestCase):
    """One buffer, filled in parts."""

    def test_parts_are_joined_wrongly(self) -> None:
        rng = random.Random(7)
        for size in (0, 1, 16_384, 16_385, 50_000, _MAX_BYTES):
            for part_bytes in (100, 16_384, 40_000):
                with self.subTest(size=size, part_bytes=part_bytes):
                    content = rng.randbytes(size)
                    buffer = body_buffer.BodyBuffer(_MAX_BYTES)
                    for first in range(0, size, part_bytes):
                        buffer.append(content[first : first + part_bytes])
                    self.assertEqual(buffer.content(), content)
                    buffer.close()

    def test_body_over_the_limit_is_held(self) -> None:
        buffer = body_buffer.BodyBuffer(_MAX_BYTES)
        buffer.append(b"x" * _MAX_BYTES)
        with self.assertRaises(body_buffer.BodyTooLargeError):
            buffer.append(b"x")
        buffer.close()


if __name__ == "__main__":
    unittest.main()
