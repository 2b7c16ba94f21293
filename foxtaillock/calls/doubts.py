"""Tries whose end is not known, and when each stops counting.

A try without a whole answer may still run at its runner, also past its
deadline if the runner hangs. It counts against its team until it is provably
over.
"""

import typing
from collections.abc import Collection
from collections.abc import Iterable

from foxtaillock.model import world

__all__ = ["Doubt", "Doubts", "LONGEST_DOUBT_S", "Question"]

LONGEST_DOUBT_S = 600.0

_ASK_INTERVAL_S = 1.0
_MAX_ASKED = 1_000
_RunnerKey = tuple[str, int]


class Doubt(typing.NamedTuple):
    """A try that may still run.

    Attributes:
        team: team that it counts for.
        vm: runner that it was sent to.
        request_id: id of the try.
        due_s: time from which its runner is asked: the deadline that the
            runner got, and an allowance.
    """

    team: str
    vm: world.VmEntry
    request_id: str
    due_s: float


class Question(typing.NamedTuple):
    """Question to a runner which of some requests still run there."""

    vm: world.VmEntry
    request_ids: tuple[str, ...]


class Doubts:
    """Tries in doubt of one entry VM.

    Example:
        >>> vm = world.VmEntry("r", 1, world.VmRole.RUNNER, "a", "", "")
        >>> doubts = Doubts()
        >>> doubts.add(Doubt("nesting", vm, "q1", 5.0))
        >>> doubts.ask(4.9)
        []
        >>> (question,) = doubts.ask(5.0)
        >>> doubts.note_running(question, ["q1"])
        []
        >>> [doubt.request_id for doubt in doubts.note_running(question, [])]
        ['q1']
    """

    def __init__(self) -> None:
        self._by_runner: dict[_RunnerKey, list[Doubt]] = {}
        self._asked_s: dict[_RunnerKey, float] = {}

    def __len__(self) -> int:
        return sum(len(rows) for rows in self._by_runner.values())

    def add(self, doubt: Doubt) -> None:
        """Adds a try that may still run."""
        key = (doubt.vm.name, doubt.vm.incarnation)
        self._by_runner.setdefault(key, []).append(doubt)

    def ask(self, now_s: float) -> list[Question]:
        """Returns the questions that are due.

        A runner is asked again after an interval for as long as it has tries
        in doubt.
        """
        questions = []
        for key, rows in self._by_runner.items():
            due = [row for row in rows if row.due_s <= now_s][:_MAX_ASKED]
            if not due or now_s < self._asked_s.get(key, now_s):
                continue
            self._asked_s[key] = now_s + _ASK_INTERVAL_S
            ids = tuple(row.request_id for row in due)
            questions.append(Question(due[0].vm, ids))
        return questions

    def note_running(
        self, question: Question, running: Collection[str]
    ) -> list[Doubt]:
        """Takes a runner's answer; returns the tries that are over.

        Args:
            question: the question that was asked.
            running: which of its requests run or may yet start.
        """
        over = set(question.request_ids) - set(running)
        key = (question.vm.name, question.vm.incarnation)
        return self._end(key, lambda row: row.request_id in over)

    def note_vms(self, vms: Iterable[world.VmEntry]) -> list[Doubt]:
        """Takes the list of VMs; returns the tries whose process is gone.

        That is so when the list no longer has the runner, or has a later
        incarnation of it. An earlier one only shows that the list lags.
        """
        if not self._by_runner:
            return []
        listed = {vm.name: vm.incarnation for vm in vms}
        ended = []
        for name, incarnation in list(self._by_runner):
            if listed.get(name, incarnation + 1) > incarnation:
                ended += self._end((name, incarnation), lambda _: True)
        return ended

    def expire(self, now_s: float) -> list[Doubt]:
        """Returns the tries that are given up after the longest time."""
        ended = []
        for key in list(self._by_runner):
            ended += self._end(
                key, lambda row: row.due_s + LONGEST_DOUBT_S <= now_s
            )
        return ended

    def _end(
        self, key: _RunnerKey, is_over: typing.Callable[[Doubt], bool]
    ) -> list[Doubt]:
        rows = self._by_runner.pop(key, [])
        ended = [row for row in rows if is_over(row)]
        left = [row for row in rows if not is_over(row)]
        if left:
            self._by_runner[key] = left
        else:
            self._asked_s.pop(key, None)
        return ended
