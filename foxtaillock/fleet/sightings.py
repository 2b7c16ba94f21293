"""What the owner of the fleet has seen of each VM, and when."""

import typing
from collections.abc import Iterable
from collections.abc import Mapping

from foxtaillock.fleet import membership
from foxtaillock.fleet import model
from foxtaillock.model import world

__all__ = ["Answer", "Sightings"]

FAILED_AFTER_S = 10.0
GONE_AFTER_S = 120.0


class Answer(typing.NamedTuple):
    """What a VM said of itself.

    Attributes:
        incarnation: incarnation that answered.
        running_tasks: tasks that run.
        is_draining: whether it takes no new work.
    """

    incarnation: int
    running_tasks: int
    is_draining: bool


class Sightings:
    """Latest list and answers; only durations are kept beside them.

    Example:
        >>> sightings = Sightings()
        >>> sightings.update([], {}, 0.0)
        >>> sightings.facts("v1", 0.0).is_gone
        False
    """

    def __init__(self) -> None:
        self.listed: dict[str, world.VmEntry] = {}
        self._answers: dict[str, Answer] = {}
        self._updated_s = float("-inf")
        self._seen_s: dict[str, float] = {}
        self._answered_s: dict[str, float] = {}
        self._changed: set[str] = set()

    def update(
        self,
        listed: Iterable[world.VmEntry],
        answers: Mapping[str, Answer],
        now_s: float,
    ) -> None:
        """Takes the present list and the answers since the last update."""
        before, answered = self.listed, self._answers
        worker = world.VmRole.WORKER
        self.listed = {vm.name: vm for vm in listed if vm.role is worker}
        self._answers = dict(answers)
        for name in _differing(before, self.listed):
            self._changed.add(name)
            self._answered_s.setdefault(name, now_s)
        self._changed.update(_differing(answered, self._answers))
        for name in answered.keys() - self._answers.keys():
            self._answered_s[name] = self._updated_s
            self._note_absent(name)
        for name in before.keys() - self.listed.keys():
            self._note_absent(name)
        self._updated_s = now_s

    def _note_absent(self, name: str) -> None:
        self._changed.add(name)
        if name not in self.listed and name not in self._answers:
            self._seen_s[name] = self._updated_s

    def take_changed(self) -> set[str]:
        """Returns the VMs that changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def is_draining(self, vm: str) -> bool:
        """Returns whether a VM is known to take no new work."""
        answer = self._answers.get(vm)
        return answer is not None and answer.is_draining

    def incarnation(self, vm: str) -> int:
        """Returns the highest incarnation that is seen; zero if none."""
        entry = self.listed.get(vm)
        answer = self._answers.get(vm)
        return max(
            entry.incarnation if entry else 0,
            answer.incarnation if answer else 0,
        )

    def health(self, vm: str, incarnation: int, now_s: float) -> model.Health:
        """Returns the health of one incarnation of a VM.

        It serves only if it answers under this incarnation and is neither
        draining nor leaving; a VM that drains has not failed.
        """
        answer = self._answers.get(vm)
        entry = self.listed.get(vm)
        is_leaving = entry is not None and entry.state is world.VmState.LEAVING
        if answer is not None and answer.incarnation == incarnation:
            if is_leaving:
                return model.Health.FAILED
            is_out = answer.is_draining
            return model.Health.UNKNOWN if is_out else model.Health.SERVING
        if now_s >= self.fails_at_s(vm, now_s):
            return model.Health.FAILED
        return model.Health.UNKNOWN

    def fails_at_s(self, vm: str, now_s: float) -> float:
        """Returns when a VM counts as failed if it stays silent."""
        answered_s = self._updated_s
        if vm not in self._answers:
            answered_s = self._answered_s.setdefault(vm, now_s)
        return answered_s + FAILED_AFTER_S

    def facts(
        self, vm: str, now_s: float, is_disrupted: bool = False
    ) -> membership.Facts:
        """Returns what the next step of a move needs to know."""
        answer = self._answers.get(vm)
        seen_s = self._updated_s
        if answer is None and vm not in self.listed:
            seen_s = self._seen_s.setdefault(vm, now_s)
        return membership.Facts(
            incarnation=self.incarnation(vm),
            is_gone=now_s - seen_s >= GONE_AFTER_S,
            running_tasks=answer.running_tasks if answer else None,
            is_draining=answer.is_draining if answer else False,
            is_disrupted=is_disrupted,
        )


def _differing(
    before: Mapping[str, typing.Any], after: Mapping[str, typing.Any]
) -> list[str]:
    """Returns the names whose value in `after` is new or another one."""
    return [
        name
        for name, value in after.items()
        if (old := before.get(name)) is not value and old != value
    ]
