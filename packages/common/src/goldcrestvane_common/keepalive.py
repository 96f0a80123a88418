"""TCP keep-alive, which closes connections whose peer no longer responds."""

import socket

KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2
"""With the interval above, an unresponsive connection is closed within 3 s."""

KEEPALIVE_OPTIONS: tuple[tuple[int, int, int], ...] = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        KEEPALIVE_SECONDS * (1 + KEEPALIVE_PROBES) * 1000,
    ),
)
"""Level, name and value of each socket option."""
