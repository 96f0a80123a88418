import unittest

from bench.checker import check_evidence
from bench.checker.evidence_index import EvidenceIndex
from bench.checker.order import check_order
from bench.checker.records import (
    Attempt,
    AttemptOutcome,
    CallKey,
    ChatMessage,
    Departure,
    Property,
    SessionsHeld,
)

from checker.recorded import (
    TEAM,
    build_chat,
    build_clean_evidence,
    build_marker,
    build_settings_seen,
    build_voucher,
    replace,
)
from goldcrestvane_common.settings import Budget


class CheckerCase(unittest.TestCase):
    def setUp(self):
        self.evidence = build_clean_evidence()

    def assert_breaches(self, *expected):
        found = {breach.property for breach in check_evidence(self.evidence)}
        self.assertEqual(found, set(expected))

    def change_record(self, records, index, **changes):
        records[index] = replace(records[index], **changes)


class CleanTests(CheckerCase):
    def test_clean_run_has_no_breach(self):
        self.assertEqual(check_evidence(self.evidence), [])

    def test_repeated_run_of_a_model_call_is_allowed(self):
        self.evidence.team_budgets = {}
        self.change_record(self.evidence.programs, 0, budget=Budget())
        again = replace(self.evidence.runs[0], time=0.9, target="target-llm-2")
        self.evidence.runs.append(again)
        self.assert_breaches()


class OrderTests(CheckerCase):
    def test_calls_without_work_are_skipped(self):
        index = EvidenceIndex(self.evidence)
        self.assertEqual(index.work[CallKey(TEAM, "idle", 1)], [])
        self.assertEqual(list(check_order(self.evidence, index)), [])

    def test_run_of_an_earlier_call_after_a_later_one_is_caught(self):
        self.evidence.team_budgets = {}
        self.change_record(self.evidence.programs, 0, budget=Budget())
        late = replace(self.evidence.runs[0], time=3.0)
        self.evidence.runs.append(late)
        self.assert_breaches(Property.ORDER)

    def test_effect_after_the_next_call_is_caught(self):
        self.change_record(self.evidence.effects, 0, time=4.9)
        self.assert_breaches(Property.ORDER)


class HistoryTests(CheckerCase):
    def assert_history_breach(self, messages):
        run = self.evidence.runs[1]
        changed = replace(run, messages=(*messages, run.messages[-1]))
        self.evidence.runs[1] = changed
        found = check_evidence(self.evidence)
        self.assertIn(Property.HISTORY, {breach.property for breach in found})

    def test_missing_history_is_caught(self):
        self.assert_history_breach(())

    def test_missing_answer_is_caught(self):
        self.assert_history_breach(self.evidence.runs[1].messages[:1])

    def test_changed_answer_is_caught(self):
        first = self.evidence.runs[1].messages[0]
        self.assert_history_breach((first, ChatMessage("assistant", "another answer")))

    def test_turn_of_another_program_is_caught(self):
        own_turns = self.evidence.runs[1].messages[:2]
        other_turns = self.evidence.runs[3].messages[:2]
        self.assert_history_breach((*own_turns, *other_turns))

    def test_repeated_turn_is_caught(self):
        own_turns = self.evidence.runs[1].messages[:2]
        self.assert_history_breach((*own_turns, *own_turns))

    def test_unsent_messages_are_caught_when_the_caller_sends_the_history(self):
        self.change_record(self.evidence.programs, 0, owner_history=False)
        found = {breach.property for breach in check_evidence(self.evidence)}
        self.assertEqual(found, {Property.HISTORY})


class BudgetTests(CheckerCase):
    def test_tokens_of_a_program_are_counted(self):
        self.change_record(self.evidence.programs, 0, budget=Budget(tokens=199))
        self.assert_breaches(Property.BUDGET)

    def test_calls_of_a_program_are_counted(self):
        self.change_record(self.evidence.programs, 0, budget=Budget(calls=2))
        self.assert_breaches(Property.BUDGET)

    def test_calls_of_sub_agents_count_for_the_parent_program(self):
        attempt, run = build_chat("one/sub", 1, sent=2.0)
        self.evidence.attempts.append(attempt)
        self.evidence.runs.append(run)
        self.evidence.team_budgets = {}
        self.assert_breaches(Property.BUDGET)

    def test_tokens_of_a_team_are_counted(self):
        self.evidence.team_budgets = {TEAM: Budget(tokens=399)}
        self.assert_breaches(Property.BUDGET)


class MemoryTests(CheckerCase):
    def test_session_held_long_after_the_end_is_caught(self):
        held = SessionsHeld(target="target-llm-0", time=60.0, sessions=("session-one",))
        self.evidence.sessions_held.append(held)
        self.assert_breaches(Property.ENGINE_MEMORY)

    def test_session_of_an_open_program_may_be_held(self):
        self.change_record(self.evidence.programs, 0, ended=None)
        held = SessionsHeld(target="target-llm-0", time=60.0, sessions=("session-one",))
        self.evidence.sessions_held.append(held)
        self.assert_breaches()


class AnswerTests(CheckerCase):
    def test_truncated_answer_is_caught(self):
        text = self.evidence.attempts[3].text.rpartition(" ")[0]
        self.change_record(self.evidence.attempts, 3, text=text)
        self.assert_breaches(Property.WHOLE_ANSWERS)

    def test_answer_with_a_repeated_word_is_caught(self):
        text = self.evidence.attempts[3].text
        self.change_record(self.evidence.attempts, 3, text=f"{text} {text.split()[-1]}")
        self.assert_breaches(Property.WHOLE_ANSWERS)

    def test_answer_that_ends_at_its_token_limit_is_allowed(self):
        words = self.evidence.attempts[3].text.split()[:5]
        self.change_record(
            self.evidence.attempts,
            3,
            text=" ".join(words),
            finish_reason="length",
            completion_tokens=5,
        )
        self.assert_breaches()

    def test_tool_answer_of_another_call_is_caught(self):
        self.change_record(self.evidence.attempts, 2, result=build_marker("two", 2))
        self.assert_breaches(Property.WHOLE_ANSWERS)

    def test_answer_without_an_effect_is_caught(self):
        del self.evidence.effects[0]
        self.assert_breaches(Property.WHOLE_ANSWERS)


class NotRunTests(CheckerCase):
    def test_effect_of_a_call_reported_as_not_run_is_caught(self):
        for outcome in (AttemptOutcome.NOT_RUN, AttemptOutcome.REFUSED_FINAL):
            self.evidence = build_clean_evidence()
            self.change_record(self.evidence.attempts, 2, outcome=outcome)
            self.assert_breaches(Property.NOT_RUN)

    def test_effect_after_only_a_not_run_attempt_is_caught(self):
        self.change_record(self.evidence.effects, 0, time=1.9)
        self.assert_breaches(Property.NOT_RUN)

    def test_effect_after_a_broken_attempt_is_allowed(self):
        self.change_record(self.evidence.effects, 0, time=1.9)
        self.change_record(self.evidence.attempts, 1, outcome=AttemptOutcome.BROKEN)
        self.evidence.stops = []
        self.assert_breaches()


class AtMostOnceTests(CheckerCase):
    def test_second_effect_is_caught(self):
        second = replace(self.evidence.effects[0], time=2.7, target="target-app-1")
        self.evidence.effects.append(second)
        self.assert_breaches(Property.AT_MOST_ONCE)

    def test_second_effect_of_an_idempotent_call_is_allowed(self):
        for index in (1, 2):
            self.change_record(self.evidence.attempts, index, once=False)
        second = replace(self.evidence.effects[0], time=2.7, target="target-app-1")
        self.evidence.effects.append(second)
        self.assert_breaches()

    def test_one_effect_of_a_call_with_unknown_outcome_is_allowed(self):
        self.change_record(
            self.evidence.attempts, 2, outcome=AttemptOutcome.UNKNOWN, result=""
        )
        self.evidence.stops = []
        self.assert_breaches()


class DepartureTests(CheckerCase):
    def test_work_after_the_grace_time_of_a_departure_is_caught(self):
        self.evidence.departures = [Departure(target="target-app-0", time=-0.9)]
        self.assert_breaches(Property.LEAVING)

    def test_work_after_the_targets_return_is_allowed(self):
        self.evidence.departures = [
            Departure(target="target-app-0", time=-0.9, returned=2.0)
        ]
        self.assert_breaches()

    def test_request_cut_off_by_a_planned_stop_is_caught(self):
        self.change_record(self.evidence.attempts, 2, outcome=AttemptOutcome.BROKEN)
        self.assert_breaches(Property.PLANNED_STOP)

    def test_planned_stop_that_does_not_finish_is_caught(self):
        self.change_record(self.evidence.stops, 0, finished=False)
        self.assert_breaches(Property.PLANNED_STOP)

    def test_request_cut_off_during_a_disturbance_is_allowed(self):
        self.change_record(self.evidence.attempts, 2, outcome=AttemptOutcome.BROKEN)
        self.change_record(self.evidence.disturbances, 0, started=2.5)
        self.assert_breaches()


class SettingsTests(CheckerCase):
    def test_decreasing_version_is_caught(self):
        self.evidence.settings_writes.clear()
        self.evidence.settings_seen.append(build_settings_seen(1, asked=10.0))
        self.assert_breaches(Property.SETTINGS)

    def test_outdated_version_is_caught(self):
        self.evidence.settings_seen[1] = build_settings_seen(1, asked=9.5)
        self.assert_breaches(Property.SETTINGS)

    def test_missing_version_of_a_team_is_caught(self):
        seen = replace(self.evidence.settings_seen[0], versions={})
        self.evidence.settings_seen[0] = seen
        self.assert_breaches(Property.SETTINGS)


class RecordTests(CheckerCase):
    def test_marker_of_a_run_is_that_of_the_last_message(self):
        self.assertEqual(self.evidence.runs[1].marker, build_marker("one", 3))

    def test_attempt_of_a_tool_call_has_no_messages(self):
        attempt, effect = build_voucher("three", 1, sent=0.0)
        self.assertIsInstance(attempt, Attempt)
        self.assertEqual(attempt.messages, ())
        self.assertEqual(effect.marker, attempt.marker)
