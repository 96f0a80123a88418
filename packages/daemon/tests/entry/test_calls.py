import unittest

import msgspec
import trio

from entry.support import (
    CHAT,
    GIVE_UP_SECONDS,
    HEADERS,
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


def read_error(reply):
    return msgspec.json.decode(reply.body)["error"]


class CallTests(unittest.TestCase):
    def test_chat_answers_in_openai_form_with_usage_and_headers(self):
        async def check(entry, owner, owners):
            reply = await entry.chat()
            body = reply.decode(dict)
            self.assertEqual(body["object"], "chat.completion")
            self.assertEqual(body["choices"][0]["message"]["content"], "well met")
            self.assertEqual(body["usage"]["total_tokens"], 7)
            self.assertEqual(reply.headers["goldcrestvane-cached-tokens"], "2")
            self.assertEqual(reply.headers["goldcrestvane-target"], "target")
            self.assertEqual(reply.headers["goldcrestvane-owner"], "owner")
            self.assertEqual(reply.headers["goldcrestvane-replayed"], "false")
            self.assertLess(owner.calls[0].deadline_seconds, 20.0)
            self.assertGreater(owner.calls[0].deadline_seconds, 10.0)

        run_with_owner(check)

    def test_tool_answer_is_the_tools_own_json(self):
        async def check(entry, owner, owners):
            reply = await entry.post(ISSUE, {"amount": 5})
            self.assertEqual(reply.decode(str), "well met")
            self.assertEqual(bytes(owner.calls[0].tool), b'{"amount":5}')
            self.assertEqual(owner.calls[0].operation, "issue")

        run_with_owner(check)

    def test_program_begins_ends_and_is_shown(self):
        async def check(entry, owner, owners):
            begin = {"kind": "fitting", "budget": {"tokens": 50}}
            reply = await entry.post("/v1/programs/begin", begin)
            self.assertEqual(reply.decode(dict)["program"], "p1")
            self.assertEqual(owner.calls[0]["budget"], {"tokens": 50})
            reply = await entry.post("/v1/programs/end", {"program": "p1"})
            self.assertEqual(reply.status, 200)
            reply = await entry.get("/v1/programs/p1/child")
            self.assertEqual(reply.decode(dict)["program"], "p1/child")

        run_with_owner(check)

    def test_token_of_the_team_is_needed(self):
        async def check(entry, owner, owners):
            headers = {**HEADERS, "goldcrestvane-team": "lyra"}
            wrong = {**headers, "authorization": "Bearer guess"}
            right = {**headers, "authorization": f"Bearer {TOKEN}"}
            for refused in (headers, wrong):
                reply = await entry.chat(headers=refused)
                self.assertEqual(reply.status, 401)
                self.assertEqual(read_error(reply)["field"], "authorization")
            self.assertEqual(owner.calls, [])
            self.assertEqual((await entry.chat(headers=right)).status, 200)

        run_with_owner(check)


class RetryTests(unittest.TestCase):
    def test_call_goes_to_the_next_owner_when_the_first_is_gone(self):
        async def main():
            owner = FakeOwner()
            async with serve_owner(owner) as address:
                owners = FakeOwners(DEAD, None, address)
                async with serve_entry(owners) as entry:
                    reply = await entry.post(ISSUE, {})
                    self.assertEqual(reply.status, 200)
                    for reason in ("connect_failed", "no_owner"):
                        count = await entry.count(
                            "goldcrestvane_retries_total", reason=reason
                        )
                        self.assertEqual(count, 1.0)

        trio.run(main)

    def test_broken_exchange_and_wrong_owner_are_repeated(self):
        async def check(entry, owner, owners):
            owner.faults = [break_exchange, raise_later(WrongOwner("not mine"))]
            reply = await entry.post(ISSUE, {})
            self.assertEqual(reply.status, 200)
            self.assertEqual(len(owner.calls), 3)
            self.assertEqual(owners.refreshes, 2)

        run_with_owner(check)

    def test_call_that_reached_no_owner_was_not_run(self):
        async def main():
            for address in (DEAD, None):
                async with serve_entry(FakeOwners(address)) as entry:
                    reply = await entry.post(ISSUE, {})
                    self.assertEqual(reply.status, 503)
                    self.assertEqual(read_error(reply)["outcome"], "not_run")
                    self.assertIn("retry-after", reply.headers)

        trio.run(main)

    def check_lost(self, path, kind, outcome):
        async def check(entry, owner, owners):
            owner.faults = [break_exchange] * 1000
            reply = await entry.post(path, CHAT)
            self.assertEqual(read_error(reply)["kind"], kind)
            self.assertEqual(read_error(reply)["outcome"], outcome)
            self.assertGreater(len(owner.calls), 1)

        run_with_owner(check)

    def test_lost_answer_of_a_side_effect_is_unknown(self):
        self.check_lost(ISSUE, "outcome_unknown", "unknown")

    def test_lost_answer_of_a_repeatable_call_is_incomplete(self):
        self.check_lost(LOOK_UP, "answer_incomplete", "incomplete")
        self.check_lost("/v1/chat/completions", "answer_incomplete", "incomplete")

    def test_present_owner_speaks_for_all_attempts_of_a_claimed_call(self):
        async def check(entry, owner, owners):
            for error in (Overloaded("full"), ProgramEnded("over")):
                owner.faults = [break_exchange, raise_later(error)]
                reply = await entry.post(ISSUE, {})
                outcome = error.call_outcome.value
                self.assertEqual(read_error(reply)["outcome"], outcome)

        run_with_owner(check)

    def test_present_owner_does_not_speak_for_a_repeatable_call_without_claim(self):
        async def check(entry, owner, owners):
            owner.faults = [break_exchange, raise_later(Overloaded("full"))]
            reply = await entry.post(LOOK_UP, {})
            self.assertEqual(read_error(reply)["outcome"], "incomplete")

        run_with_owner(check)

    def test_owner_that_lost_the_program_does_not_speak_for_earlier_attempts(self):
        async def check(entry, owner, owners):
            for path, outcome in ((LOOK_UP, "incomplete"), (ISSUE, "unknown")):
                owner.faults = [break_exchange, raise_later(NotFound("not known"))]
                reply = await entry.post(path, {})
                self.assertEqual(read_error(reply)["kind"], "not_found")
                self.assertEqual(read_error(reply)["outcome"], outcome)

        run_with_owner(check)

    def test_deposed_owner_leaves_the_outcome_open_until_the_present_one_answers(self):
        async def check(entry, owner, owners):
            deposed = WrongOwner("deposed", outcome=Outcome.UNKNOWN)
            owner.faults = [raise_later(deposed), hang]
            headers = {**HEADERS, "goldcrestvane-timeout": "0.5"}
            reply = await entry.post(ISSUE, {}, headers=headers)
            self.assertEqual(read_error(reply)["outcome"], "unknown")

        run_with_owner(check)

    def test_other_errors_are_passed_on_at_once(self):
        async def check(entry, owner, owners):
            owner.faults = [raise_later(Unavailable("no target", retry_after=7.0))]
            reply = await entry.post(ISSUE, {})
            self.assertEqual(reply.status, 503)
            self.assertEqual(reply.headers["retry-after"], "7")
            self.assertEqual(read_error(reply)["outcome"], "not_run")
            self.assertEqual(len(owner.calls), 1)

        run_with_owner(check)

    def test_silent_owner_past_the_deadline_leaves_a_side_effect_unknown(self):
        async def check(entry, owner, owners):
            owner.faults = [hang]
            headers = {**HEADERS, "goldcrestvane-timeout": "0.2"}
            reply = await entry.post(ISSUE, {}, headers=headers)
            self.assertEqual(read_error(reply)["outcome"], "unknown")
            self.assertEqual(len(owner.calls), 1)

        run_with_owner(check)

    def test_deadline_in_a_wait_for_an_owner_means_not_run(self):
        async def main():
            async with serve_entry(FakeOwners(None)) as entry:
                headers = {**HEADERS, "goldcrestvane-timeout": "0.1"}
                reply = await entry.post(ISSUE, {}, headers=headers)
                self.assertEqual(read_error(reply)["kind"], "deadline_exceeded")
                self.assertEqual(read_error(reply)["outcome"], "not_run")

        trio.run(main)

    def test_silent_owner_is_left_when_the_shard_has_moved(self):
        async def main():
            with trio.fail_after(GIVE_UP_SECONDS):
                first, second = FakeOwner("first"), FakeOwner("second")
                async with serve_owner(first) as old, serve_owner(second) as new:
                    owners = FakeOwners(old, new)
                    first.faults = [hang]
                    async with serve_entry(owners) as entry:
                        async with trio.open_nursery() as nursery:
                            nursery.start_soon(self.check_second, entry)
                            await wait_until(lambda: first.calls)
                            owners.move()

        trio.run(main)

    def test_map_that_names_the_next_owner_already_is_not_waited_for(self):
        async def main():
            with trio.fail_after(GIVE_UP_SECONDS):
                first, second = FakeOwner("first"), FakeOwner("second")
                async with serve_owner(first) as old, serve_owner(second) as new:
                    owners = FakeOwners(old, new)

                    async def lose_shard():
                        owners.move()
                        raise WrongOwner("handed over")

                    first.faults = [lose_shard]
                    async with serve_entry(owners) as entry:
                        await self.check_second(entry)
                    self.assertEqual(owners.refreshes, 0)

        trio.run(main)

    async def check_second(self, entry):
        reply = await entry.post(ISSUE, {})
        self.assertEqual(reply.headers["goldcrestvane-owner"], "second")
