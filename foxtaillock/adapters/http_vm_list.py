"""List of VMs over HTTP."""

from collections.abc import Sequence

from foxtaillock.adapters import http_session
from foxtaillock.adapters import registry
from foxtaillock.model import resources
from foxtaillock.model import world

__all__ = ["HttpVmList", "create_http_vm_list", "parse_vms"]

_ROLES = {str(role): role for role in world.VmRole}
_STATES = {str(state): state for state in world.VmState}
_SIZE_FIELDS = len(resources.ZERO)


class HttpVmList(http_session.HttpClient):
    """Client of the list; see `interfaces.VmList`.

    Args:
        url: root URL of the list.
        timeout_s: longest wait for an answer.
        session_factory: makes the client session.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float = 5.0,
        session_factory: http_session.SessionFactory | None = None,
    ) -> None:
        super().__init__(url, timeout_s, session_factory)
        self._tag = ""
        self._vms: Sequence[world.VmEntry] = ()

    async def list_vms(self) -> Sequence[world.VmEntry]:
        """Returns the VMs as far as the platform knows.

        A list that has not changed is not sent again.
        """
        changed = await self._session.get_if_changed(
            f"{self._url}/vms", self._timeout_s, self._tag
        )
        if changed is not None:
            value, tag = changed
            self._vms = tuple(parse_vms(value))
            self._tag = tag
        return self._vms


@registry.register("vm-list", "http")
def create_http_vm_list(
    url: str,
    timeout_s: float = 5.0,
    session_factory: http_session.SessionFactory | None = None,
) -> HttpVmList:
    """Returns a client of the list at `url`."""
    return HttpVmList(url, timeout_s, session_factory)


def parse_vms(value: object) -> list[world.VmEntry]:
    """Returns the rows of a decoded answer, in its order.

    Raises:
        http_session.PlatformAnswerError: rows are malformed or two share a
            name; the message has every finding with its place.
    """
    findings: list[str] = []
    rows = http_session.Checker(value, "list", findings).array("vms")
    entries = [
        _parse_row(row, f"vms[{i}]", findings) for i, row in enumerate(rows)
    ]
    seen: set[str] = set()
    for i, entry in enumerate(entries):
        if entry.name in seen:
            findings.append(f"vms[{i}].name: stands twice")
        seen.add(entry.name)
    if findings:
        raise http_session.PlatformAnswerError("; ".join(findings))
    return entries


def _parse_row(row: object, place: str, findings: list[str]) -> world.VmEntry:
    fields = http_session.Checker(row, place, findings)
    role = fields.text("role")
    state = fields.text("state", "live")
    if role not in _ROLES:
        findings.append(f"{place}.role: not known")
    if state not in _STATES:
        findings.append(f"{place}.state: not known")
    return world.VmEntry(
        fields.text("name"),
        fields.integer("incarnation"),
        _ROLES.get(role, world.VmRole.ENTRY),
        fields.text("zone"),
        fields.text("rack"),
        fields.text("address"),
        _STATES.get(state, world.VmState.LEAVING),
        fields.text("service", ""),
        resources.Resources(
            *fields.integers("size", _SIZE_FIELDS, [0] * _SIZE_FIELDS)
        ),
    )
