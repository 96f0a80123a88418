import itertools
import unittest

import trio
import trio.testing
from fakes import FakeObjects

from goldcrestvane_common.errors import VersionConflict
from goldcrestvane_common.objects import ObjectStoreUnavailable, WriteOutcomeUnknown
from goldcrestvane_common.settings import (
    MAX_AUDIT_RECORDS,
    TeamDocument,
    TeamSettings,
)
from goldcrestvane_common.settings_tree.state import (
    SettingsUnreadable,
    read_audit_records,
    read_team_state,
)
from goldcrestvane_common.settings_tree.update import (
    UNREADABLE_LINE,
    ChangeOutcomeUnknown,
    ChangeRequest,
    change_team,
)
from goldcrestvane_common.settings_tree.validation import SettingsInvalid

KEY = "control/settings/alpha"


class ChangeTeamTests(unittest.TestCase):
    def setUp(self):
        self.objects = FakeObjects()
        self.change_ids = itertools.count()

    def run_task(self, call, *arguments):
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(call, *arguments, clock=clock)

    def apply(
        self, weight, *, operator="ada", expected=None, team="alpha", change_id=None
    ):
        request = ChangeRequest(
            operator=operator,
            action="apply",
            expected_version=expected,
            replaces_all=True,
            change_id=change_id or f"token-{next(self.change_ids)}",
        )
        return self.run_task(
            change_team,
            self.objects,
            team,
            lambda _: TeamSettings(cache_weight=weight),
            request,
        )

    def test_change_and_record_are_one_update(self):
        result = self.apply(0.1)
        document = self.objects.objects[KEY].decode(TeamDocument)
        self.assertEqual(self.objects.revision, 1)
        self.assertEqual(result.version, 1)
        self.assertEqual(result.stored, self.objects.objects[KEY])
        self.assertEqual(document.settings.cache_weight, 0.1)
        self.assertEqual(document.audit[0].operator, "ada")
        self.assertEqual(document.audit[0].changes, result.changes)

    def test_change_to_the_same_settings_writes_nothing(self):
        self.apply(0.1)
        result = self.apply(0.1)
        self.assertIsNone(result.stored)
        self.assertEqual(self.objects.revision, 1)

    def test_version_conflict_names_the_last_operator(self):
        self.apply(0.1, operator="bob")
        with self.assertRaises(VersionConflict) as caught:
            self.apply(0.2, expected=7)
        self.assertIn("bob", caught.exception.message)
        self.assertIn("settings diff alpha", caught.exception.message)

    def test_change_between_read_and_write_is_a_conflict(self):
        self.apply(0.1)
        write = self.objects.write

        async def write_after_bob(key, value, *, expected_version):
            self.objects.write = write
            await change_team(
                self.objects,
                "alpha",
                lambda _: TeamSettings(cache_weight=0.9),
                ChangeRequest(operator="bob", action="apply"),
            )
            return await write(key, value, expected_version=expected_version)

        self.objects.write = write_after_bob
        with self.assertRaises(VersionConflict) as caught:
            self.apply(0.2)
        self.assertIn("bob", caught.exception.message)
        state = self.run_task(read_team_state, self.objects, "alpha")
        self.assertEqual(state.settings.cache_weight, 0.9)

    def test_lost_response_is_resolved_by_the_change_id(self):
        self.objects.lose_answers = 1
        result = self.apply(0.1, change_id="mine")
        self.assertEqual(result.version, 1)
        self.assertEqual(self.objects.revision, 1)

    def test_lost_response_is_resolved_after_a_later_change(self):
        write = self.objects.write

        async def lose_then_bob(key, value, *, expected_version):
            self.objects.write = write
            await write(key, value, expected_version=expected_version)
            await change_team(
                self.objects,
                "alpha",
                lambda _: TeamSettings(cache_weight=0.9),
                ChangeRequest(operator="bob", action="apply"),
            )
            raise WriteOutcomeUnknown("lost")

        self.objects.write = lose_then_bob
        self.assertEqual(self.apply(0.1, change_id="mine").version, 2)

    def test_lost_request_is_sent_again(self):
        write = self.objects.write

        async def lose(key, value, *, expected_version):
            self.objects.write = write
            raise WriteOutcomeUnknown("lost")

        self.objects.write = lose
        self.assertEqual(self.apply(0.1).version, 1)

    def test_outage_before_the_write_reports_that_nothing_was_written(self):
        self.objects.outage = True
        with self.assertRaises(ObjectStoreUnavailable):
            self.apply(0.1)

    def test_outage_after_a_lost_response_leaves_the_outcome_unknown(self):
        async def lose(key, value, *, expected_version):
            self.objects.outage = True
            raise WriteOutcomeUnknown("lost")

        self.objects.write = lose
        with self.assertRaises(ChangeOutcomeUnknown) as caught:
            self.apply(0.1, change_id="mine")
        self.assertIn("mine", str(caught.exception))

    def test_invalid_settings_and_names_write_nothing(self):
        with self.assertRaises(SettingsInvalid):
            self.apply(1.5)
        with self.assertRaises(SettingsInvalid):
            self.apply(0.5, team="a/b")
        self.assertEqual(self.objects.revision, 0)

    def test_no_record_is_lost_over_many_changes(self):
        count = 3 * MAX_AUDIT_RECORDS
        for number in range(count):
            self.apply(number / count, change_id=str(number))
        records = self.run_task(read_audit_records, self.objects, "alpha")
        tokens = [record.token for record in records]
        self.assertEqual(tokens, [str(number) for number in range(count)])
        document = self.objects.objects[KEY].decode(TeamDocument)
        self.assertLessEqual(len(document.audit), MAX_AUDIT_RECORDS)

    def test_unreadable_settings_can_be_replaced(self):
        self.objects.put(KEY, {"settings": {"colour": "blue"}})
        self.assertIn(UNREADABLE_LINE, self.apply(0.1).changes)

    def test_unreadable_settings_are_not_edited(self):
        self.objects.put(KEY, {"settings": {"colour": "blue"}})
        request = ChangeRequest(operator="ada", action="set")
        with self.assertRaises(SettingsUnreadable):
            self.run_task(
                change_team, self.objects, "alpha", lambda _: TeamSettings(), request
            )
        self.assertEqual(self.objects.revision, 1)

    def test_object_that_is_not_a_team_document_is_rejected(self):
        self.objects.put(KEY, [1])
        with self.assertRaises(SettingsUnreadable):
            self.apply(0.1)
