import unittest

import msgspec
import trio

from entry.support import (
    CHAT,
    HEADERS,
    TEST_TIMEOUT_SECONDS,
    TOKEN,
    FakeOwner,
    FakeOwners,
    break_exchange,
    hang,
    raise_later,
    run_with_owner,
    serve_entry,
    serve_owner,
    wait_until,
)
from goldcrestvane_common.errors import (
    NotFound,
    Outcome,
    Overloaded,
    ProgramEnded,
    Unavailable,
    WrongOwner,
)

ISSUE = "/v1/tools/vouchers/issue"
LOOK_UP = "/v1/tools/vouchers/look_up"
DEAD = "127.0.0.1:1"


def read_error(response):
    return msgspec.json.decode(response.body)["error"]


class CallTests(unittest.TestCase):
    def test_chat_returns_openai_format_with_usage_and_headers(self):
        async def check(entry, owner, owners):
            response = await entry.chat()
            body = response.decode(dict)
            self.assertEqual(body["object"], "chat.completion")
            self.assertEqual(body["choices"][0]["message"]["content"], "well met")
            self.assertEqual(body["usage"]["total_tokens"], 7)
            self.assertEqual(response.headers["goldcrestvane-cached-tokens"], "2")
            self.assertEqual(response.headers["goldcrestvane-target"], "target")
            self.assertEqual(response.headers["goldcrestvane-owner"], "owner")
            self.assertEqual(response.headers["goldcrestvane-replayed"], "false")
            self.assertLess(owner.calls[0].deadline_seconds, 20.0)
            self.assertGreater(owner.calls[0].deadline_seconds, 10.0)

        run_with_owner(check)

    def test_tool_call_returns_the_unchanged_json_of_the_tool(self):
        async def check(entry, owner, owners):
            response = await entry.post(ISSUE, {"amount": 5})
            self.assertEqual(response.decode(str), "well met")
            self.assertEqual(bytes(owner.calls[0].tool), b'{"amount":5}')
            self.assertEqual(owner.calls[0].operation, "issue")

        run_with_owner(check)

    def test_program_begins_ends_and_is_shown(self):
        async def check(entry, owner, owners):
            begin = {"kind": "fitting", "budget": {"tokens": 50}}
            response = await entry.post("/v1/programs/begin", begin)
            self.assertEqual(response.decode(dict)["program"], "p1")
            self.assertEqual(owner.calls[0]["budget"], {"tokens": 50})
            response = await entry.post("/v1/programs/end", {"program": "p1"})
            self.assertEqual(response.status, 200)
            response = await entry.get("/v1/programs/p1/child")
            self.assertEqual(response.decode(dict)["program"], "p1/child")

        run_with_owner(check)

    def test_request_without_the_token_of_the_team_is_unauthorized(self):
        async def check(entry, owner, owners):
            headers = {**HEADERS, "goldcrestvane-team": "lyra"}
            wrong = {**headers, "authorization": "Bearer guess"}
            right = {**headers, "authorization": f"Bearer {TOKEN}"}
            for refused in (headers, wrong):
                response = await entry.chat(headers=refused)
                self.assertEqual(response.status, 401)
                self.assertEqual(read_error(response)["field"], "authorization")
            self.assertEqual(owner.calls, [])
            self.assertEqual((await entry.chat(headers=right)).status, 200)

        run_with_owner(check)


class RetryTests(unittest.TestCase):
    def test_call_is_retried_at_the_next_owner_when_the_first_is_unreachable(self):
        async def main():
            owner = FakeOwner()
            async with serve_owner(owner) as address:
                owners = FakeOwners(DEAD, None, address)
                async with serve_entry(owners) as entry:
                    response = await entry.post(ISSUE, {})
                    self.assertEqual(response.status, 200)
                    for reason in ("connect_failed", "no_owner"):
                        count = await entry.count(
                            "goldcrestvane_retries_total", reason=reason
                        )
                        self.assertEqual(count, 1.0)

        trio.run(main)

    def test_call_is_retried_after_broken_exchange_and_wrong_owner(self):
        async def check(entry, owner, owners):
            owner.faults = [break_exchange, raise_later(WrongOwner("not mine"))]
            response = await entry.post(ISSUE, {})
            self.assertEqual(response.status, 200)
            self.assertEqual(len(owner.calls), 3)
            self.assertEqual(owners.refreshes, 2)

        run_with_owner(check)

    def test_call_that_reaches_no_owner_has_outcome_not_run(self):
        async def main():
            for address in (DEAD, None):
                async with serve_entry(FakeOwners(address)) as entry:
                    response = await entry.post(ISSUE, {})
                    self.assertEqual(response.status, 503)
                    self.assertEqual(read_error(response)["outcome"], "not_run")
                    self.assertIn("retry-after", response.headers)

        trio.run(main)

    def check_lost_answer(self, path, kind, outcome):
        async def check(entry, owner, owners):
            owner.faults = [break_exchange] * 1000
            response = await entry.post(path, CHAT)
            self.assertEqual(read_error(response)["kind"], kind)
            self.assertEqual(read_error(response)["outcome"], outcome)
            self.assertGreater(len(owner.calls), 1)

        run_with_owner(check)

    def test_lost_answer_of_a_call_with_side_effects_has_outcome_unknown(self):
        self.check_lost_answer(ISSUE, "outcome_unknown", "unknown")

    def test_lost_answer_of_a_repeatable_call_has_outcome_incomplete(self):
        self.check_lost_answer(LOOK_UP, "answer_incomplete", "incomplete")
        self.check_lost_answer(
            "/v1/chat/completions", "answer_incomplete", "incomplete"
        )

    def test_outcome_from_current_owner_covers_all_attempts_of_a_claimed_call(self):
        async def check(entry, owner, owners):
            for error in (Overloaded("full"), ProgramEnded("over")):
                owner.faults = [break_exchange, raise_later(error)]
                response = await entry.post(ISSUE, {})
                outcome = error.call_outcome.value
                self.assertEqual(read_error(response)["outcome"], outcome)

        run_with_owner(check)

    def test_outcome_from_current_owner_does_not_cover_a_repeatable_call(self):
        async def check(entry, owner, owners):
            owner.faults = [break_exchange, raise_later(Overloaded("full"))]
            response = await entry.post(LOOK_UP, {})
            self.assertEqual(read_error(response)["outcome"], "incomplete")

        run_with_owner(check)

    def test_error_of_owner_without_the_program_does_not_cover_earlier_attempts(self):
        async def check(entry, owner, owners):
            for path, outcome in ((LOOK_UP, "incomplete"), (ISSUE, "unknown")):
                owner.faults = [break_exchange, raise_later(NotFound("not known"))]
                response = await entry.post(path, {})
                self.assertEqual(read_error(response)["kind"], "not_found")
                self.assertEqual(read_error(response)["outcome"], outcome)

        run_with_owner(check)

    def test_outcome_stays_unknown_after_ownership_lost_until_new_owner_responds(self):
        async def check(entry, owner, owners):
            ownership_lost = WrongOwner("ownership lost", outcome=Outcome.UNKNOWN)
            owner.faults = [raise_later(ownership_lost), hang]
            headers = {**HEADERS, "goldcrestvane-timeout": "0.5"}
            response = await entry.post(ISSUE, {}, headers=headers)
            self.assertEqual(read_error(response)["outcome"], "unknown")

        run_with_owner(check)

    def test_other_errors_are_returned_without_retry(self):
        async def check(entry, owner, owners):
            owner.faults = [raise_later(Unavailable("no target", retry_after=7.0))]
            response = await entry.post(ISSUE, {})
            self.assertEqual(response.status, 503)
            self.assertEqual(response.headers["retry-after"], "7")
            self.assertEqual(read_error(response)["outcome"], "not_run")
            self.assertEqual(len(owner.calls), 1)

        run_with_owner(check)

    def test_call_with_side_effects_has_outcome_unknown_after_owner_timeout(self):
        async def check(entry, owner, owners):
            owner.faults = [hang]
            headers = {**HEADERS, "goldcrestvane-timeout": "0.2"}
            response = await entry.post(ISSUE, {}, headers=headers)
            self.assertEqual(read_error(response)["outcome"], "unknown")
            self.assertEqual(len(owner.calls), 1)

        run_with_owner(check)

    def test_deadline_while_waiting_for_an_owner_has_outcome_not_run(self):
        async def main():
            async with serve_entry(FakeOwners(None)) as entry:
                headers = {**HEADERS, "goldcrestvane-timeout": "0.1"}
                response = await entry.post(ISSUE, {}, headers=headers)
                self.assertEqual(read_error(response)["kind"], "deadline_exceeded")
                self.assertEqual(read_error(response)["outcome"], "not_run")

        trio.run(main)

    def test_wait_for_silent_owner_is_cancelled_when_the_shard_is_reassigned(self):
        async def main():
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                first, second = FakeOwner("first"), FakeOwner("second")
                async with serve_owner(first) as old, serve_owner(second) as new:
                    owners = FakeOwners(old, new)
                    first.faults = [hang]
                    async with serve_entry(owners) as entry:
                        async with trio.open_nursery() as nursery:
                            nursery.start_soon(self.check_second, entry)
                            await wait_until(lambda: first.calls)
                            owners.reassign()

        trio.run(main)

    def test_map_that_already_names_the_next_owner_is_not_refreshed(self):
        async def main():
            with trio.fail_after(TEST_TIMEOUT_SECONDS):
                first, second = FakeOwner("first"), FakeOwner("second")
                async with serve_owner(first) as old, serve_owner(second) as new:
                    owners = FakeOwners(old, new)

                    async def lose_shard():
                        owners.reassign()
                        raise WrongOwner("handed over")

                    first.faults = [lose_shard]
                    async with serve_entry(owners) as entry:
                        await self.check_second(entry)
                    self.assertEqual(owners.refreshes, 0)

        trio.run(main)

    async def check_second(self, entry):
        response = await entry.post(ISSUE, {})
        self.assertEqual(response.headers["goldcrestvane-owner"], "second")
