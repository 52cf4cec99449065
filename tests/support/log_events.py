"""The events that source files log, read from their syntax trees.

A log line is an event in lower case, followed by fields as ``key=value``. It is written by a logger call
with a literal format, or by a ``LogMessage`` of the policy, which may be created in a function that takes
the text as a parameter.
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
    """The event of a log line and the keys of its fields."""

    event: str
    keys: frozenset[str]

    @classmethod
    def parse(cls, text: str) -> LogLine | None:
        """Parse the format of a log line; return None if it does not match ``LINE_FORMAT``."""
        match = LINE_FORMAT.fullmatch(text)
        return match and cls(match["event"], frozenset(FIELD_KEY.findall(match["fields"])))


@dataclass
class LoggedEvents:
    """The events that source files log.

    Attributes:
        keys: Keys of the fields of each event, over all places that log it.
        places: Places that log each event, as ``file:line``.
        faults: Descriptions of the calls whose log line does not have the expected form.
    """

    keys: dict[str, set[str]] = field(default_factory=dict)
    places: dict[str, list[str]] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)

    def add(self, place: str, text: str | None) -> None:
        """Add a call that logs at ``place``; ``text`` is its format, or None if that is not a literal."""
        if text is None:
            self.faults.append(f"{place}: the format is not a literal")
        elif line := LogLine.parse(text):
            self.keys.setdefault(line.event, set()).update(line.keys)
            self.places.setdefault(line.event, []).append(place)
        else:
            self.faults.append(f"{place}: {text!r} is not an event in lower case with fields key=value")


def read_logged_events(files: list[Path]) -> LoggedEvents:
    """Find the events that all logging calls in these files write."""
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
    """Return ``LogMessage`` and the names of functions that pass a parameter to it, directly or not."""
    calls = [found for tree in trees for found in _calls(tree, None)]
    writers = {MESSAGE_TYPE}
    while True:
        forwarders = {
            function.name
            for call, function in calls
            if function and _callee(call) in writers and _forwards_parameter(call, function)
        }
        if forwarders <= writers:
            return writers
        writers |= forwarders


def _calls(node: ast.AST, function: Function | None) -> Iterator[tuple[ast.Call, Function | None]]:
    """Yield each call below a node with the innermost function around it."""
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
    """Return whether a call writes the text of a ``LogMessage`` unchanged."""
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
    """Return the text of a literal, with ``%s`` for each expression in an f-string; None for other nodes."""
    match node:
        case ast.Constant(value=str(text)):
            return text
        case ast.JoinedStr(values=parts):
            return "".join(_literal(part) or "%s" for part in parts)
    return None
