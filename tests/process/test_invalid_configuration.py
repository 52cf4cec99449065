"""A process with an invalid configuration exits with code 2 and logs one line that names the field."""

import os
import subprocess
from pathlib import Path

import pytest

from quota_gateway.__main__ import EXIT_INVALID_CONFIGURATION
from tests.support.gateway_process import ROOT, command
from tests.unit.test_config import DOCUMENT, MALFORMED_FIELDS, MALFORMED_FILES, write


def start(environment: dict[str, str]) -> subprocess.CompletedProcess[str]:
    """Run the program to its end, with ``environment`` in place of the inherited ``EDGE_`` variables."""
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
    return subprocess.run(
        ["/bin/sh", "-c", command()],
        cwd=ROOT,
        env={**inherited, **environment},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def assert_invalid_configuration(completed: subprocess.CompletedProcess[str], *words: str) -> None:
    assert completed.returncode == EXIT_INVALID_CONFIGURATION == 2
    (line,) = completed.stderr.splitlines()
    assert "configuration invalid error=" in line
    for word in words:
        assert word in line
    assert completed.stdout == ""


def test_missing_variable_aborts_startup():
    assert_invalid_configuration(start({}), "EDGE_CONFIG: is not set")


@pytest.mark.parametrize("name", ["missing.json", "."])
def test_unreadable_file_aborts_startup(name: str, tmp_path: Path):
    path = tmp_path / name
    assert_invalid_configuration(
        start({"EDGE_CONFIG": str(path)}), "EDGE_CONFIG: the file can not be read", str(path)
    )


@pytest.mark.parametrize("name", MALFORMED_FILES)
def test_file_that_is_not_a_json_object_aborts_startup(name, tmp_path):
    content, words = MALFORMED_FILES[name]
    path = tmp_path / "config.json"
    path.write_bytes(content)
    assert_invalid_configuration(start({"EDGE_CONFIG": str(path)}), words)


@pytest.mark.parametrize("malformed", MALFORMED_FIELDS, ids=str)
def test_malformed_field_aborts_startup(malformed, tmp_path):
    assert_invalid_configuration(start(write(tmp_path, malformed.document())), *malformed.words)


@pytest.mark.parametrize("variable", ["EDGE_LISTEN", "EDGE_DISCOVERY", "EDGE_MGMT"])
def test_malformed_address_in_the_environment_aborts_startup(variable, tmp_path):
    completed = start({**write(tmp_path, DOCUMENT), variable: "nowhere"})
    assert_invalid_configuration(completed, variable, "'nowhere' is not an address")
