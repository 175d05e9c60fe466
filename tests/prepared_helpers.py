"""Deployments on fake servers of the prepared platform, for tests."""

import asyncio

from fakes.prepared_deployment import Deployment, wait_until


async def start_deployment(deployment: Deployment, *pools: str):
    """Starts an endpoint for each pool and one entry VM; returns the endpoints and a client."""
    endpoints = [
        await deployment.add_endpoint(f"i-{number}", pool) for number, pool in enumerate(pools)
    ]
    vm = await deployment.add_vm()
    await wait_until(lambda: len(vm.directory.entries_by_id) == len(pools))
    return endpoints, deployment.add_client(vm)


def in_deployment(body):
    """Decorator: returns a synchronous test that runs ``body`` with a new deployment."""

    async def run_body():
        async with Deployment() as deployment:
            await body(deployment)

    def test():
        asyncio.run(run_body())

    test.__name__ = body.__name__
    test.__doc__ = body.__doc__
    return test
