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
        self._seen_s: dict[str, float] = {}
        self._answered_s: dict[str, float] = {}

    def update(
        self,
        listed: Iterable[world.VmEntry],
        answers: Mapping[str, Answer],
        now_s: float,
    ) -> None:
        """Takes the present list and the answers since the last update."""
        self.listed = {
            vm.name: vm for vm in listed if vm.role is world.VmRole.WORKER
        }
        self._answers = dict(answers)
        for name in self.listed:
            self._seen_s[name] = now_s
            self._answered_s.setdefault(name, now_s)
        for name in answers:
            self._seen_s[name] = now_s
            self._answered_s[name] = now_s

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
        silent_s = now_s - self._answered_s.setdefault(vm, now_s)
        if silent_s >= FAILED_AFTER_S:
            return model.Health.FAILED
        return model.Health.UNKNOWN

    def facts(
        self, vm: str, now_s: float, is_disrupted: bool = False
    ) -> membership.Facts:
        """Returns what the next step of a move needs to know."""
        answer = self._answers.get(vm)
        seen_s = self._seen_s.setdefault(vm, now_s)
        return membership.Facts(
            incarnation=self.incarnation(vm),
            is_gone=now_s - seen_s >= GONE_AFTER_S,
            running_tasks=answer.running_tasks if answer else None,
            is_draining=answer.is_draining if answer else False,
            is_disrupted=is_disrupted,
        )
