import unittest
from unittest import mock

import msgspec

from goldcrestvane_common.objects import StoredObject
from goldcrestvane_daemon.quarantine import (
    Quarantine,
    QuarantineList,
    QuarantineStatus,
    Suspect,
)

KEY = "control/quarantine/s1"


class UnreadableSuspectsTests(unittest.TestCase):
    def test_suspects_stay_known_while_their_object_is_unreadable(self):
        """Guards against requests that fail, or crash further targets, meanwhile."""
        suspects = QuarantineList({"f1": Suspect(deaths=["d1"], time=1.0)})
        feed = mock.Mock()
        quarantine = Quarantine(
            objects=mock.Mock(),
            feed=feed,
            membership=mock.Mock(),
            transport=mock.Mock(),
        )
        for version, value in ((3, msgspec.json.encode(suspects)), (4, b"null")):
            feed.get_object.return_value = StoredObject(
                KEY, version, msgspec.Raw(value)
            )
            with self.subTest(version=version):
                status = quarantine.get_status("s1", "f1")
                self.assertIs(status, QuarantineStatus.ISOLATED)


if __name__ == "__main__":
    unittest.main()
