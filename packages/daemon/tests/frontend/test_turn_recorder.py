import unittest

import msgspec
import trio
import trio.testing

from frontend.frontend_case import CONFIGURATION, FakeLedger
from goldcrestvane_daemon.accounts.directory import ClientAccount
from goldcrestvane_daemon.frontend.admission import AdmissionClass
from goldcrestvane_daemon.frontend.call_context import build_call_context
from goldcrestvane_daemon.frontend.ledger_answers import has_room_for_turns
from goldcrestvane_daemon.frontend.ledger_errors import LedgerUnavailable
from goldcrestvane_daemon.frontend.memory_budget import MemoryBudget
from goldcrestvane_daemon.frontend.refusals import LedgerDown
from goldcrestvane_daemon.frontend.turn_recorder import TurnRecorder
from goldcrestvane_daemon.http1 import RequestHead
from goldcrestvane_daemon.ledger.messages import TokenCharge, Turn, Written
from goldcrestvane_daemon.platform.object_decoding import decode_configuration
from goldcrestvane_daemon.routes import RouteTable

HEADERS = [
    (b"host", b"shop.example"),
    (b"goldcrestvane-request-id", b"c1"),
    (b"goldcrestvane-program-id", b"p1"),
    (b"goldcrestvane-token-budget", b"100"),
    (b"goldcrestvane-token-usage", b"10,40"),
    (b"goldcrestvane-deadline-ms", b"1500"),
]


class TurnRecorderOpenTests(unittest.TestCase):
    def run_script(self, script, headers=(), path=b"/turn/x"):
        async def main():
            routes = RouteTable(
                decode_configuration(msgspec.json.encode(CONFIGURATION))
            )
            head = RequestHead(b"POST", path, [*HEADERS, *headers])
            call = build_call_context(head, b"in", routes, trio.current_time())
            ledger = FakeLedger()
            await script(ledger, TurnRecorder(ledger), call)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_turn_waits_through_a_short_outage_of_the_ledger(self):
        """Simulates a power loss of the ledger, which returns while the turn waits."""

        async def script(ledger, recorder, call):
            ledger.available = False
            async with trio.open_nursery() as nursery:
                nursery.start_soon(recorder.open, call)
                await trio.sleep(0.45)
                ledger.available = True
            self.assertIn("c1", ledger.charges["p1"])

        self.run_script(script)

    def test_turn_that_waits_for_the_ledger_holds_no_memory_for_its_chain(self):
        """Guards against calls that are refused for memory while members restart."""

        async def script(ledger, recorder, call):
            recorder._chain_memory = budget = MemoryBudget(100, max_wait_seconds=0.5)

            async def reserve(*, account, previous, memory):
                await memory.resize(100)
                await trio.sleep(0.05)
                raise LedgerUnavailable("out")

            ledger.open_turn = reserve
            async with trio.open_nursery() as nursery:

                async def open_call():
                    with self.assertRaises(LedgerDown):
                        await recorder.open(call)

                nursery.start_soon(open_call)
                await trio.sleep(0.1)
                self.assertEqual(budget.used, 0)
            self.assertEqual(budget.used, 0)

        self.run_script(script)

    def test_turn_is_refused_before_it_waits_more_than_its_share_of_time(self):
        async def script(ledger, recorder, call):
            ledger.available = False
            with self.assertRaises(LedgerDown) as caught:
                await recorder.open(call)
            self.assertLessEqual(trio.current_time(), 0.4 * 1.5)
            self.assertGreater(caught.exception.retry_after, 0)

        self.run_script(script)

    def test_turn_without_an_account_can_be_continued(self):
        """Guards against a 404 for programs that began before their key was known.

        This is a call on an anonymous route, or one before there were accounts.
        """

        async def script(ledger, recorder, call):
            ledger.turns["c0"] = Turn("c0", None, b"a", b"b", 60.0)
            call.route = msgspec.structs.replace(call.route, stores_turns=True)
            call.account = ClientAccount(account="shop")
            await recorder.open(call)
            self.assertEqual(b"".join(call.body_parts), b"abin")

        self.run_script(script, [(b"goldcrestvane-previous-turn", b"c0")])

    def test_turns_of_a_chain_have_the_same_affinity_key(self):
        """Guards against a chain that each program that continues it processes again."""

        async def script(ledger, recorder, call):
            ledger.turns["c0"] = Turn("c0", None, b"a", b"b", 60.0)
            ledger.turns["c2"] = Turn("c2", "c0", b"c", b"d", 60.0)
            call.route = msgspec.structs.replace(
                call.route, stores_turns=True, sticky=True
            )
            await recorder.open(call)
            keys.append(call.affinity.key)

        keys = []
        for previous in (b"c0", b"c2"):
            self.run_script(script, [(b"goldcrestvane-previous-turn", previous)])
        self.run_script(script)
        self.assertEqual(keys, ["c0", "c0", "c1"])

    def test_stored_turn_is_refused_as_not_run_while_the_ledger_is_full(self):
        """Guards against turns that run and then cannot be stored."""

        async def open_stored(ledger, recorder, call):
            ledger.accepts_turns = False
            with self.assertRaises(LedgerDown) as caught:
                await recorder.open(call)
            self.assertEqual(caught.exception.status, 503)
            self.assertGreater(caught.exception.retry_after, 0)

        async def open_unstored(ledger, recorder, call):
            ledger.accepts_turns = False
            await recorder.open(call)

        self.run_script(open_stored, path=b"/kept/x")
        self.run_script(open_unstored)

    def test_ledger_is_full_if_more_than_half_of_the_answers_say_so(self):
        full = Written(True, accepts_turns=False)
        room = Written(True)
        self.assertTrue(has_room_for_turns([room, full]))
        self.assertTrue(has_room_for_turns([room, room, full]))
        self.assertFalse(has_room_for_turns([room, full, full]))

    def check_admission_class(self, expected, *charges, headers=()):
        async def script(ledger, recorder, call):
            ledger.charges["p1"] = {charge.call: charge for charge in charges}
            await recorder.open(call)
            self.assertIs(call.admission_class, expected)

        self.run_script(script, headers)

    def test_admission_class_follows_from_the_charges_of_the_program(self):
        self.check_admission_class(AdmissionClass.NEW)
        refused = TokenCharge("c0", 0, is_final=True)
        self.check_admission_class(AdmissionClass.RETRIED, refused)
        ran = TokenCharge("c0", 25, is_final=True)
        self.check_admission_class(AdmissionClass.IN_PROGRESS, ran)
        running = TokenCharge("c0", 40)
        self.check_admission_class(AdmissionClass.IN_PROGRESS, running)
        over = (b"goldcrestvane-program-deadline-ms", b"-20")
        self.check_admission_class(AdmissionClass.OVERDUE, ran, headers=[over])
        self.check_admission_class(AdmissionClass.NEW, headers=[over])


if __name__ == "__main__":
    unittest.main()
