import unittest
from unittest import mock

import trio
import trio.testing

from goldcrestvane_daemon.ledger import state as state_module
from goldcrestvane_daemon.ledger.messages import (
    Entry,
    EntryPage,
    Failed,
    PullEntries,
    ReadChain,
    StaleView,
    Turn,
    Write,
    get_stamp,
)
from goldcrestvane_daemon.ledger.service import LedgerService
from goldcrestvane_daemon.ledger.state import LedgerState
from goldcrestvane_daemon.ledger.turn_reader import PAGE_BYTES
from goldcrestvane_daemon.ledger.view import get_partition
from ledger.test_view import build_member, build_view

CALL = "c1"


class SlowLog:
    """A disk whose writes end once `finish` is called."""

    def __init__(self, disk):
        self.disk = disk
        self.done = trio.Event()

    def read_synced_view(self):
        return None

    async def append(self, entries):
        await self.done.wait()

    async def write_view(self, view):
        await trio.lowlevel.checkpoint()


def build_turn(call, size=2):
    return Entry(turn=Turn(call, None, b"x" * size, b"out", 60.0))


class ServiceTests(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(state_module.trio, "current_time", return_value=0.0)
        patch.start()
        self.addCleanup(patch.stop)
        self.view = build_view(5)
        self.newer = self.view.replace("m4", build_member("new"))

    def build_service(self, view, name="m0", disk=None):
        self.log = SlowLog(disk or f"disk-{name}")
        service = LedgerService(name, self.log, LedgerState())
        service.adopt(view)
        return service

    def handle(self, service, request):
        return trio.run(service.handle, request)

    def test_reader_with_an_older_view_is_rejected(self):
        service = self.build_service(self.newer)
        answer = self.handle(service, ReadChain(get_stamp(self.view), CALL))
        self.assertEqual(answer, StaleView(self.newer))

    def test_writer_with_an_older_view_is_rejected(self):
        service = self.build_service(self.newer)
        request = Write(get_stamp(self.view), build_turn(CALL))
        self.assertEqual(self.handle(service, request), StaleView(self.newer))

    def test_write_during_which_the_view_changes_is_rejected(self):
        service = self.build_service(self.view)
        answers = []

        async def main():
            async def write():
                request = Write(get_stamp(self.view), build_turn(CALL))
                answers.append(await service.handle(request))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(write)
                await trio.testing.wait_all_tasks_blocked()
                service.adopt(self.newer)
                self.log.done.set()

        trio.run(main)
        self.assertEqual(answers, [StaleView(self.newer)])

    def test_view_counts_as_recorded_only_once_it_is_on_the_disk(self):
        """Guards against entries served under a view that a power loss takes back."""

        async def main():
            service = self.build_service(self.view)
            written, finish = [], trio.Event()

            async def write_view(view):
                await finish.wait()
                written.append(view.epoch)

            async def pull():
                await service.handle(PullEntries(self.newer, [get_partition(CALL)]))
                self.assertEqual(written, [self.newer.epoch])
                answered.append(True)

            answered = []
            self.log.write_view = write_view
            async with trio.open_nursery() as nursery:
                nursery.start_soon(service.adopt_durably, self.newer)
                await trio.testing.wait_all_tasks_blocked()
                nursery.start_soon(pull)
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual(answered, [])
                finish.set()
            self.assertEqual(answered, [True])

        trio.run(main)

    def test_view_that_could_not_be_recorded_is_recorded_by_the_next_request(self):
        """Guards against a full disk that ends a process or is forgotten."""

        async def main():
            service = self.build_service(self.view)
            write_view = mock.AsyncMock(side_effect=[OSError("full"), None])
            self.log.write_view = write_view
            pull = PullEntries(self.newer, [get_partition(CALL)])
            self.assertIsInstance(await service.handle(pull), Failed)
            self.assertIsInstance(await service.handle(pull), EntryPage)
            self.assertIsInstance(await service.handle(pull), EntryPage)
            self.assertEqual(write_view.await_count, 2)

        trio.run(main)

    def test_member_does_not_vote_for_partitions_of_other_groups(self):
        service = self.build_service(self.view)
        own = self.view.list_partitions("m0")
        for number in range(40):
            call = f"c{number}"
            answer = self.handle(service, ReadChain(get_stamp(self.view), call))
            self.assertEqual(answer.votes, get_partition(call) in own)

    def test_member_that_missed_two_resizes_does_not_vote(self):
        service = self.build_service(build_view(3))
        one = build_view(3).add(build_member("new")).remove("new")
        two = one.add(build_member("new"))
        self.assertTrue(
            self.handle(service, ReadChain(get_stamp(build_view(3)), CALL)).votes
        )
        self.assertFalse(self.handle(service, ReadChain(get_stamp(two), CALL)).votes)

    def test_copied_page_names_only_the_partitions_that_the_source_has_complete(self):
        view = self.view.replace("m0", build_member("m0", disk="empty"))
        service = self.build_service(view, disk="empty")
        partitions = sorted(view.list_partitions("m0"))
        service.holdings.mark_copied(partitions[:3])
        page = self.handle(service, PullEntries(view, partitions[:5]))
        self.assertEqual(page.covered, partitions[:5])
        self.assertEqual(page.complete, partitions[:3])

    def test_pages_are_limited_in_size_and_cover_whole_partitions(self):
        service = self.build_service(self.view)
        for number in range(20):
            service._state.apply(build_turn(f"c{number}", PAGE_BYTES // 8))
        wanted = sorted(self.view.list_partitions("m0"))
        calls = set()
        while wanted:
            page = self.handle(service, PullEntries(self.view, wanted))
            size = sum(entry.size for entry in page.entries)
            self.assertLess(size, 2 * PAGE_BYTES)
            calls |= {entry.turn.call for entry in page.entries}
            wanted = wanted[len(page.covered) :]
        own = self.view.list_partitions("m0")
        expected = {f"c{n}" for n in range(20) if get_partition(f"c{n}") in own}
        self.assertEqual(calls, expected)


if __name__ == "__main__":
    unittest.main()
