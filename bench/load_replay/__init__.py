"""Replays load patterns against the frontend's queues in virtual time."""
