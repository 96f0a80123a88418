"""Clients that send the turns of programs."""

import itertools

from harness_2.deployment import Deployment, Machine
from harness_2.http import Answer, send_request

CLIENT_SECONDS = 3.0
NOT_RUN = (429, 503)

_numbers = itertools.count()


def is_served(answer: Answer) -> bool:
    """Returns whether a turn was answered whole."""
    return answer.status == 200 and answer.complete


async def send_turn(
    deployment: Deployment,
    frontend: Machine,
    route: str,
    program: str,
    body: bytes,
    previous: str | None = None,
    *,
    budget: int = 20_000,
    most: int = 264,
    seconds: float = CLIENT_SECONDS,
) -> tuple[str, Answer]:
    """Sends a turn once; returns its call id and its answer.

    Args:
        deployment: The deployment.
        frontend: Machine to which it is sent.
        route: Name of the route.
        program: Id of the program.
        body: New input of the turn.
        previous: Turn that it continues.
        budget: Token budget of the program.
        most: Number of tokens that the turn generates at most.
        seconds: Time for which the client waits.
    """
    call = f"turn-{next(_numbers)}"
    headers = {
        "Host": "agents.example",
        "Goldcrestvane-Request-Id": call,
        "Goldcrestvane-Model": "m",
        "Goldcrestvane-Program-Id": program,
        "Goldcrestvane-Session-Id": program,
        "Goldcrestvane-Program-Deadline-Ms": "60000",
        "Goldcrestvane-Token-Budget": str(budget),
        "Goldcrestvane-Token-Usage": f"1840,{most}",
        "Goldcrestvane-Deadline-Ms": str(int(seconds * 1000)),
    }
    if previous is not None:
        headers["Goldcrestvane-Previous-Turn"] = previous
    answer = await send_request(
        frontend.get_address("frontend"),
        "POST",
        f"/{route}/turn",
        headers,
        body,
        seconds=seconds,
    )
    refusal = f" {answer.body[:160]!r}" if answer.status not in (0, 200) else ""
    deployment.record.write(
        "client",
        f"{call} to {frontend.name} /{route}/ of {program}, continues {previous}: "
        f"{answer.status} complete={answer.complete}{refusal}",
    )
    return call, answer
