"""The events that source files log, read from their syntax trees.

A line of the log is an event in lower case, then fields as ``key=value``. It is written by a call of a
logger with a literal format, or by a ``LogMessage`` of the policy, also through functions that pass their
text on to it.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

LOGGER_NAMES = {"log", "logger", "logging"}
LOGGER_METHODS = {"debug", "info", "warning", "error", "exception", "critical"}
MESSAGE_TYPE = "LogMessage"
LINE_FORMAT = re.compile(r"(?P<event>[a-z][a-z ,-]*[a-z])(?P<fields>(?: [a-z_]+=\S*)*)")
FIELD_KEY = re.compile(r"(?:^| )([a-z_]+)=")


@dataclass(frozen=True)
class LogLine:
    """The event of a line of the log, and the keys of its fields."""

    event: str
    keys: frozenset[str]

    @classmethod
    def parse(cls, text: str) -> LogLine | None:
        """Read the format of a line; None if it has another form."""
        match = LINE_FORMAT.fullmatch(text)
        return match and cls(match["event"], frozenset(FIELD_KEY.findall(match["fields"])))


@dataclass
class LoggedEvents:
    """What files log.

    Attributes:
        keys: for each event the keys of its fields, over all places that log it.
        places: for each event where it is logged, as ``file:line``.
        faults: calls whose line of the log has another form, with their places.
    """

    keys: dict[str, set[str]] = field(default_factory=dict)
    places: dict[str, list[str]] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def add(self, place: str, text: str | None) -> None:
        """Add a call with this format; None for one that is not literal."""
        if text is None:
            self.faults.append(f"{place}: the format is not a literal")
        elif line := LogLine.parse(text):
            self.keys.setdefault(line.event, set()).update(line.keys)
            self.places.setdefault(line.event, []).append(place)
        else:
            self.faults.append(f"{place}: {text!r} is no event in lower case with fields key=value")


def read_logged_events(files: list[Path]) -> LoggedEvents:
    """Find all calls in these files that write to the log."""
    events = LoggedEvents()
    trees = {path: ast.parse(path.read_text()) for path in files}
    writers = _message_writers(list(trees.values()))
    for path, tree in trees.items():
        for call, function in _calls(tree, None):
            if (_is_logger_call(call) and not _forwards_message(call)) or (
                _callee(call) in writers and not _forwards_parameter(call, function)
            ):
                events.add(f"{path.name}:{call.lineno}", _literal(call.args[0]) if call.args else None)
    return events


Function = ast.FunctionDef | ast.AsyncFunctionDef


def _message_writers(trees: list[ast.Module]) -> set[str]:
    """Name ``LogMessage`` and the functions that pass a parameter on to it, however indirectly."""
    calls = [found for tree in trees for found in _calls(tree, None)]
    writers = {MESSAGE_TYPE}
    while True:
        more = {
            function.name
            for call, function in calls
            if function and _callee(call) in writers and _forwards_parameter(call, function)
        }
        if more <= writers:
            return writers
        writers |= more


def _calls(node: ast.AST, function: Function | None) -> Iterator[tuple[ast.Call, Function | None]]:
    """Walk through all calls, each with the function around it."""
    for child in ast.iter_child_nodes(node):
        if isinstance(child, ast.Call):
            yield child, function
        yield from _calls(child, child if isinstance(child, Function) else function)


def _callee(call: ast.Call) -> str:
    match call.func:
        case ast.Name(id=name) | ast.Attribute(attr=name):
            return name
    return ""


def _is_logger_call(call: ast.Call) -> bool:
    match call.func:
        case ast.Attribute(value=ast.Name(id=name) | ast.Attribute(attr=name), attr=method):
            return name.strip("_").lower() in LOGGER_NAMES and method in LOGGER_METHODS
    return False


def _forwards_message(call: ast.Call) -> bool:
    """Tell whether a call writes the text of a ``LogMessage`` as it is."""
    match call.args:
        case [ast.Constant(value="%s"), ast.Attribute(attr="text")]:
            return True
    return False


def _forwards_parameter(call: ast.Call, function: Function | None) -> bool:
    match call.args:
        case [ast.Name(id=name), *_]:
            return function is not None and name in {argument.arg for argument in function.args.args}
    return False


def _literal(node: ast.expr) -> str | None:
    """Give the text of a literal, with ``%s`` in place of what an f-string fills in."""
    match node:
        case ast.Constant(value=str(text)):
            return text
        case ast.JoinedStr(values=parts):
            return "".join(_literal(part) or "%s" for part in parts)
    return None
