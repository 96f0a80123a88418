import unittest

import msgspec

from goldcrestvane_common.settings import Priority, TeamSettings
from goldcrestvane_common.settings_tree.validation import (
    SettingsInvalid,
    validate_settings,
)


class ValidationTests(unittest.TestCase):
    def list_faults(self, raw):
        with self.assertRaises(SettingsInvalid) as caught:
            validate_settings(raw)
        return {fault.path: fault for fault in caught.exception.faults}

    def test_valid_settings_decode(self):
        raw = {
            "programs": {"fitting": {"priority": "batch", "budget": {"tokens": 0}}},
            "services": {
                "search": {
                    "kind": "tool",
                    "operations": {"find": {"timeout_seconds": 3}},
                }
            },
            "token_sha256": "a" * 64,
        }
        settings = validate_settings(raw)
        self.assertIs(settings.programs["fitting"].priority, Priority.BATCH)
        self.assertEqual(validate_settings(msgspec.to_builtins(settings)), settings)
        self.assertEqual(validate_settings({}), TeamSettings())

    def test_all_faults_are_listed_at_once(self):
        raw = {
            "programs": {
                "fit ting": {},
                "one": {"priority": "hasty", "budget": {"tokens": -1, "calls": 1.5}},
                "two": {"budget": {"seconds": 0, "depth": True}},
            },
            "services": {
                "model": {"kind": "model", "operations": {"go": {}}},
                "tool": {"kind": "tool", "operations": {"x": {"timeout_seconds": 0}}},
                "bare": {"slots": 0},
                "a.b": {"kind": "tool", "timeout_seconds": "long"},
            },
            "cache_weight": 1.5,
            "token_sha256": "secret",
            "colour": "blue",
        }
        self.assertEqual(
            set(self.list_faults(raw)),
            {
                "programs.fit ting",
                "programs.one.priority",
                "programs.one.budget.tokens",
                "programs.one.budget.calls",
                "programs.two.budget.seconds",
                "programs.two.budget.depth",
                "services.model.operations",
                "services.tool.operations.x.timeout_seconds",
                "services.bare.kind",
                "services.bare.slots",
                'services."a.b".timeout_seconds',
                "cache_weight",
                "token_sha256",
                "colour",
            },
        )

    def test_fault_states_value_expectation_and_remedy(self):
        raw = {"programs": {"one": {"priority": "hasty"}}}
        self.assertEqual(
            str(self.list_faults(raw)["programs.one.priority"]),
            'programs.one.priority: got "hasty", expected one of interactive, '
            "standard, batch; choose one of them",
        )

    def test_json_other_than_an_object_is_a_fault(self):
        for raw in (None, [], "text", 3):
            with self.subTest(raw):
                self.assertEqual(set(self.list_faults(raw)), {""})
        self.assertEqual(set(self.list_faults({"programs": []})), {"programs"})
