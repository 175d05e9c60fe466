"""Tells the balancer whether this VM is ready, and operators its metrics."""

from collections.abc import Callable

from bluebellpitch.callers.routed_response import refuse_malformed_request
from bluebellpitch.http1 import HttpLimits, HttpServer, parse_address

METRICS_HEADERS = [("Content-Type", "text/plain; version=0.0.4")]
READINESS_HEADERS = [("Content-Type", "text/plain")]


class StatusServers:
    """Two HTTP servers; ``render_metrics`` returns the metrics as text."""

    def __init__(self, is_ready: Callable[[], bool], render_metrics: Callable[[], bytes]):
        self._is_ready = is_ready
        self._render_metrics = render_metrics
        limits = HttpLimits()
        self._readiness = HttpServer(self._serve_readiness, refuse_malformed_request, limits)
        self._metrics = HttpServer(self._serve_metrics, refuse_malformed_request, limits)

    async def listen(self, readiness_address: str, metrics_host: str, metrics_port: int) -> None:
        """Starts to listen; for metrics only if there is a port."""
        await self._readiness.listen(*parse_address(readiness_address))
        if metrics_port:
            await self._metrics.listen(metrics_host, metrics_port)

    async def _serve_readiness(self, connection, request) -> None:
        await connection.respond(200 if self._is_ready() else 503, READINESS_HEADERS, b"")

    async def _serve_metrics(self, connection, request) -> None:
        await connection.respond(200, METRICS_HEADERS, self._render_metrics())

    def close(self) -> None:
        """Closes the listening sockets."""
        self._readiness.stop_listening()
        self._metrics.stop_listening()
