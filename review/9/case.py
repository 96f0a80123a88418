"""A request crashes each replica that runs it, after the first event of its stream."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness_2.crashes import play_crashes  # noqa: E402
from harness_2.deployment import Deployment, run_case  # noqa: E402


async def play(deployment: Deployment, trouble: bool) -> bool:
    """Returns whether the rule held."""
    return await play_crashes(
        deployment,
        trouble=trouble,
        replica_count=5,
        events_before_crash=1,
        keeps_id=False,
        pause_seconds=1.0,
        sends=20,
    )


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
