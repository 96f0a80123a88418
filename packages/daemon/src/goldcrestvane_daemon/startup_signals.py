"""Holds back signals while a process starts.

A process listens before it can handle signals. Without this, SIGTERM and SIGHUP would
kill it by their default action, and calls that wait in the backlog would be lost.
"""

import signal

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*SHUTDOWN_SIGNALS, signal.SIGHUP)


def hold_signals() -> None:
    """Holds back the signals until `release_signals`; they stay pending."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def release_signals() -> None:
    """Delivers the signals that are pending, and all later ones."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
