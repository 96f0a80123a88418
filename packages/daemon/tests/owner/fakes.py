import msgspec
import trio

from goldcrestvane_common.objects import (
    ObjectStoreUnavailable,
    ObjectVersionConflict,
    StoredObject,
    WriteOutcomeUnknown,
)


class FakeObjects:
    """In-memory object store with injectable faults.

    Attributes:
        down: Whether reads and writes fail.
        lose_answers: Number of the next writes that take effect but fail to report it.
        writes: Number of writes that took effect.
        write_seconds: Time that a write takes.
    """

    def __init__(self):
        self.stored = {}
        self.version = 0
        self.down = False
        self.lose_answers = 0
        self.writes = 0
        self.write_seconds = 0.0

    async def read(self, key):
        if self.down:
            raise ObjectStoreUnavailable("down")
        return self.stored.get(key)

    async def write(self, key, value, *, expected_version):
        if self.write_seconds:
            await trio.sleep(self.write_seconds)
        if self.down:
            raise ObjectStoreUnavailable("down")
        current = self.stored[key].version if key in self.stored else 0
        if current != expected_version:
            raise ObjectVersionConflict(key)
        self.version += 1
        self.writes += 1
        raw = msgspec.Raw(msgspec.json.encode(value))
        self.stored[key] = StoredObject(key, self.version, raw)
        if self.lose_answers:
            self.lose_answers -= 1
            raise WriteOutcomeUnknown(key)
        return self.version

    async def delete(self, key, *, expected_version):
        if self.stored[key].version != expected_version:
            raise ObjectVersionConflict(key)
        del self.stored[key]
