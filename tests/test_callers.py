"""Responses to callers: their own completions, and clear refusals of bad input."""

import asyncio
import socket

import msgspec
import openai
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, MatchesAll

from bluebellpitch.http1 import fetch
from fakes.client import build_headers, stream_completion, submit_case
from fakes.engine import expected_completion
from fakes.fleet import Fleet
from tests.helpers import CREDENTIAL, FederationSize, get_verdict, start_federation

PROMPT = "[len=25] tell me"


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as fleet:
        asyncio.run(start_federation(fleet, FederationSize(), body_bytes=50_000, receive_s=1.0))
        yield fleet


@pytest.fixture
def vm(fleet):
    return next(iter(fleet.vms_by_name.values()))


def post(run, vm, body: bytes, headers=None, target="/v1/completions"):
    headers = build_headers(CREDENTIAL) if headers is None else headers
    return run(fetch(vm.listen, "POST", target, body, headers, timeout_s=10.0))


def completion_body(**fields) -> bytes:
    return msgspec.json.encode({"model": "drafter", "prompt": PROMPT} | fields)


def send_raw(vm, data: bytes) -> bytes:
    host, port = vm.listen.split(":")
    with socket.create_connection((host, int(port)), timeout=10) as client:
        client.sendall(data)
        parts = []
        while part := client.recv(65_536):
            parts.append(part)
    return b"".join(parts)


def assert_still_serves(run, vm):
    response = run(stream_completion(vm.listen, CREDENTIAL, PROMPT))
    assert_that(response.text, Equals(expected_completion(PROMPT)))


def test_openai_client_works_unchanged(vm):
    client = openai.OpenAI(api_key=CREDENTIAL, base_url=f"http://{vm.listen}/v1", max_retries=0)
    messages = [{"role": "user", "content": PROMPT}]
    chat = client.chat.completions.create(model="drafter", messages=messages)
    assert_that(chat.choices[0].message.content, Equals(expected_completion(PROMPT)))
    assert_that(chat.usage.completion_tokens, Equals(25))
    chunks = client.chat.completions.create(model="drafter", messages=messages, stream=True)
    text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
    assert_that(text, Equals(expected_completion(PROMPT)))
    completed = client.completions.create(model="drafter", prompt=PROMPT)
    assert_that(completed.choices[0].text, Equals(expected_completion(PROMPT)))
    assert_that([model.id for model in client.models.list()], Equals(["drafter"]))


def test_openai_client_reports_a_refusal(vm):
    client = openai.OpenAI(api_key="wrong", base_url=f"http://{vm.listen}/v1", max_retries=0)
    with pytest.raises(openai.AuthenticationError) as caught:
        client.completions.create(model="drafter", prompt=PROMPT)
    assert_that(caught.value.code, Equals("wrong_credential"))


def test_concurrent_streams_get_their_own_responses(run, vm):
    prompts = [f"[len={10 + n % 30}] request {n}" for n in range(60)]

    async def send_all():
        return await asyncio.gather(
            *(stream_completion(vm.listen, CREDENTIAL, prompt) for prompt in prompts)
        )

    responses = run(send_all())
    differing = [
        f"{prompt}: {response.status} {response.complete} {response.headers} {response.text[:200]}"
        for prompt, response in zip(prompts, responses, strict=True)
        if not response.complete or response.text != expected_completion(prompt)
    ]
    assert_that(differing, Equals([]))


def test_slow_first_token_of_the_only_engine_is_waited_for(run, fleet, vm):
    """A second attempt that avoided the only engine waited for another one for ten minutes."""
    engine = fleet.processes_by_name["engine-doto-1-0"]

    async def send_to_slow_engine():
        await stream_completion(vm.listen, CREDENTIAL, "[len=1] known")
        await fleet.set_faults(engine, slow=20.0)
        try:
            async with asyncio.timeout(10.0):
                return await stream_completion(vm.listen, CREDENTIAL, "[len=1] late")
        finally:
            await fleet.set_faults(engine, slow=1.0)

    response = run(send_to_slow_engine())
    assert_that(response.text, Equals(expected_completion("[len=1] late")))


BAD_REQUESTS = {
    "bad_json": (b"{", None, 400),
    "unknown_model": (completion_body(model="none"), None, 404),
    "bad_request": (completion_body(prompt=""), None, 400),
    "unknown_class": (completion_body(), build_headers(CREDENTIAL, "none"), 400),
    "wrong_credential": (completion_body(), build_headers("none"), 401),
    "no_credential": (completion_body(), [], 401),
    "deadline_past": (
        completion_body(),
        build_headers(CREDENTIAL, X_Bluebellpitch_Deadline_Ms="-5"),
        400,
    ),
    "bad_deadline": (
        completion_body(),
        build_headers(CREDENTIAL, X_Bluebellpitch_Deadline_Ms="nan"),
        400,
    ),
    "body_too_large": (b"x" * 60_000, None, 413),
}


@pytest.mark.parametrize("reason", BAD_REQUESTS)
def test_bad_request_gets_a_reason_and_a_verdict(run, vm, reason):
    body, headers, status = BAD_REQUESTS[reason]
    response = post(run, vm, body, headers)
    fields = msgspec.json.decode(response.body)
    assert_that(response.status, Equals(status))
    assert_that(fields["reason"], Equals(reason))
    assert_that(fields["verdict"], Equals("did_not_run"))
    assert_still_serves(run, vm)


RAW_REQUESTS = {
    "malformed_http": b"\x00\xff nonsense\r\n\r\n",
    "huge_header": b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 40_000 + b"\r\n\r\n",
    "slow_request": b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nab",
}


@pytest.mark.parametrize("kind", RAW_REQUESTS)
def test_malformed_http_is_refused_and_affects_no_other_caller(run, vm, kind):
    response = send_raw(vm, RAW_REQUESTS[kind])
    assert_that(response, MatchesAll(Contains(b"did_not_run"), Contains(b"HTTP/1.1 4")))
    assert_still_serves(run, vm)


def test_engine_rejection_is_forwarded(run, vm):
    response = post(run, vm, completion_body(prompt="[reject] this"))
    assert_that(response.status, Equals(400))
    assert_that(response.body, Contains(b"rejected by the model"))


def test_key_reused_with_another_body_is_refused(run, vm):
    first = run(submit_case(vm.listen, CREDENTIAL, "case-a", "key-reused"))
    second = run(submit_case(vm.listen, CREDENTIAL, "case-b", "key-reused"))
    assert_that(first.status, Equals(200))
    assert_that(second.status, Equals(422))
    assert_that(get_verdict(second), Equals("did_not_run"))


def test_key_older_than_the_horizon_is_refused(run, vm):
    response = run(
        submit_case(vm.listen, CREDENTIAL, "case-old", "key-old", X_Bluebellpitch_Made_At="1000")
    )
    assert_that(response.status, Equals(400))
    assert_that(msgspec.json.decode(response.body)["reason"], Equals("request_too_old"))


def test_members_with_the_same_key_do_not_interfere(run, vm):
    first = run(submit_case(vm.listen, CREDENTIAL, "case-m1", "shared-key"))
    second = run(submit_case(vm.listen, "agency-secret", "case-m2", "shared-key"))
    assert_that([first.status, second.status], Equals([200, 200]))
