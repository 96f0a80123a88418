"""Components that entries and sidecars share."""

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
    """Components that every entry and sidecar is built from.

    Attributes:
        settings: Validated settings of the process.
        transport: HTTP client.
        objects: Client of the platform's object API.
        membership: This process's view of the instances.
        feed: Local copy of the control objects.
        rng: Random generator seeded with the instance id.
    """

    settings: DaemonSettings
    transport: Transport
    objects: ObjectClient
    membership: Membership
    feed: ControlFeed
    rng: random.Random
