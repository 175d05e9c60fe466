"""Message bus between entry VMs: one ZeroMQ PULL socket to receive, one PUSH socket per peer.

Queues are bounded, and messages to a peer that does not read are dropped: every protocol on the
bus resends what it cannot lose. ZeroMQ's heartbeats detect and replace dead connections.
"""

import asyncio
from collections.abc import Callable, Iterable

import zmq

from bluebellpitch.clock import HybridClock
from bluebellpitch.constants import PEER_SEND_QUEUE_SIZE
from bluebellpitch.errors import ProtocolError
from bluebellpitch.logs import log
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.messages import (
    MAX_MESSAGE_BYTES,
    Envelope,
    Message,
    decode_envelope,
    encode_envelope,
)

NEAR_HEARTBEAT_INTERVAL_MS = 1_000
# Few messages go to VMs of other zones, of which there may be hundreds.
FAR_HEARTBEAT_INTERVAL_MS = 5_000
HEARTBEAT_TIMEOUT_MS = 3_000
RECEIVE_BATCH_MESSAGES = 100
RECEIVE_CHECK_INTERVAL_S = 0.5

MessageHandler = Callable[[str, Message], None]


class PeerBus:
    """Owns the sockets. ``on_message`` is called for each message, while ``run`` runs.

    The file descriptor of the socket wakes the loop, which then reads all queued messages: one
    wake-up handles many messages.

    ``is_near`` tells by address with which VMs dead connections must be detected soon.
    """

    def __init__(
        self,
        vm_key: str,
        clock: HybridClock,
        metrics: Metrics,
        on_message: MessageHandler,
        is_near: Callable[[str], bool] = lambda address: True,
    ):
        self._is_near = is_near
        self.vm_key = vm_key
        self._clock = clock
        self._metrics = metrics
        self._on_message = on_message
        self._context = zmq.Context(io_threads=1)
        self._receive_socket = self._context.socket(zmq.PULL)
        self._send_sockets_by_address: dict[str, zmq.Socket] = {}
        self._addresses_by_vm: dict[str, str] = {}
        self._next_batch: asyncio.Handle | None = None

    def bind(self, address: str) -> None:
        """Binds the receiving socket to ``host:port``; raises OSError."""
        self._receive_socket.setsockopt(zmq.LINGER, 0)
        self._receive_socket.setsockopt(zmq.RCVHWM, PEER_SEND_QUEUE_SIZE)
        self._receive_socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        try:
            self._receive_socket.bind(f"tcp://{address}")
        except zmq.ZMQError as error:
            raise OSError(error.errno, f"{address}: {error.strerror}") from error

    def register_address(self, vm_key: str, address: str) -> None:
        """Sets the address to which messages for a VM are sent."""
        self._addresses_by_vm[vm_key] = address

    def send(self, vm_key: str, message: Message) -> None:
        """Sends to a VM by key. Messages to this VM itself bypass the sockets."""
        if vm_key == self.vm_key:
            asyncio.get_running_loop().call_soon(self._deliver, vm_key, message)
            return
        address = self._addresses_by_vm.get(vm_key)
        if address is None:
            self._metrics.peer_dropped.inc()
            return
        self.send_to_address(address, message)

    def send_to_address(self, address: str, message: Message) -> None:
        """Sends to the VM that listens on an address, whatever its key."""
        self.send_to_addresses((address,), message)

    def send_to_addresses(self, addresses: Iterable[str], message: Message) -> None:
        """Sends the same message to several VMs; encodes it once."""
        data = encode_envelope(Envelope(self.vm_key, self._clock.stamp(), message))
        for address in addresses:
            self._send_data(address, data)

    def _send_data(self, address: str, data: bytes) -> None:
        try:
            self._send_socket(address).send(data, zmq.NOBLOCK)
            self._metrics.peer_bytes.inc(len(data))
        except zmq.ZMQError:
            self._metrics.peer_dropped.inc()

    def _send_socket(self, address: str) -> zmq.Socket:
        if address not in self._send_sockets_by_address:
            socket = self._context.socket(zmq.PUSH)
            socket.setsockopt(zmq.SNDHWM, PEER_SEND_QUEUE_SIZE)
            # Only the sending side needs to detect a dead connection.
            is_near = self._is_near(address)
            interval_ms = NEAR_HEARTBEAT_INTERVAL_MS if is_near else FAR_HEARTBEAT_INTERVAL_MS
            socket.setsockopt(zmq.HEARTBEAT_IVL, interval_ms)
            socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
            socket.connect(f"tcp://{address}")
            self._send_sockets_by_address[address] = socket
        return self._send_sockets_by_address[address]

    async def run(self) -> None:
        """Receives messages until cancelled."""
        loop = asyncio.get_running_loop()
        descriptor = self._receive_socket.getsockopt(zmq.FD)
        # Read in the callback itself: until the descriptor's event is consumed, each turn of the
        # loop reports it again.
        loop.add_reader(descriptor, self._receive_batch)
        try:
            while True:
                # The descriptor is edge-triggered: once its event was consumed elsewhere, it does
                # not signal again for messages that are already queued.
                self._receive_batch()
                await asyncio.sleep(RECEIVE_CHECK_INTERVAL_S)
        finally:
            loop.remove_reader(descriptor)
            if self._next_batch is not None:
                self._next_batch.cancel()

    def _receive_batch(self) -> None:
        """Handles one batch of queued messages, and the next in the loop's next turn."""
        self._next_batch = None
        for _ in range(RECEIVE_BATCH_MESSAGES):
            try:
                data = self._receive_socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._handle_received(data)
        self._next_batch = asyncio.get_running_loop().call_soon(self._receive_batch)

    def _handle_received(self, data: bytes) -> None:
        try:
            envelope = decode_envelope(data)
        except ProtocolError as error:
            log("WARNING", "peer_message_malformed", error=error)
            return
        self._clock.observe(envelope.stamp)
        self._metrics.peer_received.inc()
        self._deliver(envelope.sender, envelope.message)

    def _deliver(self, sender: str, message: Message) -> None:
        """Handles one message; one that fails is logged and costs no other."""
        try:
            self._on_message(sender, message)
        except Exception as error:  # noqa: BLE001
            kind = type(message).__name__
            log("ERROR", "peer_message_failed", kind=kind, sender=sender, error=repr(error))

    def close(self, linger_s: float = 0.0) -> None:
        """Closes all sockets; messages still queued are sent for up to ``linger_s``."""
        for socket in self._send_sockets_by_address.values():
            socket.close(linger=round(linger_s * 1000))
        self._receive_socket.close()
        self._context.term()
