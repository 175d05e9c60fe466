"""The HTTP listener for callers: routes each request and counts its verdict."""

import asyncio

from bluebellpitch.callers import responses
from bluebellpitch.callers.completions import CompletionHandler
from bluebellpitch.callers.requests import (
    COMPLETION_PATHS,
    SERVICE_PATH_PREFIX,
    authenticate_member,
    parse_completion_request,
    parse_service_request,
)
from bluebellpitch.callers.services import ServiceHandler
from bluebellpitch.context import NodeContext
from bluebellpitch.errors import BadRequestError
from bluebellpitch.http1 import HttpRequest, HttpServer, ServerConnection
from bluebellpitch.logs import log
from bluebellpitch.tasks import cancel_and_wait
from bluebellpitch.verdicts import DidNotRun, MayHaveRun

SHUTDOWN_RETRY_AFTER_S = 1.0


class CallerServer:
    """Serves completions, services and the model list to callers."""

    def __init__(self, context: NodeContext):
        self._context = context
        self.http = HttpServer(
            self._handle,
            responses.send_bad_request,
            context.settings.http,
            context.connection_pool.buffers,
        )

    async def _handle(self, connection: ServerConnection, request: HttpRequest) -> None:
        self._context.metrics.in_flight.inc()
        try:
            await self._route_until_shutdown(connection, request)
        except BadRequestError as error:
            self._context.metrics.requests.labels("", DidNotRun.name).inc()
            self._context.metrics.refusals.labels("", error.reason).inc()
            await responses.send_bad_request(connection, error, "none")
        finally:
            self._context.metrics.in_flight.dec()

    async def _route_until_shutdown(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Serves a request; answers it if it is still open when the VM has to end."""
        context, started_at = self._context, self._context.now()
        kind = request.target.partition("?")[0]
        expected_s = context.durations.estimate(kind, context.settings.service_timeout_s)
        if not context.shutdown.schedule.has_time_for(expected_s, started_at):
            verdict = DidNotRun("shutting_down", 503, SHUTDOWN_RETRY_AFTER_S)
            await responses.send_verdict(connection, verdict, "none")
            return
        task = asyncio.ensure_future(self._route(connection, request))
        must_answer = asyncio.ensure_future(context.shutdown.must_answer.wait())
        try:
            await asyncio.wait({task, must_answer}, return_when=asyncio.FIRST_COMPLETED)
            if task.done():
                context.durations.record(kind, context.now() - started_at)
                task.result()
                return
            await cancel_and_wait(task)
            log("WARNING", "cut_by_shutdown", target=kind, status=504)
            await responses.send_shutdown_verdict(connection)
        finally:
            await cancel_and_wait(must_answer)
            await cancel_and_wait(task)

    async def _route(self, connection: ServerConnection, request: HttpRequest) -> None:
        target = request.target.partition("?")[0]
        if target in COMPLETION_PATHS and request.method == "POST":
            await self._serve_completion(connection, request)
        elif target.startswith(SERVICE_PATH_PREFIX):
            await self._serve_service(connection, request)
        elif target == "/v1/models" and request.method == "GET":
            await self._list_models(connection, request)
        else:
            raise BadRequestError(404, "no_such_path", f"there is no {request.method} {target}")

    async def _serve_completion(self, connection: ServerConnection, request: HttpRequest) -> None:
        parsed = parse_completion_request(request, self._context.table, self._context.now())
        verdict = await CompletionHandler(self._context, connection, parsed).run()
        self._record_verdict(parsed.caller, verdict)

    async def _serve_service(self, connection: ServerConnection, request: HttpRequest) -> None:
        context = self._context
        parsed = parse_service_request(request, context.table, context.now(), context.wall())
        verdict = await ServiceHandler(context, connection, parsed).run()
        self._record_verdict(parsed.caller, verdict)

    def _record_verdict(self, caller, verdict) -> None:
        metrics = self._context.metrics
        metrics.requests.labels(caller.service_class.name, verdict.name).inc()
        metrics.member_requests.labels(metrics.member_label(caller.member.name)).inc()
        if isinstance(verdict, DidNotRun | MayHaveRun):
            metrics.refusals.labels(
                caller.service_class.name, verdict.reason.partition(":")[0]
            ).inc()
            log(
                "INFO",
                "refused",
                request=caller.request_id,
                member=caller.member.name,
                reason=verdict.reason,
                verdict=verdict.name,
            )

    async def _list_models(self, connection: ServerConnection, request: HttpRequest) -> None:
        table = self._context.table
        authenticate_member(request, table)
        models = sorted(p.name for p in table.pools_by_name.values() if p.kind == "model")
        data = [{"id": name, "object": "model", "created": 0, "owned_by": ""} for name in models]
        await responses.send_json(connection, {"object": "list", "data": data})
