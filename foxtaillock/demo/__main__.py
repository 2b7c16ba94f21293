"""Program of the demonstration: `python -m foxtaillock.demo [--serve]`."""

import asyncio
import pathlib
import sys
import typing

import aiohttp
import capnp
from loguru import logger

from foxtaillock.demo import client
from foxtaillock.demo import fleet as fleets
from foxtaillock.demo import walkthrough as walkthroughs
from foxtaillock.notes import parser

__all__ = ["main"]

_NOTE_PATH = pathlib.Path(__file__).parents[2] / "examples" / "kestrelbend.yaml"


def main(arguments: list[str]) -> int:
    """Runs the demonstration.

    Returns:
        Exit code: 0 if every check passed, 1 if not, 2 if it could not start.
    """
    serve = "--serve" in arguments
    if set(arguments) - {"--serve"}:
        print("usage: scripts/demo [--serve]", file=sys.stderr)
        return 2
    logger.remove()
    logger.add(sys.stderr, level="WARNING")
    return asyncio.run(_run(serve))


async def _run(serve: bool) -> int:
    note = _NOTE_PATH.read_text(encoding="utf-8")
    parsed = parser.parse(note)
    if isinstance(parsed, parser.InvalidNote):
        print(f"{_NOTE_PATH.name}: {parsed.findings}", file=sys.stderr)
        return 2
    bodies = _bodies_by_kind(parsed)
    results = walkthroughs.Results()
    async with capnp.kj_loop():
        fleet = await fleets.start_fleet(
            sorted(bodies["service"]), bodies["pool"]
        )
        try:
            async with aiohttp.ClientSession() as session:
                admin = client.Client(session, fleet.urls, fleet.operator_key)
                walkthrough = walkthroughs.Walkthrough(fleet, admin, results)
                if serve:
                    await _serve(fleet, walkthrough, note)
                else:
                    await walkthrough.run(note, sorted(bodies["team"]))
        finally:
            await fleet.close()
    return _print_summary(results)


def _bodies_by_kind(
    note: parser.ParsedNote,
) -> dict[str, dict[str, typing.Any]]:
    """Returns the bodies of the objects in a note by kind and name."""
    bodies: dict[str, dict[str, typing.Any]] = {}
    for entry in note.entries:
        bodies.setdefault(entry.kind, {})[entry.name] = entry.body
    return bodies


async def _serve(
    fleet: fleets.DemoFleet, walkthrough: walkthroughs.Walkthrough, note: str
) -> None:
    """Accepts the note and keeps the fleet running until interrupted."""
    await walkthrough.accept_note(note)
    print(f"export FOXTAILLOCK_SERVER={fleet.urls[0]}")
    print(f"export FOXTAILLOCK_OPERATOR_KEY={fleet.operator_key}", flush=True)
    await asyncio.Event().wait()


def _print_summary(results: walkthroughs.Results) -> int:
    counts = results.counts
    names = ("accepted", "ran", "refused", "unknown", "lost")
    print(", ".join(f"{name} {counts[name]}" for name in names))
    if results.violations:
        print(f"{len(results.violations)} promises broken")
        return 1
    print("every promise shown here held")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
