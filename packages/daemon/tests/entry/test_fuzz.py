"""Fuzzes the parsing of requests: no input may lead to status 500."""

import random
import unittest

import msgspec
import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from entry.support import CHAT, HEADERS, FakeOwners, FakeTeams
from goldcrestvane_common.routing import (
    Router,
)
from goldcrestvane_common.server import (
    Application,
)
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.entry import EntryLimits, EntryService
from goldcrestvane_daemon.observability import RequestMetrics

DETERMINISTIC = settings(
    derandomize=True, deadline=None, database=None, max_examples=300
)
NO_WAIT = EntryLimits(owner_wait_seconds=0.0)
PATHS = (
    "/v1/chat/completions",
    "/v1/tools/vouchers/issue",
    "/v1/programs/begin",
    "/v1/programs/end",
    "/internal/programs/show",
)
BODIES = {
    PATHS[0]: CHAT,
    PATHS[1]: {"amount": 1},
    PATHS[2]: {"kind": "fitting", "budget": {"tokens": 5}},
    PATHS[3]: {"program": "p1"},
    PATHS[4]: {"team": "open", "program": "p1"},
}
NUMBERS = st.sampled_from(
    ["0", "-0", "nan", "inf", "-1", "1e309", "0x1", "1_0", " 1", "\u0661", "9" * 30]
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
LATIN = st.text(st.characters(max_codepoint=255), max_size=40)


async def send_request(method, path, headers, body):
    """Returns the status and body of a request passed directly to the application."""
    owners = FakeOwners(None)
    router = Router()
    sent = []
    messages = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive():
        if messages:
            return messages.pop()
        await trio.sleep_forever()

    async def send(message):
        sent.append(message)

    async with Transport() as transport:
        service = EntryService(
            transport=transport,
            teams=FakeTeams(),
            owners=owners,
            metrics=RequestMetrics(),
            limits=NO_WAIT,
            rng=random.Random(1),
        )
        service.add_routes(router)
        scope = {
            "type": "http",
            "method": method,
            "raw_path": path,
            "path": "",
            "query_string": b"",
            "headers": headers,
        }
        await Application(router)(scope, receive, send)
    status = sent[0]["status"]
    if status != 503:
        assert owners.refreshes == 0
    return status, msgspec.json.decode(sent[1]["body"])


def encode_headers(headers):
    return [
        (name.encode(), value.encode("latin-1", "replace"))
        for name, value in headers.items()
    ]


class FuzzTests(unittest.TestCase):
    def check_response(self, path, headers, body, *, method="POST"):
        status, value = trio.run(send_request, method, path, headers, body)
        self.assertTrue(400 <= status < 500 or status == 503, value)
        if status != 503:
            self.assertIn("field", value["error"])

    @DETERMINISTIC
    @given(st.sampled_from(PATHS), st.binary(max_size=200))
    def test_arbitrary_bytes_as_body_do_not_fail_the_server(self, path, body):
        self.check_response(path.encode(), encode_headers(HEADERS), body)

    @DETERMINISTIC
    @given(st.sampled_from(PATHS), st.data())
    def test_changed_fields_do_not_fail_the_server(self, path, data):
        body = dict(BODIES[path])
        for _ in range(data.draw(st.integers(1, 3))):
            known = st.sampled_from([*body, "stream", "max_tokens", "budget", "n"])
            body[data.draw(known | st.text(max_size=8))] = data.draw(JSON)
        encoded = msgspec.json.encode(body)
        self.check_response(path.encode(), encode_headers(HEADERS), encoded)

    @DETERMINISTIC
    @given(st.sampled_from(PATHS), st.data())
    def test_corrupted_bodies_do_not_fail_the_server(self, path, data):
        encoded = bytearray(msgspec.json.encode(BODIES[path]))
        position = data.draw(st.integers(0, len(encoded) - 1))
        encoded[position : position + 1] = data.draw(st.binary(max_size=4))
        self.check_response(path.encode(), encode_headers(HEADERS), bytes(encoded))

    @DETERMINISTIC
    @given(
        st.sampled_from(PATHS),
        st.sampled_from([*HEADERS, "goldcrestvane-deadline", "authorization"]),
        NUMBERS | LATIN,
    )
    @example(PATHS[0], "goldcrestvane-program", "p\xe9")
    def test_changed_headers_do_not_fail_the_server(self, path, name, value):
        headers = encode_headers({**HEADERS, name: value})
        self.check_response(path.encode(), headers, msgspec.json.encode(BODIES[path]))

    @DETERMINISTIC
    @given(st.sampled_from(["GET", "POST", "PUT"]), st.binary(max_size=40))
    def test_changed_paths_do_not_fail_the_server(self, method, suffix):
        for prefix in (b"/", b"/v1/programs/", b"/v1/tools/", b"/v1/tools/vouchers/"):
            path = prefix + bytes(byte & 0x7F for byte in suffix)
            self.check_response(path, encode_headers(HEADERS), b"{}", method=method)
