import tempfile
import unittest
from pathlib import Path

import msgspec
import trio

from entry.support import (
    HEADERS,
    TEST_TIMEOUT_SECONDS,
    TOKEN,
    FakeOwner,
    FakeOwners,
    serve_entry,
    serve_owner,
)
from goldcrestvane_common.trace import InvalidTrace, parse_trace
from goldcrestvane_daemon.entry import TraceOptions

ISSUE = "/v1/tools/vouchers/issue"


class TraceTests(unittest.TestCase):
    def record(self, send, **options):
        """Returns the trace of an entry while `send` runs, as bytes."""

        async def main(path):
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                owner = FakeOwner()
                async with serve_owner(owner) as address:
                    trace = TraceOptions(path=path, **options)
                    async with serve_entry(FakeOwners(address), trace=trace) as entry:
                        await send(entry)

        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "trace.jsonl"
            trio.run(main, path)
            return path.read_bytes() if path.exists() else b""

    async def send_all(self, entry):
        await entry.post("/v1/programs/begin", {"kind": "fitting"})
        await entry.chat(stream=True, max_tokens=9)
        headers = {**HEADERS, "authorization": f"Bearer {TOKEN}"}
        await entry.post(ISSUE, {"customer": "Ama"}, headers=headers)
        await entry.post(ISSUE, content=b"{broken")

    def test_bodies_are_redacted_to_sizes_and_hashes(self):
        content = self.record(self.send_all)
        for secret in (b"hello", b"Ama", TOKEN.encode(), b"broken"):
            self.assertNotIn(secret, content)
        begin, chat, tool, broken = parse_trace(content.splitlines()).records
        self.assertEqual(msgspec.json.decode(begin.body), {"kind": "fitting"})
        self.assertEqual(chat.chat.messages[0].bytes, len("hello"))
        self.assertEqual((chat.chat.stream, chat.chat.max_tokens), (True, 9))
        self.assertEqual((tool.body_bytes, broken.body_bytes), (18, 7))
        self.assertEqual((tool.program, tool.sequence), ("p1", "1"))
        self.assertLessEqual(begin.at, broken.at)

    def test_whole_bodies_are_recorded_on_request(self):
        content = self.record(self.send_all, whole_bodies=True)
        _, chat, tool, broken = parse_trace(content.splitlines()).records
        self.assertEqual(bytes(tool.body), b'{"customer":"Ama"}')
        self.assertIn(b"hello", bytes(chat.body))
        self.assertEqual(bytes(broken.body), b"null")

    def test_full_trace_or_disk_error_fails_no_request(self):
        async def send(entry):
            for _ in range(3):
                self.assertEqual((await entry.post(ISSUE, {})).status, 200)

        content = self.record(send, max_bytes=300)
        self.assertEqual(len(parse_trace(content.splitlines()).records), 1)

        async def main():
            owner = FakeOwner()
            async with serve_owner(owner) as address:
                trace = TraceOptions(path=Path("/nowhere/trace.jsonl"))
                async with serve_entry(FakeOwners(address), trace=trace) as entry:
                    await send(entry)

        with self.assertLogs("goldcrestvane.trace", "WARNING"):
            trio.run(main)

    def test_invalid_trace_is_refused_with_the_number_of_its_line(self):
        header = b'{"started":0,"whole_bodies":false,"format":"%s","version":%d}'
        good = header % (b"goldcrestvane-trace", 1)
        cases = {
            "The first line": [header % (b"other", 1)],
            "Got version 2": [header % (b"goldcrestvane-trace", 2)],
            "Line 2": [good, b"{}"],
            "Line 1": [b"nothing"],
        }
        for message, lines in cases.items():
            with self.assertRaisesRegex(InvalidTrace, message):
                parse_trace(lines)
