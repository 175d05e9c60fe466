"""Deployments on the stand-ins of the prepared platform, for tests."""

import asyncio

from fakes.prepared import Deployment, PlatformClient, wait_until


async def start(deployment: Deployment, *pools: str):
    """Starts an endpoint for each pool named, and one entry VM; returns endpoints and a client."""
    endpoints = [
        await deployment.add_endpoint(f"i-{number}", pool) for number, pool in enumerate(pools)
    ]
    vm = await deployment.add_vm()
    await wait_until(lambda: len(vm.directory.entries_by_id) == len(pools))
    return endpoints, PlatformClient(vm.settings)


def in_deployment(body):
    """Returns a plain test function that runs ``body`` inside a deployment."""

    async def run_body():
        async with Deployment() as deployment:
            await body(deployment)

    def test():
        asyncio.run(run_body())

    test.__name__ = body.__name__
    test.__doc__ = body.__doc__
    return test


class Gate:
    """A proxy to the store that can be shut for one VM."""

    def __init__(self, target: str):
        self._target = target.rpartition(":")
        self._server = None
        self._writers = set()
        self.address = ""

    @classmethod
    async def open(cls, target: str) -> "Gate":
        gate = cls(target)
        gate._server = await asyncio.start_server(gate._serve, "127.0.0.1", 0)
        gate.address = f"127.0.0.1:{gate._server.sockets[0].getsockname()[1]}"
        return gate

    async def _serve(self, reader, writer) -> None:
        host, _, port = self._target
        there, back = await asyncio.open_connection(host, int(port))
        self._writers |= {writer, back}
        await asyncio.gather(pump(reader, back), pump(there, writer))

    def shut(self) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()


async def pump(reader, writer) -> None:
    """Copies bytes until either side ends."""
    try:
        while data := await reader.read(65_536):
            writer.write(data)
    except OSError:
        pass
    writer.transport.abort()
