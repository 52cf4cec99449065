"""The simulator's protocol in a subprocess, started with the command in deploy/balancer.toml."""

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.support.settings_document import SETTINGS_DOCUMENT

ROOT = Path(__file__).parent.parent.parent
SIM = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]

KNOCK_FIELDS = {
    "i": "gateway-1",
    "op_id": "aa",
    "priority": "read",
    "plan": "basic",
    "member": "m",
    "patience_left_ms": 900.0,
    "units": 1,
    "width": 2,
    "base": 0,
    "retry": False,
    "update": None,
}


def command() -> list[str]:
    """Return the deploy file's command, with this interpreter if the environment in it is not built."""
    if (ROOT / ".venv" / "bin" / "python").exists():
        return ["/bin/sh", "-c", SIM]
    return [sys.executable, *SIM.split()[2:]]


def run_simulator(*messages, seed="0") -> subprocess.CompletedProcess:
    text = "\n".join(m if isinstance(m, str) else json.dumps(m) for m in messages) + "\n"
    env = {**os.environ, "PYTHONHASHSEED": seed}
    return subprocess.run(
        command(), cwd=ROOT, input=text, capture_output=True, text=True, timeout=60, env=env, check=False
    )


def batch(turn, time_ms, *events):
    return [{"Batch": {"t_ms": time_ms, "turn": turn}}, *events, {"Commit": {}}]


def endpoint_list(ref, *servers):
    rows = [
        {
            "server": server,
            "locality": "a",
            "generation_hw": "std",
            "cluster": 0,
            "phase": "U",
            "size": 1,
            "since_ms": None,
            "new_field": 3,
        }
        for server in servers
    ]
    return {"Roster": {"ref": ref, "members_list": rows}}


def discovery_update(instance, ref, scope="Persisted"):
    return {"Discovery": {"i": instance, "ref": ref, "scope": scope, "epoch": 1}}


def open_instance(instance="gateway-1", seed=5):
    return {"OpenInstance": {"i": instance, "rng_seed": seed, "env": SETTINGS_DOCUMENT}}


def parse_replies(completed):
    assert completed.returncode == 0, completed.stderr
    return [json.loads(line) for line in completed.stdout.splitlines()]


def fields_of(rows, name):
    return [row[name] for row in rows if name in row]


def test_request_from_open_instance_to_outcome():
    outcome = {
        "Outcome": {
            "i": "gateway-1",
            "op_id": "aa",
            "seq_no": 0,
            "server": 7,
            "code": 200,
            "delay_seen_ms": 20.0,
            "final": True,
            "metered": 31,
            "final_units": None,
            "gauge": [0.5, 1],
        }
    }
    completed = run_simulator(
        *batch(1, 0.0),
        *batch(2, 1.0, open_instance(), endpoint_list(0, 7), discovery_update("gateway-1", 0)),
        *batch(3, 2.0, {"Knock": {**KNOCK_FIELDS, "extra": 1}}),
        *batch(4, 22.0, outcome),
        *batch(5, 30.0, {"Vanished": {"i": "gateway-1", "op_id": "aa"}}),
    )
    rows = parse_replies(completed)
    assert [row["turn"] for row in fields_of(rows, "Ack")] == [1, 2, 3, 4, 5]
    assert [(row["op_id"], row["server"]) for row in fields_of(rows, "Try")] == [("aa", 7)]
    assert rows[-1] == {"Ack": {"turn": 5}}
    assert rows[-2] == {"Ack": {"turn": 4}}


def test_list_number_reused_in_one_batch_is_resolved_in_order():
    rows = parse_replies(
        run_simulator(
            *batch(
                1,
                0.0,
                open_instance("gateway-1"),
                endpoint_list(3, 7),
                discovery_update("gateway-1", 3),
                open_instance("gateway-2"),
                endpoint_list(3, 8),
                discovery_update("gateway-2", 3),
            ),
            *batch(2, 1.0, {"Knock": KNOCK_FIELDS}, {"Knock": {**KNOCK_FIELDS, "i": "gateway-2"}}),
        )
    )
    assert [(row["i"], row["server"]) for row in fields_of(rows, "Try")] == [
        ("gateway-1", 7),
        ("gateway-2", 8),
    ]


def test_destroy_then_open_in_one_batch_resets_the_instance():
    rows = parse_replies(
        run_simulator(
            *batch(1, 0.0, open_instance(), endpoint_list(0, 7), discovery_update("gateway-1", 0)),
            *batch(
                2,
                1.0,
                {"Destroy": {"i": "gateway-1"}},
                open_instance(),
                endpoint_list(0, 9),
                discovery_update("gateway-1", 0),
                {"Knock": KNOCK_FIELDS},
            ),
        )
    )
    assert [row["server"] for row in fields_of(rows, "Try")] == [9]


def test_actions_do_not_depend_on_the_hash_seed_or_on_other_instances():
    script = [*batch(1, 0.0, open_instance(), endpoint_list(0, 7, 8, 9), discovery_update("gateway-1", 0))]
    for n in range(20):
        script += batch(n + 2, 5.0 * n, {"Knock": {**KNOCK_FIELDS, "op_id": f"{n:x}"}})
    alone = fields_of(parse_replies(run_simulator(*script)), "Try")
    assert alone == fields_of(parse_replies(run_simulator(*script, seed="77")), "Try")
    other = open_instance("gateway-2", 9)
    beside = fields_of(parse_replies(run_simulator(*batch(0, 0.0, other), *script)), "Try")
    assert alone == beside
    assert len(alone) >= 2


@pytest.mark.parametrize(
    ("malformed", "expected_text"),
    [
        ("{not json", "JSON"),
        ("[1]", "single key"),
        ({"Nonsense": {"i": "gateway-1"}}, "Nonsense"),
        ({"Knock": {"i": "gateway-1"}}, "op_id"),
        ({"Batch": {"turn": 1}}, "t_ms"),
        ({"Alarm": {"i": "gateway-9", "mark": 1}}, "gateway-9"),
        ({"Alarm": 3}, "Alarm"),
        (
            {"OpenInstance": {"i": "x", "rng_seed": 1, "env": {**SETTINGS_DOCUMENT, "balancers": 0}}},
            "env.balancers: 0 is not a number of at least 1",
        ),
    ],
)
def test_malformed_input_ends_with_one_line_and_exit_code_1(malformed, expected_text):
    completed = run_simulator(
        *batch(1, 0.0, open_instance(), endpoint_list(0, 7), discovery_update("gateway-1", 0)), malformed
    )
    assert completed.returncode == 1
    assert expected_text in completed.stderr
    assert len(completed.stderr.splitlines()) == 1


def test_error_of_the_engine_is_reported_as_bail_out():
    rows = parse_replies(
        run_simulator(
            *batch(1, 9.0, open_instance(), {"Alarm": {"i": "gateway-1", "mark": 1}}),
            *batch(2, 3.0, {"Alarm": {"i": "gateway-1", "mark": 1}}),
        )
    )
    assert "now_ms" in fields_of(rows, "BailOut")[0]["what"]
