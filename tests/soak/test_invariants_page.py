"""The oracle's modules and the rules of docs/invariants.md must refer to each other."""

import importlib
import re

import pytest

from soak.violation import Rule
from tests.support.source_index import ROOT

RULE_ROW = re.compile(r"^\| (?P<sentence>[^|]+) \|[^|]+\|[^|]+\| (?P<soak_check>[^|]+) \|$", re.MULTILINE)
"""Matches a table row with four columns; the page's other table has two."""

QUOTED_SENTENCE = re.compile(r'^ {4}"([^"]+)"$', re.MULTILINE)
HEADER_CELLS = ("invariant", "---")


def rules_by_soak_check():
    """Return the sentences of the page, grouped by the soak check that the page names for them."""
    rules = {}
    for row in RULE_ROW.finditer((ROOT / "docs" / "invariants.md").read_text()):
        if row["sentence"] not in HEADER_CELLS:
            for check in re.findall(r"`(\w+)`", row["soak_check"]):
                rules.setdefault(check, []).append(row["sentence"])
    return rules


def test_page_names_every_rule_of_the_oracle():
    assert set(rules_by_soak_check()) == set(Rule) - {Rule.START}


@pytest.mark.parametrize("check", rules_by_soak_check())
def test_module_of_a_rule_quotes_the_sentences_of_the_page_that_it_checks(check):
    module = importlib.import_module(f"soak.oracle.{check}")
    assert QUOTED_SENTENCE.findall(module.__doc__) == rules_by_soak_check()[check]
    assert callable(module.find_violations)
