import time
import unittest

import msgspec
import trio

from entry.support import CHAT, HEADERS, QUICK, FakeOwners, run_with_owner, serve_entry
from goldcrestvane_common.server import (
    MAX_BODY_BYTES,
)

CHAT_PATH = "/v1/chat/completions"
ISSUE = "/v1/tools/vouchers/issue"
BEGIN = "/v1/programs/begin"
USER = {"role": "user", "content": "hello"}


def change_headers(**headers):
    names = {key.replace("_", "-"): value for key, value in headers.items()}
    merged = {**HEADERS, **{f"goldcrestvane-{key}": names[key] for key in names}}
    return {key: value for key, value in merged.items() if value is not None}


class RefusalTests(unittest.TestCase):
    """An invalid request is refused with the name of its field and reaches no owner."""

    def check_refused(self, cases, send):
        async def check(entry, owner, owners):
            for case, field, *status in cases:
                response = await send(entry, case)
                error = msgspec.json.decode(response.body)["error"]
                with self.subTest(case=str(case)[:80]):
                    self.assertEqual(response.status, status[0] if status else 400)
                    self.assertEqual(error["field"], field)
                    self.assertEqual(error["outcome"], "refused_final")
                    self.assertNotIn("retry-after", response.headers)
            self.assertEqual(owner.calls, [])
            self.assertEqual(owners.refreshes, 0)

        run_with_owner(check)

    def test_invalid_headers_are_refused(self):
        past = str(time.time() - 60)
        far = str(time.time() + 1e6)
        cases = [
            (change_headers(team=None), "goldcrestvane-team"),
            (change_headers(team="nobody"), "goldcrestvane-team", 404),
            (change_headers(team="a/b"), "goldcrestvane-team"),
            (change_headers(program=None), "goldcrestvane-program"),
            (change_headers(program="p1//c"), "goldcrestvane-program"),
            (change_headers(program="p 1"), "goldcrestvane-program"),
            (change_headers(program="a" * 65), "goldcrestvane-program"),
            (change_headers(program="/".join("abcdefghi")), "goldcrestvane-program"),
            (change_headers(sequence=None), "goldcrestvane-sequence"),
            *(
                (change_headers(sequence=text), "goldcrestvane-sequence")
                for text in ("0", "-1", "1.0", "01", "one", "9" * 400, "2147483648")
            ),
            *(
                (change_headers(timeout=text), "goldcrestvane-timeout")
                for text in ("nan", "inf", "-1", "0", "1e3", "3601", "", "9" * 400)
            ),
            (change_headers(deadline=past), "goldcrestvane-deadline"),
            (change_headers(deadline="soon"), "goldcrestvane-deadline"),
            (change_headers(deadline=far, timeout=None), "goldcrestvane-deadline"),
        ]
        self.check_refused(cases, lambda entry, headers: entry.chat(headers=headers))

    def test_repeated_headers_are_refused(self):
        cases = [(name, name) for name in HEADERS]
        cases += [(name, name) for name in ("goldcrestvane-deadline", "authorization")]

        async def send_twice(entry, name):
            headers = {**HEADERS, name: HEADERS.get(name, "1"), name.title(): "1"}
            return await entry.chat(headers=headers)

        self.check_refused(cases, send_twice)

    def test_invalid_chat_bodies_are_refused(self):
        cases = [
            (b"", "body"),
            (b"{", "body"),
            (b"\xff", "body"),
            (b"[" * 100_000, "body"),
            ({**CHAT, "model": 1}, "model"),
            ({**CHAT, "model": "none"}, "model", 404),
            ({**CHAT, "model": "vouchers"}, "model", 404),
            ({**CHAT, "messages": []}, "messages"),
            ({**CHAT, "messages": [{**USER, "role": "x"}]}, "messages[0].role"),
            ({**CHAT, "messages": [{"role": "user"}]}, "messages[0].content"),
            ({**CHAT, "max_tokens": 0}, "max_tokens"),
            ({**CHAT, "max_tokens": 10**30}, "max_tokens"),
            ({**CHAT, "stream": "yes"}, "stream"),
            ({**CHAT, "n": 2}, "n"),
            ({**CHAT, "tools": []}, "tools"),
            ({"messages": [USER]}, "model"),
            (b'"' + b"a" * MAX_BODY_BYTES + b'"', "body", 413),
        ]
        self.check_refused(cases, lambda entry, body: self.post(entry, CHAT_PATH, body))

    def test_invalid_program_bodies_are_refused(self):
        begin = {"kind": "fitting"}
        cases = [
            ({}, "kind"),
            ({"kind": "cutting"}, "kind", 404),
            ({**begin, "program": "p2"}, "program"),
            ({**begin, "budget": {"tokens": -1}}, "budget.tokens"),
            ({**begin, "budget": {"tokens": 2**60}}, "budget.tokens"),
            ({**begin, "budget": {"tokens": 1.5}}, "budget.tokens"),
            ({**begin, "budget": {"gold": 1}}, "budget.gold"),
            (b'{"kind": "fitting", "budget": {"seconds": 1e999}}', "budget.seconds"),
        ]
        self.check_refused(cases, lambda entry, body: self.post(entry, BEGIN, body))

    def test_invalid_tool_bodies_are_refused(self):
        cases = [(b"{]", "body"), (b"NaN", "body"), (b'"\xff"', "body")]
        self.check_refused(cases, lambda entry, body: self.post(entry, ISSUE, body))

    def test_invalid_paths_are_refused(self):
        cases = [
            ("/v1/tools/vouchers/burn", "operation", 404),
            ("/v1/tools/none/issue", "service", 404),
            ("/v1/tools/small/issue", "service", 404),
            ("/v1/tools/vouchers", "path"),
            ("/v1/tools/vouchers/issue/now", "path"),
            ("/v1/tools/vouchers/%FF", "path"),
            ("/v1/nothing", "path", 404),
        ]
        self.check_refused(cases, lambda entry, path: entry.post(path, {}))
        cases = [("/v1/programs/", "program"), ("/v1/programs/a%20b", "program")]
        self.check_refused(cases, lambda entry, path: entry.get(path))

    async def post(self, entry, path, body):
        if isinstance(body, bytes):
            return await entry.post(path, content=body)
        return await entry.post(path, content=msgspec.json.encode(body))


class HealthAndMetricsTests(unittest.TestCase):
    def test_health_readiness_and_metrics_are_served(self):
        async def main():
            ready = False
            owners = FakeOwners(None)
            async with serve_entry(
                owners, limits=QUICK, is_ready=lambda: ready
            ) as entry:
                self.assertEqual((await entry.get("/healthz")).status, 200)
                self.assertEqual((await entry.get("/readyz")).status, 503)
                ready = True
                self.assertEqual((await entry.get("/readyz")).status, 200)
                await entry.chat(headers=change_headers(sequence="0"))
                text = (await entry.get("/metrics")).body.decode()
                self.assertIn(
                    'goldcrestvane_requests_total{kind="chat",status="400"} 1.0', text
                )

        trio.run(main)
