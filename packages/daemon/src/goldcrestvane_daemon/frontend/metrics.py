"""Prometheus metrics of a frontend."""

from prometheus_client import Counter, Gauge, Histogram

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5)

CALLS = Counter(
    "goldcrestvane_calls",
    "Calls that ended, by what became of them",
    ["kind", "outcome"],
)
CALL_SECONDS = Histogram(
    "goldcrestvane_call_seconds",
    "Time of answered calls",
    ["kind"],
    buckets=SECONDS_BUCKETS,
)
FIRST_EVENT_SECONDS = Histogram(
    "goldcrestvane_first_event_seconds",
    "Time to the first event of a stream",
    buckets=SECONDS_BUCKETS,
)
OPEN_SECONDS = Histogram(
    "goldcrestvane_turn_open_seconds",
    "Time to record a turn's reservation",
    buckets=SECONDS_BUCKETS,
)
BROKEN_CHAINS = Counter(
    "goldcrestvane_broken_chains",
    "Turns refused because a preceding turn of their chain does not exist",
)
CHAIN_BYTES = Gauge(
    "goldcrestvane_chain_bytes",
    "Memory reserved for chains that are read or sent, and for turns that are being stored",
)
REFUSED_CHAINS = Counter(
    "goldcrestvane_refused_chains",
    "Calls refused because there was no memory for their chain",
)
TAKEOVERS = Counter(
    "goldcrestvane_stored_stream_takeovers",
    "Streams of stored turns that clients took up, by whether the output before is known",
    ["outcome"],
)
REWRITTEN_TURNS = Counter(
    "goldcrestvane_rewritten_turns",
    "Stored turns that were written again to a ledger member that lacked them",
)
ATTEMPTS = Counter(
    "goldcrestvane_attempts", "Attempts at targets, by what became of them", ["result"]
)
INVALID_BLOCKS = Counter(
    "goldcrestvane_invalid_stream_blocks",
    "Parts of streams, up to an empty line, that are neither events nor comments",
)
DISORDERED_EVENTS = Counter(
    "goldcrestvane_disordered_events",
    "Events of targets whose id is not greater than that of the event before them",
)
RATE_LIMITED_TARGETS = Gauge(
    "goldcrestvane_rate_limited_targets",
    "Targets that state in their responses how many calls per second they take",
)
PERMITS = Counter(
    "goldcrestvane_permits",
    "Requests for permits to call a rate-limited target, by result",
    ["result"],
)
KEY_DECISIONS = Counter(
    "goldcrestvane_key_decisions",
    "Checks of the API keys of calls, by when they took place and by result",
    ["stage", "decision"],
)
KEY_CONFIRMATIONS = Counter(
    "goldcrestvane_key_confirmations",
    "Requests to the store to confirm the copy by which keys are decided",
    ["reason", "result"],
)
OBSERVATION_EXCHANGES = Counter(
    "goldcrestvane_observation_exchanges",
    "Rounds that exchange observations of targets with a ledger member, by result",
    ["result"],
)
OBSERVATIONS = Counter(
    "goldcrestvane_observations",
    "Observations of targets that were sent to and received from ledger members",
    ["direction"],
)
QUOTA_CALLS = Counter(
    "goldcrestvane_quota_requests",
    "Requests of calls for a token of their account's quota, by result",
    ["result"],
)
QUOTA_TOKENS = Counter(
    "goldcrestvane_quota_tokens",
    "Tokens of accounts' quotas that this frontend was granted or has used",
    ["event"],
)
QUOTA_EXCHANGES = Counter(
    "goldcrestvane_quota_exchanges",
    "Requests to ledger members about tokens of quotas, by result",
    ["result"],
)
RELAY_SECONDS = Histogram(
    "goldcrestvane_relay_seconds",
    "Time until another frontend answered a request to relay to a ledger member",
    buckets=SECONDS_BUCKETS,
)
RUNNING = Gauge("goldcrestvane_calls_running", "Calls under way")
CONNECTIONS = Gauge("goldcrestvane_client_connections", "Open connections of clients")
COPY_AGE_SECONDS = Gauge(
    "goldcrestvane_object_copy_age_seconds",
    "Time since the copy of the platform's objects is known to have been complete",
    ["kind"],
)
COPY_CHECKS = Counter(
    "goldcrestvane_object_copy_corrections",
    "Changes of a copy that no watch had returned, by who returned them",
    ["kind", "source"],
)
