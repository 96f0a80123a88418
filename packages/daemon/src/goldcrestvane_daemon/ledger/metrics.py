"""Prometheus metrics of a ledger member."""

from prometheus_client import Counter, Gauge

DISK_BYTES = Gauge(
    "goldcrestvane_ledger_disk_bytes", "Size of the segments on the disk"
)
LIVE_BYTES = Gauge(
    "goldcrestvane_ledger_live_bytes", "Size of the turns kept on the disk"
)
SEGMENTS = Gauge("goldcrestvane_ledger_segments", "Segments on the disk")
TURNS = Gauge("goldcrestvane_ledger_turns", "Turns in the index")
ACCOUNTS = Gauge("goldcrestvane_ledger_accounts", "Token accounts in memory")
INDEX_BYTES = Gauge(
    "goldcrestvane_ledger_index_bytes",
    "Memory of the index of turns and of the token accounts, as accounted for",
)
CACHE_BYTES = Gauge("goldcrestvane_ledger_cache_bytes", "Memory of the cached turns")
PENDING_BYTES = Gauge(
    "goldcrestvane_ledger_pending_bytes", "Size of the entries that wait for the disk"
)
REFUSALS = Counter(
    "goldcrestvane_ledger_refusals", "Writes that were refused or failed", ["reason"]
)
READS = Counter(
    "goldcrestvane_ledger_turn_reads",
    "Turns read, by where they were found",
    ["source"],
)
CHAIN_GAPS = Counter(
    "goldcrestvane_ledger_chain_gaps",
    "Turns written while this member lacked a preceding turn of their chain",
)
REWRITTEN_BYTES = Counter(
    "goldcrestvane_ledger_rewritten_bytes", "Size of the turns written again"
)
QUOTA_ISSUED = Counter(
    "goldcrestvane_quota_tokens_issued",
    "Tokens of accounts' quotas that this member has issued",
)
QUOTA_ITEMS = Counter(
    "goldcrestvane_quota_items",
    "Requests of frontends for the tokens of one account, by result",
    ["result"],
)
