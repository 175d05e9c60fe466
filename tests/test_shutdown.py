"""What a program leaves behind when it ends."""

import asyncio
import gc

from fakes.prepared_deployment import Deployment, KeepAliveClient


def test_stopped_vm_leaves_no_connection_open():
    async def scenario():
        async with Deployment() as deployment:
            await deployment.add_endpoint("i-0", "app")
            client = KeepAliveClient((await deployment.add_vm()).settings)
            assert (await client.call("GET", "/look/1", "r1")).status == 200
            client.disconnect()
        await asyncio.sleep(0.05)
        gc.collect()
        writers = [item for item in gc.get_objects() if isinstance(item, asyncio.StreamWriter)]
        own_loop = asyncio.get_running_loop()
        own = [writer for writer in writers if writer.transport._loop is own_loop]
        # A server side ends with its loop; client sides have the reader that counts bytes.
        left = [w for w in own if not w.is_closing() and hasattr(w._reader, "received_bytes")]
        assert left == []

    asyncio.run(scenario())
