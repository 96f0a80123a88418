"""A rolling restart of the store machines, and a program that comes back twice.

Lines of turns run while each store machine is restarted in turn. They go on 40 s later,
and again 36 s after that, each time well within the 60 s for which turns are kept.
"""

import asyncio

from harness.clients import Answer, Line, TurnSender
from harness.deployment import TURN_PATH, Deployment, run_case

LINES = 6
TURNS = 22
TURN_SECONDS = 0.75
LEAD_SECONDS = 1.0
DOWN_SECONDS = 1.0
GAP_SECONDS = 5.0
FIRST_PAUSE_SECONDS = 40.0
SECOND_PAUSE_SECONDS = 36.0
RETENTION_SECONDS = 60.0
LOST_STATUSES = (404, 410)


async def roll(deployment: Deployment) -> None:
    """Stops and starts the store machines in turn, with `catch_up_s` between two."""
    await asyncio.sleep(LEAD_SECONDS)
    for machine in deployment.machines.values():
        if machine.role == "ledger":
            await deployment.restart_with_term(machine, DOWN_SECONDS)
            await asyncio.sleep(GAP_SECONDS)


async def run_line(sender: TurnSender, line: Line, frontends: list[str]) -> None:
    """Sends the first turns of a line."""
    for _ in range(TURNS):
        began = asyncio.get_running_loop().time()
        await sender.send(line, frontends, "first visit")
        pause = began + TURN_SECONDS - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, pause))


async def continue_lines(
    sender: TurnSender, lines: list[Line], frontends: list[str], label: str
) -> list[Answer]:
    """Sends one further turn of each line."""
    return await asyncio.gather(
        *(sender.send(line, frontends, label) for line in lines)
    )


async def check(deployment: Deployment) -> bool:
    """Returns whether every kept turn could be continued."""
    record = deployment.record
    await deployment.start(stores_in_zone=1, frontends=3, models=7, tools=2)
    first, second, third = deployment.frontends
    await asyncio.sleep(1.0)
    sender = TurnSender(deployment.client)
    lines = [Line(f"p{number}", TURN_PATH) for number in range(LINES)]
    work = [run_line(sender, line, [first, second]) for line in lines]
    if deployment.trouble:
        work.append(roll(deployment))
    await asyncio.gather(*work)
    record.add("first visit ended", turns=[line.turns for line in lines])
    await asyncio.sleep(FIRST_PAUSE_SECONDS)
    await continue_lines(sender, lines, [first, second], "second visit")
    named_at = record.now
    record.add("second visit ended", turns=[line.turns for line in lines])
    await asyncio.sleep(SECOND_PAUSE_SECONDS)
    # Some lines of turns arrive through a different zone from one turn to the next.
    answers = await continue_lines(sender, lines, [third, second], "third visit")
    age = record.now - named_at
    lost = [each for each in answers if each.status in LOST_STATUSES]
    served = [each for each in answers if each.served]
    record.add("verdict", lost=len(lost), served=len(served), age=round(age, 1))
    wrong = [
        line.program
        for line, answer in zip(lines, answers, strict=True)
        if answer.served and not line.said.startswith(record.bodies[answer.call])
    ]
    record.add("bodies at the replicas", wrong=wrong)
    return not (lost and age < RETENTION_SECONDS)


if __name__ == "__main__":
    run_case(__file__, check)
