"""Base of the tests that run against the fake platform."""

import unittest

from foxtaillock.platform.tests import fake_platform

__all__ = ["PlatformCase"]


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """A platform of its own for each test, without configuration."""

    async def asyncSetUp(self) -> None:
        self.platform = fake_platform.FakePlatform()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.stop)
