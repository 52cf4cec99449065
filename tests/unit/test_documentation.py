"""Checks that the paths, names and log events in the documentation exist in the code."""

import re
from pathlib import Path

import pytest

from tests.support.log_events import LogLine, read_logged_events
from tests.support.source_index import ROOT, defined_classes, defined_names, find_module, source_files

DOCS = ROOT / "docs"
CODE_SPAN = re.compile(r"`([^`\n]+)`")
FENCED_BLOCK = re.compile(r"^```.*?^```", re.DOTALL | re.MULTILINE)
CAMEL_CASE = re.compile(r"\b(?:[A-Z][a-z0-9]+){2,}\b")
FORM_OF_A_PLACE = "path/to/file.py:Name"  # the example with which the page explains how it writes a name
PATH_SUFFIXES = (".py", ".toml", ".md")
EVENT_TABLE_HEADER = re.compile(r"^\| event fields \|.*$", re.MULTILINE)


def page(name: str) -> str:
    path = DOCS / name
    assert path.is_file(), f"docs/{name} does not exist"
    return path.read_text()


def code_spans(text: str) -> list[str]:
    """Return the texts in backticks outside fenced blocks."""
    return CODE_SPAN.findall(FENCED_BLOCK.sub("", text))


def is_path(span: str) -> bool:
    """Return whether a code span is a project path: no command, HTTP path or path known only at run time."""
    place = span.partition(":")[0]
    return (
        " " not in span
        and not span.startswith(("/", "$"))
        and ("/" in place or place.endswith(PATH_SUFFIXES))
    )


def fault_of_place(span: str) -> str | None:
    """Return what is wrong with ``path/to/file`` or ``path/to/file.py:Name``, None if it exists."""
    place, _, name = span.partition(":")
    path = ROOT / place
    if not path.exists():
        return f"`{span}`: {place} does not exist"
    if name and (path.suffix != ".py" or name not in defined_names(path)):
        return f"`{span}`: {place} defines no {name}"
    return None


def test_paths_and_names_of_the_architecture_page_exist():
    spans = code_spans(page("ARCHITECTURE.md"))
    places = [span for span in spans if is_path(span) and span != FORM_OF_A_PLACE]
    assert any(":" in place for place in places), f"no name is written as `{FORM_OF_A_PLACE}`"
    faults = [fault for place in places if (fault := fault_of_place(place))]
    assert not faults, "docs/ARCHITECTURE.md names missing places:\n" + "\n".join(faults)


def test_types_of_the_architecture_page_exist():
    text = page("ARCHITECTURE.md")
    diagrams = " ".join(FENCED_BLOCK.findall(text))
    names = {span for span in code_spans(text) if CAMEL_CASE.fullmatch(span)}
    names.update(CAMEL_CASE.findall(diagrams))
    assert names, "docs/ARCHITECTURE.md names no type, in its diagram or elsewhere"
    unknown = names - defined_classes("quota_gateway", "scale")
    assert not unknown, f"docs/ARCHITECTURE.md names types that are not in the code: {sorted(unknown)}"


def test_places_of_the_glossary_exist():
    faults, count = [], 0
    for line in page("glossary.md").splitlines():
        spans = CODE_SPAN.findall(line)
        for span in spans:
            if span.endswith(".py"):
                count += 1
                if find_module(span) is None:
                    faults.append(f"`{span}` is in none of quota_gateway/, scale/, tests/")
        for place, name in re.findall(r"`([^`]+\.py)` `([^`]+)`", line):
            if (path := find_module(place)) and name not in defined_names(path):
                faults.append(f"`{place}` `{name}`: the file does not define this name")
    assert count, "docs/glossary.md names no file in backticks"
    assert not faults, "docs/glossary.md names missing places:\n" + "\n".join(faults)


def test_every_row_of_the_glossary_names_a_place_that_exists():
    rows = [line for line in page("glossary.md").splitlines() if line.startswith("| ")][1:]
    rows = [row for row in rows if not row.startswith("| ---")]
    assert len(rows) > 90, "docs/glossary.md has lost rows"
    faults = [row for row in rows if not any(names_a_place(span) for span in CODE_SPAN.findall(row))]
    assert not faults, "rows of docs/glossary.md that name no place:\n" + "\n".join(faults)


def names_a_place(span: str) -> bool:
    """Return whether a code span of the glossary is a module or a folder of the project."""
    folders = (ROOT / span, ROOT / "quota_gateway" / span)
    return find_module(span) is not None or ("/" in span and any(folder.is_dir() for folder in folders))


@pytest.mark.parametrize(
    "span",
    [
        "docs",
        "deploy/balancer.toml",
        "quota_gateway/net/",
        "tests/support/log_events.py",
        "tests/support/log_events.py:LINE_FORMAT",
        "tests/support/log_events.py:LogLine",
        "tests/support/log_events.py:LogLine.parse",
        "tests/support/log_events.py:LoggedEvents.faults",
        "tests/support/fake_client.py:FakeClient.parser",
    ],
)
def test_place_that_exists_has_no_fault(span):
    assert fault_of_place(span) is None


@pytest.mark.parametrize(
    "span",
    [
        "docs/missing.md",
        "log_events.py",
        "tests/support/log_events.py:Missing",
        "tests/support/log_events.py:parse",
        "tests/support/log_events.py:LogLine.missing",
        "tests/support/log_events.py:Path",  # a name that the module only imports
        "deploy/balancer.toml:run",
    ],
)
def test_place_that_does_not_exist_is_a_fault(span):
    assert fault_of_place(span)


def listed_lines(text: str) -> list[str]:
    """Return the first cells, without backticks, of all rows of tables headed ``| event fields | ...``."""
    cells = []
    for header in EVENT_TABLE_HEADER.finditer(text):
        rows = text[header.end() :].lstrip("\n").split("\n")
        assert set(rows[0]) <= set("|- :"), f"no separator row under the header: {rows[0]!r}"
        for row in rows[1:]:
            if not row.startswith("|"):
                break
            cell = row.split("|")[1].strip()
            assert CODE_SPAN.fullmatch(cell), f"the event of a row is not in backticks: {row!r}"
            cells.append(cell.strip("`"))
    return cells


def test_only_rows_of_event_tables_are_listed():
    text = """
| call | meaning |
| --- | --- |
| `detach` | no event |

| event fields | meaning | action |
| --- | --- | --- |
| `listening host= port=` | it serves | none |
| `reload failed error=` | | mend the file |

Text, and `code`.

| event fields | meaning | action |
| --- | --- | --- |
| `shutdown started` | it ends | none |
"""
    assert listed_lines(text) == ["listening host= port=", "reload failed error=", "shutdown started"]


def test_events_of_the_log_and_of_the_on_call_page_are_the_same():
    logged = read_logged_events(source_files("quota_gateway"))
    assert not logged.faults, "log lines without the expected form:\n" + "\n".join(logged.faults)
    cells = listed_lines(page("on-call.md"))
    assert cells, "docs/on-call.md has no table headed `| event fields | meaning | action |`"
    listed = {cell: LogLine.parse(cell) for cell in cells}
    faults = [f"`{cell}` is not an event with key= fields" for cell, line in listed.items() if line is None]
    keys = {line.event: line.keys for line in listed.values() if line}
    for event in sorted(logged.keys.keys() - keys.keys()):
        row = " ".join([event, *(f"{key}=" for key in sorted(logged.keys[event]))])
        faults.append(f"`{row}` is logged at {', '.join(logged.places[event])} and not listed")
    faults += [f"`{event}` is listed and never logged" for event in sorted(keys.keys() - logged.keys.keys())]
    faults += [
        f"`{event}` is listed with {sorted(keys[event])} and logged with {sorted(logged.keys[event])}"
        for event in sorted(keys.keys() & logged.keys.keys())
        if keys[event] != logged.keys[event]
    ]
    assert not faults, "docs/on-call.md and the log differ:\n" + "\n".join(faults)


def logged_by(source: str, folder: Path):
    path = folder / "module.py"
    path.write_text(source)
    return read_logged_events([path])


@pytest.mark.parametrize(
    ("source", "event", "keys"),
    [
        ('log.info("listening")', "listening", set()),
        ('log.error("reload failed error=%r", error)', "reload failed", {"error"}),
        ('self.log.warning("a " "watch ended host=%s port=%d", *a)', "a watch ended", {"host", "port"}),
        ('LogMessage(f"server detached server={event.server}")', "server detached", {"server"}),
        (
            "def note(text): send(LogMessage(text))\ndef once(self, text): self.note(text)\n"
            'self.once(f"outlier detected server={id} reason={why}")',
            "outlier detected",
            {"server", "reason"},
        ),
    ],
)
def test_event_and_fields_of_a_call_are_found(source, event, keys, tmp_path):
    logged = logged_by(source, tmp_path)
    assert logged.keys == {event: keys}
    assert not logged.faults


def test_forwarded_text_is_not_an_event(tmp_path):
    logged = logged_by('log.info("%s", action.text)\ndef note(text): LogMessage(text)', tmp_path)
    assert not logged.keys
    assert not logged.faults


@pytest.mark.parametrize(
    "source",
    [
        "log.info(text)",
        'log.info("%s", text)',
        'log.info("Listening")',
        'log.info("listening on %s", place)',
        'log.info("listening: address=%s", place)',
        'log.info("listening address=%s and more", place)',
        '_LOGGER.info("listening on %s", place)',
        "def start(): LogMessage(text)",
        'LogMessage("a" if b else "c")',
        "log.info()",
    ],
)
def test_line_in_another_form_is_a_fault(source, tmp_path):
    logged = logged_by(source, tmp_path)
    assert len(logged.faults) == 1
    assert not logged.keys
