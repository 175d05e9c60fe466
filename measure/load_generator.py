"""Open-loop load generator: sends a workload to a deployment and collects the answers."""

import asyncio
import random
import time
from dataclasses import dataclass

from fakes.client import StreamedResponse, stream_completion
from fakes.engine import expected_completion
from measure.deployment import CLASSES, Deployment
from measure.workloads import Arrival, Workload, generate_arrivals

UNFINISHED_STATUS = -1
CLASSES_BY_NAME = {row.name: row for row in CLASSES}


@dataclass(frozen=True)
class RequestResult:
    """One request and its answer. ``sent_s`` is relative to the start of the run."""

    arrival: Arrival
    answer: StreamedResponse
    sent_s: float
    is_correct: bool

    @property
    def class_name(self) -> str:
        """Service class of the request."""
        return self.arrival.class_name

    def meets_targets(self) -> bool:
        """Returns whether the answer is correct and met both latency targets of its class."""
        service_class = CLASSES_BY_NAME[self.class_name]
        is_first_token_in_time = self.answer.first_token_s <= service_class.first_token_ms / 1000
        return (
            self.is_correct
            and is_first_token_in_time
            and self.answer.token_interval_s <= service_class.between_tokens_ms / 1000
        )

    @property
    def finished_s(self) -> float:
        """When the answer was complete, relative to the start of the run."""
        return self.sent_s + self.answer.last_token_s


async def run_workload(
    deployment: Deployment, workload: Workload, seed: int, drain_timeout_s: float
) -> list[RequestResult]:
    """Sends all requests on schedule; cancels those open ``drain_timeout_s`` after the last."""
    rng = random.Random(seed)
    addresses = deployment.vm_addresses
    started = time.monotonic()
    tasks = []
    for number, arrival in enumerate(
        generate_arrivals(workload, deployment.topology.tokens_per_s, len(addresses), rng)
    ):
        delay_s = started + arrival.at_s - time.monotonic()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        tasks.append(
            asyncio.create_task(send_request(addresses, arrival, f"{seed}.{number}", started))
        )
    _, pending = await asyncio.wait(tasks, timeout=drain_timeout_s)
    for task in pending:
        task.cancel()
    return await asyncio.gather(*tasks)


async def send_request(
    addresses: list[str], arrival: Arrival, prompt_id: str, started: float
) -> RequestResult:
    """Sends one request and checks its answer."""
    prompt = f"{prompt_id} [len={arrival.tokens}]"
    sent_s = time.monotonic() - started
    credential = f"{arrival.member}-secret"
    try:
        answer = await stream_completion(
            addresses[arrival.vm_index], credential, prompt, arrival.class_name
        )
    except asyncio.CancelledError:
        answer = StreamedResponse(UNFINISHED_STATUS, {}, "", False)
    is_correct = answer.complete and answer.text == expected_completion(prompt)
    return RequestResult(arrival, answer, sent_s, is_correct)
