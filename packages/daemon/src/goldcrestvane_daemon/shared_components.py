"""The components that entries and sidecars have in common."""

import random
from dataclasses import dataclass
from typing import final

from goldcrestvane_common.feed import ControlFeed
from goldcrestvane_common.objects import ObjectClient
from goldcrestvane_common.transport import Transport
from goldcrestvane_daemon.membership import Membership
from goldcrestvane_daemon.settings import DaemonSettings


@final
@dataclass(frozen=True, kw_only=True)
class SharedComponents:
    """What every process is built from.

    Attributes:
        settings: Checked settings of the process.
        transport: HTTP client.
        objects: Client of the platform's object API.
        membership: The instances as this process sees them.
        feed: Copy of the control objects.
        rng: Seeded by the instance id.
    """

    settings: DaemonSettings
    transport: Transport
    objects: ObjectClient
    membership: Membership
    feed: ControlFeed
    rng: random.Random
