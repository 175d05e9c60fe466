"""Runs one fake server: ``python -m fakes KIND ADDRESS [name=... slots=... fencing=no]``."""

import asyncio
import sys

from bluebellpitch.http1 import parse_address
from fakes.endless import EndlessEndpoint
from fakes.engine import FakeEngine, Timing
from fakes.link import FakeLink
from fakes.prepared_store import FakeStore
from fakes.service import FakeService


def build_server(kind: str, options: dict[str, str]):
    """Returns a fake server of the kind; ``options`` are the NAME=VALUE pairs."""
    match kind:
        case "store":
            return FakeStore()
        case "service":
            return FakeService(options.get("name", "service"))
        case "endless":
            endpoint = EndlessEndpoint(options["part"])
            endpoint.is_healthy = True
            return endpoint
        case "link":
            delay_s = float(options.get("delay_s", "0"))
            return FakeLink(options["listen"], options["target"], delay_s)
        case "engine":
            timing = {k: float(v) for k, v in options.items() if k in Timing.__dataclass_fields__}
            fencing = options.get("fencing", "yes") == "yes"
            slots = int(options.get("slots", "16"))
            return FakeEngine(options.get("name", "engine"), slots, Timing(**timing), fencing)
    raise SystemExit(f"unknown kind of fake server: {kind!r}")


async def run(kind: str, address: str, options: dict[str, str]) -> None:
    """Serves until the process is terminated."""
    await build_server(kind, options).start(*parse_address(address))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], sys.argv[2], dict(arg.split("=", 1) for arg in sys.argv[3:])))
