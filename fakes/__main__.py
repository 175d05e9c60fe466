"""Runs one stand-in: ``python -m fakes KIND ADDRESS [name=... slots=... fencing=no]``."""

import asyncio
import sys

from bluebellpitch.http1 import parse_address
from fakes.engine import FakeEngine, Timing
from fakes.link import FakeLink
from fakes.prepared_store import FakeStore
from fakes.service import FakeService


def build(kind: str, values: dict[str, str]):
    """Returns the stand-in of a kind."""
    match kind:
        case "store":
            return FakeStore()
        case "service":
            return FakeService(values.get("name", "service"))
        case "link":
            delay_s = float(values.get("delay_s", "0"))
            return FakeLink(values["listen"], values["target"], delay_s)
        case "engine":
            timing = {k: float(v) for k, v in values.items() if k in Timing.__dataclass_fields__}
            fencing = values.get("fencing", "yes") == "yes"
            slots = int(values.get("slots", "16"))
            return FakeEngine(values.get("name", "engine"), slots, Timing(**timing), fencing)
    raise SystemExit(f"unknown stand-in {kind!r}")


async def run(kind: str, address: str, values: dict[str, str]) -> None:
    """Serves until the process is ended."""
    await build(kind, values).start(*parse_address(address))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], sys.argv[2], dict(arg.split("=", 1) for arg in sys.argv[3:])))
