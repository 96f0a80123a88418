import unittest

import msgspec

from goldcrestvane_daemon.accounts.directory import Quota, compute_key_digest
from goldcrestvane_daemon.platform.object_decoding import (
    decode_configuration,
    decode_target,
)
from goldcrestvane_daemon.routes import CallKind
from goldcrestvane_daemon.targets import TargetState

ENTRY = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1717171717000,
}
ROUTE = {
    "name": "r1",
    "host": "Shop.example",
    "path_prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 3000,
    "target_latency_ms": 300,
    "service": "s1",
    "attempts": 2,
    "retention_enabled": True,
    "retention_s": 60.0,
    "resumable": False,
    "target_gap_ms": 250,
}


class DecodeTargetTests(unittest.TestCase):
    def decode(self, **changes):
        return decode_target("i-1", msgspec.json.encode({**ENTRY, **changes}))

    def test_valid_target_is_decoded(self):
        target = self.decode()
        self.assertEqual((target.host, target.port), ("10.0.0.9", 8080))
        self.assertEqual(target.state, TargetState.READY)

    def test_malformed_values_are_no_target(self):
        wrong = (
            {"state": "sleeping"},
            {"slots": "many"},
            {"slots": 0},
            {"slots": 2**63},
            {"address": "nowhere"},
            {"address": "10.0.0.9:²"},
            {"address": "10.0.0.9:65536"},
            {"address": None},
            {"service": 7},
            {"zone": None},
        )
        for changes in wrong:
            with self.subTest(changes):
                self.assertIsNone(self.decode(**changes))
        for value in (b"", b"null", b"[]", b"\xff\xfe", b"{"):
            with self.subTest(value):
                self.assertIsNone(decode_target("i-1", value))

    def test_missing_fields_are_no_target(self):
        for name in ("service", "address", "zone", "slots", "state"):
            entry = {key: value for key, value in ENTRY.items() if key != name}
            with self.subTest(name):
                self.assertIsNone(decode_target("i-1", msgspec.json.encode(entry)))

    def test_restarted_target_with_the_same_id_has_another_key(self):
        self.assertNotEqual(self.decode().key, self.decode(born=1717171799000).key)


class DecodeAccountsTests(unittest.TestCase):
    def decode(self, **values):
        value = {"version": 7, "routes": [ROUTE], "services": [], **values}
        return decode_configuration(msgspec.json.encode(value))

    def test_accounts_are_decoded(self):
        shop = {
            "name": "shop",
            "api_keys": ["k1", "k2"],
            "priority": 1,
            "rate_per_s": 222,
            "burst": 111,
        }
        accounts = self.decode(tenants=[shop]).accounts
        account = accounts.find(compute_key_digest("k2"))
        self.assertEqual(
            (account.account, account.priority, account.quota),
            ("shop", 1, Quota(rate=222, burst=111)),
        )

    def test_missing_or_zero_rate_means_no_quota(self):
        tenants = [{"name": "a"}, {"name": "b", "rate_per_s": 0, "burst": 5}]
        accounts = self.decode(tenants=tenants).accounts
        self.assertIsNone(accounts.get("a").quota)
        self.assertIsNone(accounts.get("b").quota)

    def test_configuration_without_accounts_needs_no_keys(self):
        self.assertFalse(self.decode().accounts.is_enabled)

    def test_configuration_that_removes_the_last_account_still_needs_keys(self):
        self.assertTrue(self.decode(tenants=[]).accounts.is_enabled)


class DecodeConfigurationTests(unittest.TestCase):
    def decode(self, **changes):
        value = {"version": 7, "routes": [{**ROUTE, **changes}], "services": []}
        return decode_configuration(msgspec.json.encode(value)).routes[0]

    def test_route_is_decoded(self):
        route = self.decode()
        self.assertEqual(route.host, "shop.example")
        self.assertEqual(route.kind, CallKind.STREAM)
        self.assertEqual(route.timeout_seconds, 3.0)
        self.assertTrue(route.stores_turns)
        self.assertFalse(route.repeatable)

    def test_unknown_kind_may_run_only_once(self):
        self.assertEqual(self.decode(kind="new").kind, CallKind.ONCE)

    def test_traffic_split_is_decoded(self):
        shares = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        route = self.decode(service=None, traffic_split=shares)
        self.assertEqual([s.weight for s in route.weighted_services], [90, 10])


if __name__ == "__main__":
    unittest.main()
