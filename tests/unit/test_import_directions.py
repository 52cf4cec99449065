"""Checks that each layer imports only the layers below it, as docs/ARCHITECTURE.md says."""

import ast
from pathlib import Path

import pytest

from tests.support.source_index import ROOT, source_files

PACKAGE = "quota_gateway"
MODEL, POLICY, TELEMETRY, NET = (f"{PACKAGE}.{name}" for name in ("model", "policy", "telemetry", "net"))
SHARED = (f"{PACKAGE}.errors",)  # errors that the model, the policy and the network code may raise
ALLOWED = {
    "model": (MODEL, *SHARED),
    "policy": (POLICY, MODEL, *SHARED),
    "telemetry": (TELEMETRY,),
    "net": (NET, POLICY, MODEL, TELEMETRY, f"{PACKAGE}.resources", f"{PACKAGE}.settings_format", *SHARED),
}


def imported_modules(path: Path) -> set[str]:
    """Return the modules of the package that a file imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names=aliases):
                names.update(alias.name for alias in aliases)
            case ast.ImportFrom(module=str(module), names=aliases) if module == PACKAGE:
                names.update(f"{module}.{alias.name}" for alias in aliases)
            case ast.ImportFrom(module=str(module)):
                names.add(module)
    return {name for name in names if name.split(".")[0] == PACKAGE}


def is_within(module: str, packages: tuple[str, ...]) -> bool:
    return any(module == package or module.startswith(f"{package}.") for package in packages)


@pytest.mark.parametrize("folder", ALLOWED)
def test_folder_imports_only_the_layers_below_it(folder):
    faults = [
        f"{path.relative_to(ROOT)} imports {module}"
        for path in source_files(f"{PACKAGE}/{folder}")
        for module in sorted(imported_modules(path))
        if not is_within(module, ALLOWED[folder])
    ]
    assert not faults, "\n".join(faults)


def test_import_of_a_layer_above_is_found(tmp_path):
    path = tmp_path / "module.py"
    path.write_text(
        "from quota_gateway.net.driver import Driver\nfrom quota_gateway import model\nimport json\n"
    )
    assert imported_modules(path) == {"quota_gateway.net.driver", "quota_gateway.model"}
    assert not is_within("quota_gateway.net.driver", ALLOWED["policy"])
