"""VM list over HTTP."""

from collections.abc import Sequence

from foxtaillock.adapters import http_session
from foxtaillock.adapters import registry
from foxtaillock.model import resources
from foxtaillock.model import vms_and_jobs

__all__ = ["HttpVmList", "create_http_vm_list", "parse_vms"]

_ROLES = {str(role): role for role in vms_and_jobs.VmRole}
_STATES = {str(state): state for state in vms_and_jobs.VmState}
_SIZE_LENGTH = len(resources.ZERO)


class HttpVmList(http_session.HttpServiceClient):
    """Client of the VM list; see `interfaces.VmList`.

    Args:
        url: root URL of the service.
        timeout_s: timeout of a request.
        session_factory: creates the client session.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float = 5.0,
        session_factory: http_session.SessionFactory | None = None,
    ) -> None:
        super().__init__(url, timeout_s, session_factory)
        self._entity_tag = ""
        self._vms: Sequence[vms_and_jobs.VmEntry] = ()

    async def list_vms(self) -> Sequence[vms_and_jobs.VmEntry]:
        """Returns the VMs that the platform currently lists.

        The request is conditional: a list that has not changed is not
        transferred again.
        """
        changed = await self._session.get_if_changed(
            f"{self._url}/vms", self._timeout_s, self._entity_tag
        )
        if changed is not None:
            value, tag = changed
            self._vms = tuple(parse_vms(value))
            self._entity_tag = tag
        return self._vms


@registry.register("vm-list", "http")
def create_http_vm_list(
    url: str,
    timeout_s: float = 5.0,
    session_factory: http_session.SessionFactory | None = None,
) -> HttpVmList:
    """Returns a client of the VM list at `url`."""
    return HttpVmList(url, timeout_s, session_factory)


def parse_vms(value: object) -> list[vms_and_jobs.VmEntry]:
    """Returns the entries of a decoded answer, in its order.

    Raises:
        http_session.PlatformAnswerError: entries are malformed or two share a
            name; the message lists every finding with its place.
    """
    findings: list[str] = []
    values = http_session.FieldReader(value, "list", findings).array("vms")
    entries = [
        _parse_entry(each, f"vms[{i}]", findings)
        for i, each in enumerate(values)
    ]
    seen: set[str] = set()
    for i, entry in enumerate(entries):
        if entry.name in seen:
            findings.append(f"vms[{i}].name: duplicate")
        seen.add(entry.name)
    if findings:
        raise http_session.PlatformAnswerError("; ".join(findings))
    return entries


def _parse_entry(
    value: object, place: str, findings: list[str]
) -> vms_and_jobs.VmEntry:
    fields = http_session.FieldReader(value, place, findings)
    role = fields.text("role")
    state = fields.text("state", "live")
    if role not in _ROLES:
        findings.append(f"{place}.role: not known")
    if state not in _STATES:
        findings.append(f"{place}.state: not known")
    return vms_and_jobs.VmEntry(
        fields.text("name"),
        fields.integer("incarnation"),
        _ROLES.get(role, vms_and_jobs.VmRole.ENTRY),
        fields.text("zone"),
        fields.text("rack"),
        fields.text("address"),
        _STATES.get(state, vms_and_jobs.VmState.LEAVING),
        fields.text("service", ""),
        resources.Resources(
            *fields.integers("size", _SIZE_LENGTH, [0] * _SIZE_LENGTH)
        ),
    )
