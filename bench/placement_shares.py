"""Share error of the teams and work conservation, with peaks by turns.

A part of `bench.placement`, whose whole run takes many minutes.
"""

import random

from bench import harness
from bench import placement

__all__ = ["run"]


def run(quick: bool) -> harness.Result:
    """Measures the share runs of `bench.placement`.

    Args:
        quick: whether to run one repeat of the runs with 6 workers, shortened.
    """

    def _trial(rng: random.Random) -> placement.Figures:
        seed = rng.randrange(1_000_000)
        figures = {}
        for name, share_run in placement.SHARE_RUNS.items():
            if quick and share_run.workers > 6:
                continue
            if quick:
                share_run = share_run._replace(rounds=1)
            found = placement.measure_shares(share_run, seed)
            for field, value in found.items():
                figures[f"{name}_{field}"] = value
        return figures

    measurements = harness.repeat(_trial, 1 if quick else 5, warm_ups=0)
    parameters = {
        name: share_run._asdict()
        for name, share_run in placement.SHARE_RUNS.items()
    }
    return harness.result("placement_shares", quick, parameters, measurements)


if __name__ == "__main__":
    harness.main(run)
