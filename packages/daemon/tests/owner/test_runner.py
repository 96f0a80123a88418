import itertools
import unittest
from unittest import mock

import msgspec
import trio

from goldcrestvane_common.errors import ServiceError, Unavailable, WrongIncarnation
from goldcrestvane_daemon.execution import Execution
from goldcrestvane_daemon.owner import runner as runner_module
from goldcrestvane_daemon.owner.runner import MAX_ATTEMPTS, CallRunner


class Dispatch(msgspec.Struct):
    call: str
    incarnation: str = ""


class FakeConnector:
    """Sidecars that may have restarted since their incarnation was asked for."""

    def __init__(self, targets, *, stale, restarts=0):
        self.incarnations = dict.fromkeys(targets, "new")
        self.known = dict.fromkeys(stale, "old")
        self.restarts = restarts
        self.sent = []

    async def get_incarnation(self, target):
        return self.known.setdefault(
            target.instance, self.incarnations[target.instance]
        )

    async def send_call(self, target, dispatch, execution, *, stream):
        self.sent.append(target.instance)
        self.known.pop(target.instance)
        if self.restarts:
            self.restarts -= 1
            raise WrongIncarnation("restarted")
        if dispatch.incarnation != self.incarnations[target.instance]:
            raise WrongIncarnation("restarted")
        return mock.Mock(value=b"1", usage=None, finish_reason="stop")


class FakeSelector:
    """Chooses the targets in their order and allows no retry."""

    def __init__(self, targets, *, retries=0):
        self.targets = targets
        self.retries = retries
        self.count_call = self.record_error = self.record_answer = mock.Mock()

    def choose(self, dispatch, *, excluded, cache_weight, cached):
        for name in self.targets:
            if name not in excluded:
                target = mock.Mock(instance=name)
                return target, mock.Mock()
        raise Unavailable("no target is left")

    def try_acquire_retry(self, service):
        self.retries -= 1
        return self.retries >= 0


class RestartedSidecarTests(unittest.TestCase):
    def run_call(self, targets, *, retries=0, **options):
        """Runs a call; returns the sidecars to which it was sent, and its error."""
        connector = FakeConnector(targets, **options)
        selector = FakeSelector(targets, retries=retries)
        numbers = itertools.count()

        async def main():
            runner = CallRunner(
                connector=connector,
                directory=mock.Mock(),
                selector=selector,
                starter=mock.Mock(start=mock.AsyncMock(side_effect=start)),
                suspects=mock.Mock(
                    check=mock.AsyncMock(
                        side_effect=lambda _: Dispatch(str(next(numbers)))
                    ),
                    release=mock.AsyncMock(),
                ),
                metrics=mock.Mock(),
            )
            call = mock.MagicMock(deadline=trio.current_time() + 10.0, stream=False)
            call.program.started_calls = {}
            call.program.key = ("shop", "p1")
            shard = mock.MagicMock()
            shard.journal.ownership_lost.is_set.return_value = False
            shard.commit_or_replicate = mock.AsyncMock()
            execution = Execution("hash")
            try:
                await runner._run_attempts(shard, call, execution)
            except ServiceError as error:
                return error
            return None

        async def start(shard, call, dispatch, target):
            return dispatch

        names = ("build_dispatch", "build_rollback", "build_answered_call_ended")
        with mock.patch.multiple(runner_module, **{n: mock.Mock() for n in names}):
            error = trio.run(main)
        return connector.sent, error

    def test_call_is_sent_to_a_restarted_sidecar_again(self):
        """Guards against callers that get the owner's outdated knowledge as an error."""
        sent, error = self.run_call(["s1"], stale=["s1"])
        self.assertIsNone(error)
        self.assertEqual(sent, ["s1", "s1"])

    def test_many_restarted_sidecars_use_up_no_attempts(self):
        targets = [f"s{number}" for number in range(2 * MAX_ATTEMPTS)]
        sent, error = self.run_call(targets, stale=targets)
        self.assertIsNone(error)
        self.assertEqual(sent, ["s0", "s0"])

    def test_sidecar_that_restarts_again_counts_as_an_attempt(self):
        sent, error = self.run_call(["s1", "s2"], stale=[], restarts=9, retries=9)
        self.assertIsInstance(error, ServiceError)
        self.assertEqual(sent, ["s1", "s1", "s2", "s2"])


if __name__ == "__main__":
    unittest.main()
