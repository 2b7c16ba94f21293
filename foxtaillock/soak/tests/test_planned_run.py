"""Short run of planned work under raw clients."""

import unittest

from foxtaillock.soak import planned_run

# Planned work of this seed cut two submissions once, whose bodies ended late.
_SEED = 5

_DURATION_S = 7.0
_VMS = 3
_CLIENTS = 24


class PlannedRunTest(unittest.IsolatedAsyncioTestCase):
    """Runs real processes that are stopped, reloaded and reconfigured."""

    async def test_planned_work_cuts_requests_that_were_sent_whole(
        self,
    ) -> None:
        findings, planned = await planned_run.run_seed(
            _SEED, _DURATION_S, _VMS, _CLIENTS
        )
        self.assertEqual(findings, [])
        self.assertGreater(planned.endings["answered"], _CLIENTS)
        self.assertGreater(len(planned.works), 1)
