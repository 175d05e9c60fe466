"""The bus between entry VMs: one PULL socket to receive, one PUSH socket for each peer.

Queues are bounded and messages to a peer that does not read are dropped: every protocol on the
bus repeats what matters. zmq's own heartbeats replace connections that have gone silent.
"""

import asyncio
from collections.abc import Callable

import zmq

from bluebellpitch.clock import HybridClock
from bluebellpitch.constants import PEER_SEND_QUEUE_SIZE
from bluebellpitch.errors import ProtocolError
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.messages import Envelope, Message, decode_envelope, encode_envelope

LINGER_MS = 200
HEARTBEAT_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
RECEIVED_AT_ONCE = 100
RECHECK_S = 0.5

Receive = Callable[[str, Message], None]


class PeerBus:
    """Owns the sockets. ``receive`` is called for each message, from the bus's own task.

    The task waits for the socket's descriptor, and then reads all that is there: one wake-up for
    many messages.
    """

    def __init__(self, vm_key: str, clock: HybridClock, metrics: Metrics, receive: Receive):
        self.vm_key = vm_key
        self._clock = clock
        self._metrics = metrics
        self._receive = receive
        self._context = zmq.Context(io_threads=1)
        self._pull = self._context.socket(zmq.PULL)
        self._pushes_by_address: dict[str, zmq.Socket] = {}
        self._addresses_by_vm: dict[str, str] = {}

    def bind(self, address: str) -> None:
        """Starts to receive."""
        self._pull.setsockopt(zmq.LINGER, LINGER_MS)
        self._pull.setsockopt(zmq.RCVHWM, PEER_SEND_QUEUE_SIZE)
        self._pull.bind(f"tcp://{address}")

    def know(self, vm_key: str, address: str) -> None:
        """Notes the address of a VM."""
        self._addresses_by_vm[vm_key] = address

    def send(self, vm_key: str, message: Message) -> None:
        """Sends to one VM; to itself without a socket."""
        if vm_key == self.vm_key:
            asyncio.get_running_loop().call_soon(self._receive, vm_key, message)
            return
        address = self._addresses_by_vm.get(vm_key)
        if address is None:
            self._metrics.peer_dropped.inc()
            return
        self.send_to_address(address, message)

    def send_to_address(self, address: str, message: Message) -> None:
        """Sends to whoever listens there."""
        data = encode_envelope(Envelope(self.vm_key, self._clock.stamp(), message))
        try:
            self._push(address).send(data, zmq.NOBLOCK)
            self._metrics.peer_bytes.inc(len(data))
        except zmq.ZMQError:
            self._metrics.peer_dropped.inc()

    def _push(self, address: str) -> zmq.Socket:
        if address not in self._pushes_by_address:
            socket = self._context.socket(zmq.PUSH)
            socket.setsockopt(zmq.LINGER, LINGER_MS)
            socket.setsockopt(zmq.SNDHWM, PEER_SEND_QUEUE_SIZE)
            # The sending side alone has to notice that a connection has gone silent.
            socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
            socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
            socket.connect(f"tcp://{address}")
            self._pushes_by_address[address] = socket
        return self._pushes_by_address[address]

    async def run(self) -> None:
        """Receives until cancelled."""
        loop, readable = asyncio.get_running_loop(), asyncio.Event()
        descriptor = self._pull.getsockopt(zmq.FD)
        loop.add_reader(descriptor, readable.set)
        rechecking = asyncio.create_task(recheck(readable))
        try:
            while True:
                readable.clear()
                if not await self._receive_waiting():
                    await readable.wait()
        finally:
            rechecking.cancel()
            loop.remove_reader(descriptor)

    async def _receive_waiting(self) -> bool:
        """Takes messages in that have come; tells whether there may be more."""
        for _ in range(RECEIVED_AT_ONCE):
            try:
                data = self._pull.recv(zmq.NOBLOCK)
            except zmq.Again:
                return False
            self._take(data)
        await asyncio.sleep(0)
        return True

    def _take(self, data: bytes) -> None:
        try:
            envelope = decode_envelope(data)
        except ProtocolError as error:
            log("WARNING", "peer_message_malformed", error=error)
            return
        self._clock.observe(envelope.stamp)
        self._metrics.peer_received.inc()
        self._receive(envelope.sender, envelope.message)

    def close(self) -> None:
        """Closes all sockets; what was sent just before still leaves."""
        for socket in self._pushes_by_address.values():
            socket.close()
        self._pull.close()
        self._context.term()


async def recheck(readable: asyncio.Event) -> None:
    """Wakes the reader now and then: a descriptor that was read elsewhere does not tell again."""
    while True:
        await asyncio.sleep(RECHECK_S)
        readable.set()
