"""Targets of a soak: they run requests, crash, break off and leave."""

import random
from typing import final

import h11
import trio

from bench.soak.accounts import KEY_PREFIX
from bench.soak.links import Link
from bench.soak.records import Arrival, Evidence
from goldcrestvane_common.ids import AccountId, CallId, InstanceId
from goldcrestvane_standins.platformstore import PlatformStore

HOST = "127.0.0.1"
EVENTS = 8
EVENT_SECONDS = 0.04
LONG_EVENT_SECONDS = 0.12
"""Time between events where outages are to meet many streams."""

RUN_SECONDS = 0.02
SLOTS = 8
BREAK_SHARE = 0.15
"""Share of the streams that a target breaks off."""

CALL = "goldcrestvane-request-id"
ACCOUNT = "goldcrestvane-tenant"


@final
class SoakTarget:
    """One start of a target.

    Attributes:
        instance: Id of this start.
        software: Version of its software.
        leaving: Whether its responses say that it leaves.
        rate_limit: Requests per second that its responses state as its limit, if any.
        link: What stands before its port, if anything.
    """

    def __init__(
        self,
        instance: InstanceId,
        software: str,
        *,
        platform: PlatformStore,
        evidence: Evidence,
        rng: random.Random,
        link: Link | None = None,
        event_seconds: float = EVENT_SECONDS,
    ) -> None:
        self.instance = instance
        self.software = software
        self.leaving = False
        self.rate_limit: float | None = None
        self.link = link
        self._event_seconds = event_seconds
        self._platform = platform
        self._evidence = evidence
        self._rng = rng
        self._scope = trio.CancelScope()
        self._born_ms = 1 + int(trio.current_time() * 1000)
        self._port = 0

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Serves requests until `stop`."""
        with self._scope:
            listeners = await trio.open_tcp_listeners(0, host=HOST)
            self._port = listeners[0].socket.getsockname()[1]
            async with trio.open_nursery() as nursery:
                if self.link is not None:
                    await nursery.start(self.link.run, self._port)
                    self._port = self.link.port
                self.write_entry("ready")
                task_status.started()
                await trio.serve_listeners(self._serve, listeners)

    def write_entry(self, state: str) -> None:
        """Writes the target's entry in the store."""
        entry = {
            "service": "s",
            "address": f"{HOST}:{self._port}",
            "zone": "d0",
            "version": self.software,
            "slots": SLOTS,
            "state": state,
            "born": self._born_ms,
        }
        self._platform.put("servers", self.instance, entry)

    def remove_entry(self) -> None:
        """Removes the target's entry from the store, if it is listed."""
        if self._platform.exists("servers", self.instance):
            self._platform.delete("servers", self.instance)

    def stop(self) -> None:
        """Ends the process of the target at once, also its responses."""
        self._scope.cancel()

    async def _serve(self, stream: trio.SocketStream) -> None:
        parser = h11.Connection(h11.SERVER)
        try:
            while (request := await _read_request(stream, parser)) is not None:
                await self._respond(stream, parser, request)
                if parser.states[h11.SERVER] is not h11.DONE:
                    return
                parser.start_next_cycle()
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            return
        finally:
            await trio.aclose_forcefully(stream)

    async def _respond(
        self, stream: trio.SocketStream, parser: h11.Connection, request: h11.Request
    ) -> None:
        headers = {k.decode(): v.decode() for k, v in request.headers}
        call = CallId(headers[CALL])
        common = [(CALL, call), ("goldcrestvane-response-signature", self.instance)]
        if self.leaving:
            common.append(("server-leaving", "1"))
        if self.rate_limit is not None:
            common.append(("server-limit", f"{self.rate_limit:.2f}"))
        if headers["goldcrestvane-expected-instance"] != self.instance:
            self._record(call, request, executed=False)
            await _send_whole(stream, parser, 421, common, b"")
            return
        if not request.target.startswith(b"/turn/"):
            self._record(call, request)
            await trio.sleep(RUN_SECONDS)
            await _send_whole(stream, parser, 200, common, call.encode())
            return
        breaks = self._rng.random() < BREAK_SHARE
        self._record(call, request, broke_off=breaks)
        await self._stream(stream, parser, common, headers, breaks=breaks)

    def _record(
        self,
        call: CallId,
        request: h11.Request,
        *,
        executed: bool = True,
        broke_off: bool = False,
    ) -> None:
        fields = [request.target, *(value for _, value in request.headers)]
        # A repeated header counts as an account that does not exist.
        accounts = [v.decode() for k, v in request.headers if k.decode() == ACCOUNT]
        arrival = Arrival(
            call=call,
            target=self.instance,
            at=trio.current_time(),
            executed=executed,
            broke_off=broke_off,
            account=AccountId(",".join(accounts)) if accounts else None,
            has_key=any(KEY_PREFIX.encode() in field for field in fields),
        )
        self._evidence.arrivals.append(arrival)

    async def _stream(
        self,
        stream: trio.SocketStream,
        parser: h11.Connection,
        common: list[tuple[str, str]],
        headers: dict[str, str],
        *,
        breaks: bool,
    ) -> None:
        first = int(headers.get("last-event-id", "0")) + 1
        last = self._rng.randint(min(first, EVENTS), EVENTS) if breaks else EVENTS
        await _send(stream, parser, h11.Response(status_code=200, headers=common))
        for number in range(first, last + 1):
            await trio.sleep(self._event_seconds)
            data = f"id: {number}\ndata: {self.software}\n\n".encode()
            await _send(stream, parser, h11.Data(data=data))
        if not breaks:
            await _send(stream, parser, h11.EndOfMessage())


async def _read_request(
    stream: trio.SocketStream, parser: h11.Connection
) -> h11.Request | None:
    request = None
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive_some())
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            return request
        elif isinstance(event, h11.ConnectionClosed):
            return None


async def _send(
    stream: trio.SocketStream, parser: h11.Connection, event: h11.Event
) -> None:
    await stream.send_all(parser.send(event) or b"")


async def _send_whole(
    stream: trio.SocketStream,
    parser: h11.Connection,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
) -> None:
    head = [*headers, ("content-length", str(len(body)))]
    await _send(stream, parser, h11.Response(status_code=status, headers=head))
    await _send(stream, parser, h11.Data(data=body))
    await _send(stream, parser, h11.EndOfMessage())
