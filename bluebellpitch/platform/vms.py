"""Client of the platform's list of live and leaving VMs. The list lags.

Protocol: ``GET /vms`` answers a list of ListedVm.
"""

import msgspec

from bluebellpitch.errors import ProtocolError
from bluebellpitch.http1 import fetch


class ListedVm(msgspec.Struct, frozen=True):
    """One VM that the platform still knows; ``kind`` is ``entry`` or ``endpoint``."""

    name: str
    kind: str
    zone: str
    state: str
    bus: str = ""
    admin: str = ""


async def read_vms(address: str) -> tuple[ListedVm, ...]:
    """Reads the list; raises NotSentError, BrokenError or ProtocolError."""
    response = await fetch(address, "GET", "/vms", timeout_s=2.0)
    if response.status != 200:
        raise ProtocolError(f"the VM list answered {response.status}")
    try:
        return msgspec.json.decode(response.body, type=tuple[ListedVm, ...])
    except msgspec.MsgspecError as error:
        raise ProtocolError(f"the VM list is malformed: {error}") from error
