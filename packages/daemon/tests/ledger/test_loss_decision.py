import unittest

from goldcrestvane_daemon.ledger.loss_decision import LossPoll
from goldcrestvane_daemon.ledger.messages import Failed, MemberState


def poll(*, members, lost, tolerated_losses, reaching=0, suspect="s"):
    """Returns whether a member counts as lost.

    Args:
        members: Number of members, the suspect included.
        lost: Number of members that do not answer, the suspect included.
        tolerated_losses: Number of members that may be lost at once.
        reaching: Number of the answering members that reach the suspect.
        suspect: The suspect.
    """
    answers = members - lost
    decision = LossPoll(suspect, asked=members - 1, tolerated_losses=tolerated_losses)
    for number in range(answers):
        unreachable = [] if number < reaching else ["s", "other"]
        decision.record(MemberState(f"m{number}", 1, True, unreachable))
    return decision.is_lost


class LossPollTests(unittest.TestCase):
    def test_members_that_are_lost_at_once_are_all_found(self):
        """Guards against lost members that are never replaced because of each other."""
        for tolerated in range(1, 5):
            for members in range(tolerated + 1, 14):
                for lost in range(1, tolerated + 1):
                    with self.subTest(tolerated=tolerated, members=members, lost=lost):
                        self.assertTrue(
                            poll(members=members, lost=lost, tolerated_losses=tolerated)
                        )

    def test_member_that_half_of_the_others_reach_is_not_lost(self):
        for tolerated in range(1, 5):
            for members in range(3, 14):
                for lost in range(1, tolerated + 1):
                    reaching = -(-(members - 1) // 2)
                    if reaching > members - lost:
                        continue
                    with self.subTest(tolerated=tolerated, members=members, lost=lost):
                        self.assertFalse(
                            poll(
                                members=members,
                                lost=lost,
                                tolerated_losses=tolerated,
                                reaching=reaching,
                            )
                        )

    def test_minority_does_not_decide_when_more_than_tolerated_are_missing(self):
        """Guards against a cut that makes each side replace the other."""
        self.assertFalse(poll(members=3, lost=2, tolerated_losses=1))
        self.assertFalse(poll(members=5, lost=3, tolerated_losses=2))
        self.assertFalse(poll(members=6, lost=4, tolerated_losses=2))

    def test_nobody_decides_alone(self):
        self.assertFalse(poll(members=2, lost=2, tolerated_losses=2))

    def test_failed_answer_counts_as_none(self):
        decision = LossPoll("s", asked=2, tolerated_losses=1)
        decision.record(Failed("busy"))
        decision.record(MemberState("m", 1, True, ["s"]))
        self.assertFalse(decision.is_lost)


if __name__ == "__main__":
    unittest.main()
