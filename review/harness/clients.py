"""Stand-ins for clients: single requests, and programs with lines of turns."""

import asyncio
import random
import uuid
from dataclasses import dataclass, field

from harness.http import BrokenMessage, encode_head, iterate_body, read_head
from harness.record import Record

CONNECT_SECONDS = 1.0
PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 402, 403, 404, 413)


@dataclass
class Answer:
    """What a client got for one attempt.

    Attributes:
        call: Id of the attempt.
        status: HTTP status; 0 without one.
        body: Body, as far as it arrived.
        complete: Whether the whole answer arrived.
        retry_after: Seconds after which to come back, if stated.
        frontend: Frontend that was asked.
    """

    call: str
    status: int = 0
    body: bytes = b""
    complete: bool = False
    retry_after: float = 0.0
    frontend: str = ""

    @property
    def served(self) -> bool:
        """Whether it is a whole success."""
        return self.status == 200 and self.complete


class Client:
    """Sends requests to frontends, each on a new connection."""

    def __init__(self, *, host: str, port: int, record: Record) -> None:
        self._host = host
        self._port = port
        self._record = record

    async def send(
        self,
        frontend: str,
        method: str,
        path: str,
        *,
        headers: dict[str, str],
        body: bytes = b"",
        seconds: float,
        label: str = "",
    ) -> Answer:
        """Sends one attempt and waits for its whole answer."""
        answer = Answer(uuid.uuid4().hex[:16], frontend=frontend)
        fields = {
            "Host": self._host,
            "Goldcrestvane-Request-Id": answer.call,
            "Goldcrestvane-Deadline-Ms": str(int(seconds * 1000)),
            **headers,
            "Content-Length": str(len(body)),
        }
        self._record.add(
            "sent", call=answer.call, frontend=frontend, path=path, label=label
        )
        error = ""
        try:
            async with asyncio.timeout(seconds):
                await self._exchange(answer, method, path, fields, body)
        except TimeoutError:
            error = "no answer in time"
        except (OSError, BrokenMessage) as reason:
            error = repr(reason)
        self._record.add(
            "answered",
            call=answer.call,
            frontend=frontend,
            label=label,
            status=answer.status,
            complete=answer.complete,
            error=error,
            text="" if answer.served else answer.body[:300].decode(errors="replace"),
        )
        return answer

    async def _exchange(
        self,
        answer: Answer,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        async with asyncio.timeout(CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(answer.frontend, self._port)
        try:
            writer.write(encode_head(f"{method} {path} HTTP/1.1", headers) + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise BrokenMessage("closed without an answer")
            answer.status = int(head.start[1])
            answer.retry_after = float(head.headers.get("retry-after", "0"))
            async for part in iterate_body(reader, head, until_close=True):
                answer.body += part
            answer.complete = True
        finally:
            writer.close()


class Balancer:
    """Asks the frontends for readiness once a second, as the platform does.

    Attributes:
        ready: Frontends that get new connections.
    """

    def __init__(self, frontends: list[str], port: int) -> None:
        self.ready: list[str] = []
        self._frontends = frontends
        self._port = port
        self._misses = dict.fromkeys(frontends, 2)

    async def run(self) -> None:
        """Asks until cancelled."""
        while True:
            await asyncio.gather(*(self._ask(each) for each in self._frontends))
            self.ready = [each for each in self._frontends if self._misses[each] < 2]
            await asyncio.sleep(1.0)

    async def _ask(self, frontend: str) -> None:
        status = 0
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(frontend, self._port)
                try:
                    headers = {"Host": "balancer"}
                    writer.write(encode_head("GET /v1/readiness HTTP/1.1", headers))
                    head = await read_head(reader)
                    status = int(head.start[1]) if head else 0
                finally:
                    writer.close()
        except (OSError, BrokenMessage, TimeoutError):
            pass
        self._misses[frontend] = 0 if status == 200 else self._misses[frontend] + 1

    async def wait_ready(self, count: int, seconds: float) -> bool:
        """Waits until so many frontends are ready; returns whether they are."""
        for _ in range(int(seconds / 0.1)):
            if len(self.ready) >= count:
                return True
            await asyncio.sleep(0.1)
        return False


@dataclass
class Line:
    """One line of turns of a program on a route that keeps what was said.

    Attributes:
        program: Id of the program.
        path: Path of the route.
        previous: The last turn that was answered whole; None before the first.
        said: Input and output of all turns so far.
        turns: Number of turns that were answered whole.
    """

    program: str
    path: str
    previous: str | None = None
    said: bytes = b""
    turns: int = 0
    session: str = field(default_factory=lambda: uuid.uuid4().hex[:6])


class TurnSender:
    """Sends turns with the repetitions that PROTOCOL.md allows to clients."""

    def __init__(
        self,
        client: Client,
        *,
        seconds: float = 3.0,
        retries: int = 1,
        budget: int = 1_000_000,
        input_bytes: int = 1680,
        seed: int = 1,
    ) -> None:
        self._client = client
        self._seconds = seconds
        self._retries = retries
        self._budget = budget
        self._input_bytes = input_bytes
        self._rng = random.Random(seed)

    async def send(
        self, line: Line, frontends: list[str], label: str, *, sends: int = 3
    ) -> Answer:
        """Sends the next turn of a line; returns the last answer.

        Args:
            line: The line.
            frontends: Frontends for the attempts; retries reach other ones.
            label: Name of the phase in the record.
            sends: How often a turn that fails is sent from its start.
        """
        text = f"{line.program} turn {line.turns + 1} "
        new_input = text.ljust(self._input_bytes, ".").encode()
        answer = Answer("")
        for number in range(sends):
            if number:
                await asyncio.sleep(self._rng.uniform(0.1, 0.4))
            answer = await self._attempt(line, new_input, frontends, label)
            if answer.served:
                line.said += new_input + join_events(answer.body)
                line.previous = answer.call
                line.turns += 1
            if answer.served or answer.status in FINAL:
                break
        return answer

    async def _attempt(
        self, line: Line, new_input: bytes, frontends: list[str], label: str
    ) -> Answer:
        loop = asyncio.get_running_loop()
        end = loop.time() + self._seconds
        prompt = (len(line.said) + len(new_input)) or 1
        headers = {
            "Goldcrestvane-Program-Id": line.program,
            "Goldcrestvane-Session-Id": line.session,
            "Goldcrestvane-Program-Deadline-Ms": "9000",
            "Goldcrestvane-Token-Budget": str(self._budget),
            "Goldcrestvane-Token-Usage": f"{prompt},264",
            "Goldcrestvane-Model": "m",
            "Goldcrestvane-Prompt-Prefix": f"5c1e07a2:{prompt}",
        }
        if line.previous is not None:
            headers["Goldcrestvane-Previous-Turn"] = line.previous
        answer = Answer("")
        for number in range(1 + self._retries):
            left = end - loop.time()
            if left <= 0.05:
                break
            answer = await self._client.send(
                frontends[number % len(frontends)],
                "POST",
                line.path,
                headers=headers,
                body=new_input,
                seconds=left,
                label=label,
            )
            if answer.served or answer.status in FINAL:
                break
            left = end - loop.time()
            if answer.status in PROMISES:
                await asyncio.sleep(max(0.0, min(answer.retry_after, left / 3)))
            elif answer.status or answer.body:
                break  # it may have run, and the route allows no second run
        return answer


def join_events(body: bytes) -> bytes:
    """Returns the data of the events of a stream, each with a line feed."""
    lines = (line for line in body.split(b"\n") if line.startswith(b"data: "))
    return b"".join(line.removeprefix(b"data: ") + b"\n" for line in lines)
