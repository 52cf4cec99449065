"""Checks of the policy source files: listed in the deploy file, one stated purpose each, no long lines."""

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
POLICY_FILES = [ROOT / name for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]]
MAX_LINE_LENGTH = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["line-length"]


def first_docstring_line(path: Path) -> str:
    return (ast.get_docstring(ast.parse(path.read_text())) or "").split("\n")[0]


def test_formatter_allows_no_longer_lines_than_before():
    assert MAX_LINE_LENGTH <= 110


@pytest.mark.parametrize("path", POLICY_FILES, ids=lambda path: path.name)
def test_no_line_of_a_policy_file_is_longer_than_the_formatter_allows(path):
    assert max(map(len, path.read_text().splitlines())) <= MAX_LINE_LENGTH


@pytest.mark.parametrize("path", POLICY_FILES, ids=lambda path: path.name)
def test_docstring_of_a_policy_file_states_its_purpose_in_one_sentence(path):
    line = first_docstring_line(path)
    assert line.endswith("."), "the first line of the docstring does not end with a full stop"


def test_no_two_policy_files_state_the_same_purpose():
    lines = [first_docstring_line(path) for path in POLICY_FILES]
    assert len(set(lines)) == len(lines)


def test_deploy_file_names_every_file_of_policy():
    assert sorted(POLICY_FILES) == sorted((ROOT / "quota_gateway/policy").glob("*.py"))


def test_engine_names_the_package_of_its_types():
    assert "quota_gateway/model" in (ROOT / "quota_gateway/policy/engine.py").read_text().split('"""')[1]
