"""Evidence of a small run without breaches, in which a test can plant one."""

import msgspec
from bench.checker.records import (
    Attempt,
    AttemptOutcome,
    CallKey,
    ChatMessage,
    Departure,
    Disturbance,
    Effect,
    EngineRun,
    Evidence,
    PlannedStop,
    ProgramKey,
    ProgramRecord,
    SessionsHeld,
    SettingsSeen,
    SettingsWrite,
)

from goldcrestvane_common.settings import Budget
from goldcrestvane_standins.runs import Message, build_answer

TEAM = "passolungo"


def build_marker(program, sequence):
    return f"<<{TEAM}:{program}:{sequence}>>"


def build_chat(program, sequence, history=(), *, sent, target="target-llm-0"):
    """Returns an answered attempt of a model call and the engine run that it caused."""
    marker = build_marker(program, sequence)
    new = (ChatMessage("user", f"{marker} which shoe"),)
    messages = (*history, *new)
    answer = build_answer(tuple(Message(m.role, m.content) for m in messages))
    attempt = Attempt(
        call=CallKey(TEAM, program, sequence),
        marker=marker,
        messages=new,
        entry="entry-0",
        sent=sent,
        ended=sent + 1.0,
        outcome=AttemptOutcome.ANSWERED,
        text=" ".join(answer),
        finish_reason="stop",
        completion_tokens=len(answer),
    )
    run = EngineRun(
        target=target,
        stream_id=f"s-{program}-{sequence}",
        session=f"session-{program}",
        messages=messages,
        time=sent + 0.5,
        state="done",
        tokens=100,
    )
    return attempt, run


def build_voucher(program, sequence, *, sent, target="target-app-0"):
    """Returns an answered attempt of a tool call and the effect that it caused."""
    marker = build_marker(program, sequence)
    attempt = Attempt(
        call=CallKey(TEAM, program, sequence),
        marker=marker,
        once=True,
        entry="entry-0",
        sent=sent,
        ended=sent + 1.0,
        outcome=AttemptOutcome.ANSWERED,
        result=marker,
        effect=sequence,
    )
    effect = Effect(
        target=target,
        effect=sequence,
        operation="issue-voucher",
        marker=marker,
        time=sent + 0.5,
    )
    return attempt, effect


def build_clean_evidence():
    """Returns the evidence of two programs without a breach.

    Each program calls a model, calls a tool after one attempt that did not run, and
    calls the model again with the history.
    """
    evidence = Evidence(attempts=[], effects=[], runs=[], programs=[])
    for program, start in (("one", 0.0), ("two", 0.1)):
        first, first_run = build_chat(program, 1, sent=start)
        voucher, effect = build_voucher(program, 2, sent=start + 2.0)
        history = (*first.messages, ChatMessage("assistant", first.text))
        last, last_run = build_chat(program, 3, history, sent=start + 4.0)
        not_run = replace(voucher, sent=start + 1.5, ended=start + 1.6)
        not_run = replace(not_run, outcome=AttemptOutcome.NOT_RUN, result="", effect=0)
        evidence.attempts += [first, not_run, voucher, last]
        evidence.effects.append(effect)
        evidence.runs += [first_run, last_run]
        record = ProgramRecord(
            key=ProgramKey(TEAM, program),
            budget=Budget(tokens=200, calls=3),
            owner_history=True,
            ended=start + 6.0,
        )
        evidence.programs.append(record)
    evidence.team_budgets = {TEAM: Budget(tokens=400, calls=6)}
    evidence.departures = [Departure(target="target-llm-1", time=0.0)]
    evidence.stops = [PlannedStop(process="entry-1", started=0.0, ended=9.0)]
    evidence.disturbances = [Disturbance(what="kill entry-0", started=20.0, ended=25.0)]
    evidence.settings_writes = [
        SettingsWrite(team=TEAM, version=1, time=0.0),
        SettingsWrite(team=TEAM, version=7, time=5.0),
    ]
    evidence.settings_seen = [
        build_settings_seen(1, asked=8.0),
        build_settings_seen(7, asked=9.5),
        build_settings_seen(1, asked=12.0, up_since=11.0, process="entry-1"),
    ]
    evidence.sessions_held = [
        SessionsHeld(target="target-llm-0", time=7.0, sessions=("session-one",)),
        SessionsHeld(target="target-llm-0", time=40.0, sessions=()),
    ]
    return evidence


def build_settings_seen(version, *, asked, up_since=0.0, process="entry-0"):
    return SettingsSeen(
        process=process, asked=asked, up_since=up_since, versions={TEAM: version}
    )


def replace(record, **changes):
    return msgspec.structs.replace(record, **changes)
