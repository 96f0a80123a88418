"""The configuration in force at a frontend, and how current it is."""

import math
from typing import final

import msgspec

from goldcrestvane_common.ids import Version
from goldcrestvane_common.logs import get_logger
from goldcrestvane_daemon.clock import get_elapsed_time
from goldcrestvane_daemon.frontend.snapshot import ChangeSource, Snapshot
from goldcrestvane_daemon.platform.object_decoding import (
    CONFIGURATION_NAME,
    decode_configuration,
)
from goldcrestvane_daemon.platform.store import StoreObject
from goldcrestvane_daemon.routes import Configuration, RouteTable

logger = get_logger("directory")


@final
class ConfigurationCopy:
    """Decodes the configuration of a snapshot and puts it in force.

    Attributes:
        routes: Routes of the configuration in force; None before the first one.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._revision = Version(0)
        self.routes: RouteTable | None = None

    def get_age(self) -> float:
        """Returns the seconds since the configuration in force is known to be the newest.

        Infinite if the snapshot has another configuration than the one in force, for
        example one that cannot be decoded.
        """
        newest = self._snapshot.objects.get(CONFIGURATION_NAME)
        if newest is None or newest.deleted or newest.version != self._revision:
            return math.inf
        return self._snapshot.get_age(get_elapsed_time())

    def may_have_accounts(self) -> bool:
        """Returns whether the configuration has accounts, or is not known yet."""
        return self.routes is None or self.routes.configuration.accounts.is_enabled

    def apply(self, item: StoreObject, source: ChangeSource) -> bool:
        """Puts a configuration in force if it is newer; returns whether it is."""
        if item.name != CONFIGURATION_NAME or item.deleted:
            return False
        try:
            configuration = decode_configuration(item.value)
        except msgspec.DecodeError as error:
            logger.error(
                "cannot decode the configuration", extra={"reason": str(error)}
            )
            return False
        if not self._is_newer(configuration, item):
            return False
        before = self.routes.configuration.version if self.routes else Version(0)
        self._revision = item.version
        self.routes = RouteTable(configuration)
        logger.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "before": before,
                "routes": len(configuration.routes),
                "revision": item.version,
                "source": source.value,
            },
        )
        return True

    def _is_newer(self, configuration: Configuration, item: StoreObject) -> bool:
        """Returns whether a configuration replaces the one in force.

        With accounts, the revision of the store decides. A configuration without a key
        must take effect even if its writer did not raise the version.
        """
        if self.routes is None:
            return configuration.version > 0
        current = self.routes.configuration
        if configuration.accounts.is_enabled or current.accounts.is_enabled:
            return item.version > self._revision
        return configuration.version > current.version
