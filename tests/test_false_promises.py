"""Statuses that promise that a request has not run, from an endpoint that does not promise it."""

import pytest

from tests.prepared_helpers import in_deployment, start_deployment

PROMISES = (408, 429, 503)


async def call_failing_endpoint(deployment, path, status):
    """Returns the endpoint, which runs the request and then fails it, and its caller's response."""
    (endpoint,), client = await start_deployment(
        deployment, "engines" if path.startswith("/explain") else "app"
    )
    endpoint.mode, endpoint.error_status = "error", status
    method = "GET" if path.startswith("/look") else "POST"
    if path.startswith("/explain"):
        return endpoint, await client.stream(path, "r1")
    return endpoint, await client.call(method, path, "r1", b"case")


@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize("path", ["/file/7", "/explain/7"])
def test_status_after_a_run_is_not_passed_on_as_a_promise(path, status):
    """Guards against REFUSED: callers send a request again whose status promises no run."""

    @in_deployment
    async def scenario(deployment):
        endpoint, response = await call_failing_endpoint(deployment, path, status)
        assert endpoint.ran == ["r1"]
        assert response.status == 502
        assert "response-signature" not in dict(response.headers)

    scenario()


@pytest.mark.parametrize(
    ("path", "status"), [("/file/7", 404), ("/file/7", 500), ("/file/7", 504), ("/look/7", 429)]
)
def test_other_failures_are_passed_on_unchanged(path, status):
    """So is any status of a request that may run twice: its callers need no promise."""

    @in_deployment
    async def scenario(deployment):
        endpoint, response = await call_failing_endpoint(deployment, path, status)
        assert endpoint.ran == ["r1"]
        assert response.status == status
        assert "response-signature" in dict(response.headers)

    scenario()


@pytest.mark.parametrize("mode", ["refuse", "other"])
def test_refusal_of_an_endpoint_remains_a_promise(mode):
    @in_deployment
    async def scenario(deployment):
        (endpoint,), client = await start_deployment(deployment, "app")
        endpoint.mode = mode
        response = await client.call("POST", "/file/7", "r1", b"case")
        assert endpoint.ran == []
        assert response.status == 503

    scenario()
