import unittest

import trio
import trio.testing

from goldcrestvane_standins.batch import Batch, BatchSettings
from goldcrestvane_standins.prefixes import PrefixCache
from goldcrestvane_standins.runs import Message, Run, RunState

SETTINGS = BatchSettings(
    slots=1,
    token_seconds=1.0,
    prefill_token_seconds=0.5,
    stream_retention_seconds=100.0,
)


def build_run(content, *, priority=0, session="s"):
    return Run(
        stream_id=content,
        session=session,
        model="m",
        messages=(Message("user", content),),
        max_tokens=4,
        priority=priority,
    )


class BatchTests(unittest.TestCase):
    def run_batch(self, check):
        async def main():
            async with trio.open_nursery() as nursery:
                cache = PrefixCache(capacity=1000, event_lag=0.0, gap_every=0)
                batch = Batch(SETTINGS, cache, nursery=nursery, on_change=lambda: None)
                await check(batch)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_only_uncached_prompt_tokens_are_prefilled(self):
        async def check(batch):
            for content, seconds in (("a b c d", 6.0), ("a b c d e f", 5.0)):
                start = trio.current_time()
                run = build_run(content)
                batch.start(run)
                await run.wait_until_finished()
                self.assertAlmostEqual(trio.current_time() - start, seconds)
            self.assertEqual(run.compute_usage().cached_tokens, 4)
            self.assertEqual(run.finish_reason, "length")

        self.run_batch(check)

    def test_run_with_lowest_priority_number_gets_the_next_slot(self):
        async def check(batch):
            running, low_priority, high_priority = (
                build_run("first"),
                build_run("late", priority=5),
                build_run("early", priority=1),
            )
            batch.start(running)
            await trio.testing.wait_all_tasks_blocked()
            batch.start(low_priority)
            batch.start(high_priority)
            await high_priority.wait_until_finished()
            self.assertEqual(running.state, RunState.DONE)
            self.assertEqual(low_priority.words, [])

        self.run_batch(check)

    def test_cancelled_runs_free_their_slot_and_queue_position(self):
        async def check(batch):
            runs = [build_run(name) for name in ("running", "queued", "next")]
            for run in runs:
                batch.start(run)
                await trio.testing.wait_all_tasks_blocked()
            runs[1].cancel_scope.cancel()
            runs[0].cancel_scope.cancel()
            await runs[2].wait_until_finished()
            states = [run.state for run in runs]
            self.assertEqual(
                states, [RunState.CANCELLED, RunState.CANCELLED, RunState.DONE]
            )
            self.assertEqual(batch.count(RunState.RUNNING), 0)

        self.run_batch(check)

    def test_finished_stream_stays_readable_for_the_retention_time(self):
        async def check(batch):
            run = build_run("a")
            batch.start(run)
            await run.wait_until_finished()
            await trio.sleep(99.0)
            self.assertIn("a", batch.streams)
            await trio.sleep(2.0)
            self.assertNotIn("a", batch.streams)

        self.run_batch(check)
