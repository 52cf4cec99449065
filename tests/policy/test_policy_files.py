"""The limits on the size of the policy files."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
POLICY_FILES = [ROOT / name for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]]


def test_policy_is_short_and_its_lines_too():
    lines = [line for path in POLICY_FILES for line in path.read_text().splitlines()]
    assert sum(1 for line in lines if line.strip()) <= 1200
    assert max(map(len, lines)) <= 110


def test_deploy_file_names_every_file_of_policy():
    assert sorted(POLICY_FILES) == sorted((ROOT / "quota_gateway/policy").glob("*.py"))


def test_engine_names_the_package_of_its_types():
    assert "quota_gateway/model" in (ROOT / "quota_gateway/policy/engine.py").read_text().split('"""')[1]
