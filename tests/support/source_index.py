"""The names that the project's source files define, read from their syntax trees."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
SOURCE_FOLDERS = ("quota_gateway", "scale", "tests")


def source_files(*folders: str) -> list[Path]:
    """List the Python files below these folders of the project, sorted."""
    return sorted(path for folder in folders for path in (ROOT / folder).rglob("*.py"))


def find_module(place: str) -> Path | None:
    """Find a file by its path from the root or from one of ``SOURCE_FOLDERS``; None if there is none."""
    candidates = [ROOT / place, *(ROOT / folder / place for folder in SOURCE_FOLDERS)]
    return next((path for path in candidates if path.is_file()), None)


def defined_names(path: Path) -> set[str]:
    """List the names that a module defines, and the members of its classes as ``Class.member``.

    Imported names are not included.
    """
    return set(_names(ast.parse(path.read_text()).body, ""))


def defined_classes(*folders: str) -> set[str]:
    """List the capitalized names that modules below these folders define: classes, aliases and constants."""
    names = {name for path in source_files(*folders) for name in defined_names(path)}
    return {name for name in names if "." not in name and name[0].isupper()}


def _names(statements: list[ast.stmt], prefix: str) -> Iterator[str]:
    for statement in statements:
        match statement:
            case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
                yield prefix + name
                if prefix:
                    yield from _instance_attributes(statement, prefix)
            case ast.ClassDef(name=name, body=body):
                yield prefix + name
                yield from _names(body, f"{prefix}{name}.")
            case ast.Assign(targets=targets):
                yield from (
                    prefix + node.id
                    for target in targets
                    for node in ast.walk(target)
                    if isinstance(node, ast.Name)
                )
            case ast.AnnAssign(target=ast.Name(id=name)):
                yield prefix + name


def _instance_attributes(method: ast.stmt, prefix: str) -> Iterator[str]:
    for node in ast.walk(method):
        match node:
            case ast.Attribute(value=ast.Name(id="self"), attr=name, ctx=ast.Store()):
                yield prefix + name
