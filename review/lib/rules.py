"""Checks of the users' rules on what the runners of a case have logged."""

import collections

__all__ = ["overlapping_runs", "runs_of", "starts_after_done"]


def runs_of(events, kills):
    """Returns the runs of each work unit, in the order of their starts.

    Args:
        events: events that the runners have logged.
        kills: time, runner of each kill.
    """
    runs = collections.defaultdict(list)
    found = {}
    for event in sorted(events, key=lambda each: each["at"]):
        boot = event["runner"], event["born"]
        if event["event"] == "start":
            run = {
                "task": event["task"],
                "run": event["run"],
                "boot": boot,
                "start": event["at"],
                "end": None,
                "how": "",
                "number": 0,
                "noted": None,
            }
            found[boot, event["task"], event["run"]] = run
            runs[event["task"]].append(run)
        elif event["event"] == "end":
            run = found[boot, event["task"], event["run"]]
            run["end"], run["how"] = event["at"], event["how"]
            run["number"] = event["number"]
        elif event["event"] == "forgotten":
            for run in found.values():
                if run["boot"] == boot and run["number"] in event["numbers"]:
                    run["noted"] = event["at"]
    for run in found.values():
        if run["end"] is None:
            killed = [
                at
                for at, runner in kills
                if runner == run["boot"][0] and at >= run["start"]
            ]
            run["end"] = min(killed, default=float("inf"))
            run["how"] = "lost" if killed else ""
    return runs


def overlapping_runs(runs):
    """Returns pairs of runs of one work unit that went on at the same time."""
    return [
        (one, other)
        for of_task in runs.values()
        for number, one in enumerate(of_task)
        for other in of_task[number + 1 :]
        if other["start"] < one["end"]
    ]


def starts_after_done(runs):
    """Returns pairs of a run that ended `done`, and a later start.

    Only ends that were taken note of count: a `last_seen` has reached them.
    """
    return [
        (one, other)
        for of_task in runs.values()
        for one in of_task
        for other in of_task
        if one["how"] == "done"
        and one["noted"] is not None
        and other["start"] > one["end"]
    ]
