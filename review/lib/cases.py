"""What the scripts of all cases share: how they run, and what they report."""

import asyncio
import os
import pathlib
import signal
import sys

from review.lib import rules
from review.lib import scene as scenes

__all__ = ["HELD", "NOT_RUN", "TROUBLE", "BROKEN", "judge_twice", "main"]

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Whether the disruption is part of the run.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_LONGEST_S = 110


def main(script, play, **options):
    """Runs a case and exits with its result.

    Args:
        script: path of the case's script; the record is written beside it.
        play: coroutine that takes the scene and returns the result.
        options: options of the scene.
    """
    try:
        code = asyncio.run(_run(script, play, options))
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        code = NOT_RUN
    sys.exit(code)


async def _run(script, play, options):
    scene = scenes.Scene(pathlib.Path(script).parent, **options)
    # Whoever ends the script early leaves no process behind.
    playing = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, playing.cancel
    )
    try:
        async with asyncio.timeout(_LONGEST_S):
            return await play(scene)
    finally:
        await scene.close()


def judge_twice(scene, jobs, kills):
    """Judges the rule TWICE, and returns the result of the case.

    Only runs at the same time break it here. A start after an end `done` is
    noted but not judged, since the rule excuses it if a lease has lapsed.

    Args:
        scene: the installation.
        jobs: ids of the jobs, None for each that was not accepted.
        kills: time, runner of each kill.
    """
    runs = rules.runs_of(scene.runs(), kills)
    overlapping = rules.overlapping_runs(runs)
    again = rules.starts_after_done(runs)
    for one, other in overlapping:
        scene.note("TWICE", why="at the same time", one=one, other=other)
    for one, other in again:
        scene.note("TWICE", why="started after done", one=one, other=other)
    accepted = sum(job is not None for job in jobs)
    scene.note(
        "summary",
        accepted=accepted,
        work_units=len(runs),
        runs=sum(len(each) for each in runs.values()),
        at_the_same_time=len(overlapping),
        started_after_done=len(again),
    )
    print(
        f"{accepted} jobs, {len(runs)} work units; TWICE:"
        f" {len(overlapping)} at the same time, {len(again)} after done"
    )
    if not runs:
        return NOT_RUN
    return BROKEN if overlapping else HELD
