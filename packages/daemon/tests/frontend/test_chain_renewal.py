import random
import unittest

from ledger.direct_ledger import RETENTION_SECONDS, run_direct_ledger

from goldcrestvane_daemon.frontend.chain_renewal import RENEWAL_INTERVAL_SECONDS
from goldcrestvane_daemon.frontend.ledger_client import LedgerUnavailable
from goldcrestvane_daemon.ledger.messages import ReadChain
from goldcrestvane_daemon.ledger.turn_cache import TurnCache

THREE = ["a", "b", "c"]
SIX = ["a", "b", "c", "d", "e", "f"]


def list_calls(opened):
    return [turn.call for turn in opened.chain]


class ChainRetentionTests(unittest.TestCase):
    """A chain is kept as long as its newest turn."""

    def test_chain_outlives_members_that_each_missed_a_turn(self):
        """Guards against a 404 for a kept turn after a rolling restart of the members."""

        async def script(ledger):
            await ledger.run_turn("c0")
            for number, name in enumerate(THREE):
                await ledger.stop(name)
                await ledger.run_turn(f"c{number + 1}", f"c{number}")
                await ledger.start(name)
            await ledger.advance(55.0)
            await ledger.run_turn("c4", "c3")
            await ledger.advance(55.0)
            opened = await ledger.open_turn("c5", "c4", frontend="f2")
            self.assertEqual(list_calls(opened), ["c4", "c3", "c2", "c1", "c0"])

        run_direct_ledger(script, THREE, tolerated_losses=1)

    def test_chain_in_several_groups_is_kept(self):
        """Guards against a 404 where a ledger has more members than a group."""

        async def script(ledger):
            calls = [f"c{number}" for number in range(12)]
            for previous, call in zip([None, *calls], calls, strict=False):
                await ledger.run_turn(call, previous)
            await ledger.advance(55.0)
            await ledger.run_turn("d", calls[-1])
            await ledger.advance(55.0)
            opened = await ledger.open_turn("e", "d", frontend="f2")
            self.assertEqual(list_calls(opened), ["d", *reversed(calls)])

        run_direct_ledger(script, SIX, tolerated_losses=1)

    def test_turn_that_members_missed_survives_the_loss_of_the_others(self):
        """Guards against a turn whose copies are never made up for."""

        async def script(ledger):
            await ledger.stop("a")
            await ledger.run_turn("c0")
            await ledger.start("a")
            await ledger.advance(RENEWAL_INTERVAL_SECONDS + 1.0)
            await ledger.run_turn("c1", "c0")
            await ledger.lose_disk("b")
            await ledger.advance(RETENTION_SECONDS - 5.0)
            await ledger.stop("c")
            self.assertTrue(ledger.members["a"].state.has_turn("c0"))

        run_direct_ledger(script, THREE, tolerated_losses=1)

    def test_renewal_is_durable(self):
        async def script(ledger):
            await ledger.run_turn("c0")
            await ledger.advance(50.0)
            await ledger.run_turn("c1", "c0")
            for name in THREE:
                await ledger.stop(name)
                await ledger.start(name)
            await ledger.advance(50.0)
            opened = await ledger.open_turn("c2", "c1", frontend="f2")
            self.assertEqual(list_calls(opened), ["c1", "c0"])

        run_direct_ledger(script, THREE, tolerated_losses=1)

    def test_turn_is_not_stored_while_its_chain_cannot_be_kept(self):
        async def script(ledger):
            await ledger.run_turn("c0")
            await ledger.advance(30.0)
            opened = await ledger.open_turn("c1", "c0")
            await ledger.stop("a")
            await ledger.stop("b")
            with self.assertRaises(LedgerUnavailable):
                await ledger.get_client("f1")._renew_chain(
                    list_calls(opened), RETENTION_SECONDS
                )

        run_direct_ledger(script, THREE, tolerated_losses=1)

    def test_chain_that_was_just_renewed_is_not_renewed_again(self):
        """Guards against a message to every group of a chain for each of its turns."""

        async def script(ledger):
            requests = []

            async def call(address, request, timeout=None):
                requests.append(type(request).__name__)
                return await ledger.call(address, request)

            await ledger.run_turn("c0")
            ledger.get_client("f1").call = call
            for number in range(4):
                await ledger.run_turn(f"c{number + 1}", f"c{number}")
            self.assertNotIn("RenewTurns", requests)
            await ledger.advance(RENEWAL_INTERVAL_SECONDS + 1.0)
            for number in range(4, 8):
                await ledger.run_turn(f"c{number + 1}", f"c{number}")
            self.assertEqual(requests.count("RenewTurns"), len(THREE))

        run_direct_ledger(script, THREE, tolerated_losses=1)


class LargeChainTests(unittest.TestCase):
    def test_chain_that_is_larger_than_the_cache_is_read_once(self):
        """Guards against reading older turns that push the newer ones out for ever."""

        async def script(ledger):
            client = ledger.get_client("f2")
            client.chains.cache = TurnCache(3000)
            calls = [f"c{number}" for number in range(12)]
            for previous, call in zip([None, *calls], calls, strict=False):
                await ledger.run_turn(call, previous, size=800)
            reads = []

            async def call(address, request, timeout=None):
                if isinstance(request, ReadChain):
                    reads.append(request.call)
                    self.assertLessEqual(len(reads), 3 * len(calls))
                return await ledger.call(address, request)

            client.call = call
            for _ in range(2):
                reads.clear()
                opened = await ledger.open_turn("d", calls[-1], frontend="f2")
                self.assertEqual(list_calls(opened), [*reversed(calls)])

        for names in (THREE, SIX):
            run_direct_ledger(script, names, tolerated_losses=1)


class AccountRetentionTests(unittest.TestCase):
    """A program's charges are kept as long as its last one."""

    def test_charges_outlive_members_that_each_missed_one(self):
        """Guards against a budget that is exceeded after a rolling restart."""

        async def script(ledger):
            for name, call, seconds in (
                ("b", "c1", 1.0),
                ("a", "c2", 20.0),
                ("c", "c3", 55.0),
            ):
                # The time of a member's log goes on from its newest record.
                await ledger.open_turn(f"other-{call}", program="other")
                await ledger.stop(name)
                await ledger.open_turn(call)
                await ledger.start(name)
                await ledger.advance(seconds)
            await ledger.stop("a")
            opened = await ledger.open_turn("c4", frontend="f2")
            self.assertEqual(set(opened.charges), {"c1", "c2", "c3", "c4"})

        run_direct_ledger(script, THREE, tolerated_losses=1)

    def test_members_that_have_all_charges_are_written_to_once(self):
        async def script(ledger):
            requests = []

            async def call(address, request, timeout=None):
                requests.append(type(request).__name__)
                return await ledger.call(address, request)

            for number in range(5):
                await ledger.open_turn(f"c{number}")
            ledger.get_client("f1").call = call
            await ledger.open_turn("c5")
            self.assertEqual(len(requests), len(THREE))

        run_direct_ledger(script, THREE, tolerated_losses=1)


class RandomLossTests(unittest.TestCase):
    """Losses within the tolerated number, in series and overlapping, in any order.

    Some members come back with an empty disk.
    """

    def play(self, seed, names, tolerated_losses):
        rng = random.Random(seed)

        async def script(ledger):
            lines = [[] for _ in range(2)]
            down = []
            for step in range(60):
                await self.change_members(ledger, rng, down, tolerated_losses)
                line = rng.choice(lines)
                name = f"f{rng.randrange(4)}-{step // 10}"
                if line and ledger.clock.current_time() > line[-1][1] + 59.0:
                    line.clear()
                previous = line[-1][0] if line else None
                opened = await ledger.run_turn(f"c{step}", previous, frontend=name)
                self.assertEqual(list_calls(opened), [c for c, _ in reversed(line)])
                charged = {f"c{number}" for number in range(step + 1)}
                self.assertEqual(set(opened.charges), charged)
                line.append((f"c{step}", ledger.clock.current_time()))
                await ledger.advance(rng.choice([0.0, 0.2, 1.0, 3.0, 20.0, 50.0]))

        run_direct_ledger(script, names, tolerated_losses=tolerated_losses)

    async def change_members(self, ledger, rng, down, tolerated_losses):
        while down and rng.random() < 0.5:
            name = down.pop(rng.randrange(len(down)))
            if rng.random() < 0.3:
                await ledger.replace_disk(name)
            else:
                await ledger.start(name)
        if len(down) < tolerated_losses and rng.random() < 0.6:
            up = [name for name in ledger.members if ledger.members[name].is_up]
            down.append(rng.choice(up))
            await ledger.stop(down[-1])

    def test_kept_turns_are_found_with_three_members(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                self.play(seed, THREE, 1)

    def test_kept_turns_are_found_with_six_members(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                self.play(seed, SIX, 2)


if __name__ == "__main__":
    unittest.main()
