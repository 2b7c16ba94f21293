"""Load and planned work of a soak test."""

import typing
from collections.abc import Collection

from foxtaillock.soak import hand_overs
from foxtaillock.soak import job_kinds

__all__ = ["Scenario", "create"]


class Scenario(typing.NamedTuple):
    """What a soak test does besides the random faults.

    Attributes:
        kind_names: names of the kinds of jobs.
        worker_count: number of workers.
        series: hand-overs in series, or None.
        wave_interval_s: time between two maintenance waves; 0 for none.
        code_folder: folder whose code the entry VMs run; empty for this one.
    """

    kind_names: Collection[str] = job_kinds.KINDS.keys()
    worker_count: int = 4
    series: hand_overs.HandOverSeries | None = None
    wave_interval_s: float = 0.0
    code_folder: str = ""


def create(
    workers: int = 4,
    hand_over_gaps_s: tuple[float, float] | None = None,
    kill_probability: float = 0.0,
    wave_interval_s: float = 0.0,
    code_folder: str = "",
) -> Scenario:
    """Returns the scenario that options of the command line describe.

    Args:
        workers: number of workers.
        hand_over_gaps_s: shortest and longest time between hand-overs in
            series; none without it.
        kill_probability: probability that such a hand-over is a kill.
        wave_interval_s: time between two maintenance waves; 0 for none.
        code_folder: folder whose code the entry VMs run; empty for this one.
    """
    series = None
    if hand_over_gaps_s is not None:
        series = hand_overs.HandOverSeries(*hand_over_gaps_s, kill_probability)
    return Scenario(
        worker_count=workers,
        series=series,
        wave_interval_s=wave_interval_s,
        code_folder=code_folder,
    )
