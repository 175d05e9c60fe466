"""Sends a load to a deployment, open loop, and keeps what came back."""

import asyncio
import random
import time
from dataclasses import dataclass

from fakes.caller import Answer, stream
from fakes.engine import answer_to
from measure.deployment import CLASSES, Deployment
from measure.workloads import Arrival, Load, arrivals

UNFINISHED = -1
ROWS = {row.name: row for row in CLASSES}


@dataclass(frozen=True)
class Result:
    """One request and its answer. ``sent_s`` is from the start of the load."""

    arrival: Arrival
    answer: Answer
    sent_s: float
    right: bool

    @property
    def class_name(self) -> str:
        """The class."""
        return self.arrival.class_name

    def in_time(self) -> bool:
        """Tells whether a whole answer met both targets of its class."""
        row = ROWS[self.class_name]
        first = self.answer.first_s <= row.first_token_ms / 1000
        return self.right and first and self.answer.between_s <= row.between_tokens_ms / 1000

    @property
    def ended_s(self) -> float:
        """When the answer was whole, from the start of the load."""
        return self.sent_s + self.answer.last_s


async def drive(deployment: Deployment, load: Load, seed: int, drain_s: float) -> list[Result]:
    """Sends all arrivals at their times; gives up on answers ``drain_s`` after the last."""
    rng = random.Random(seed)
    addresses = deployment.addresses
    started = time.monotonic()
    tasks = []
    for number, arrival in enumerate(
        arrivals(load, deployment.shape.capacity, len(addresses), rng)
    ):
        delay = started + arrival.at_s - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(asyncio.create_task(send(addresses, arrival, f"{seed}.{number}", started)))
    _, pending = await asyncio.wait(tasks, timeout=drain_s)
    for task in pending:
        task.cancel()
    return await asyncio.gather(*tasks)


async def send(addresses: list[str], arrival: Arrival, name: str, started: float) -> Result:
    """Sends one request."""
    prompt = f"{name} [len={arrival.tokens}]"
    sent_s = time.monotonic() - started
    token = f"{arrival.member}-secret"
    try:
        answer = await stream(addresses[arrival.vm], token, prompt, arrival.class_name)
    except asyncio.CancelledError:
        answer = Answer(UNFINISHED, {}, "", False)
    right = answer.whole and answer.text == answer_to(prompt)
    return Result(arrival, answer, sent_s, right)
