"""Write a gateway's configuration file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any


class GatewayConfigFile:
    """The configuration file of one gateway.

    Args:
        path: The path of the file.
        document: The configuration, without the address of discovery.

    Attributes:
        path: The path of the file.
    """

    def __init__(self, path: Path, document: dict[str, Any]) -> None:
        self.path = path
        self._document = {"discovery": "", **document}

    def write(self, discovery_port: int) -> None:
        """Write the configuration, with discovery at a loopback port."""
        self._document["discovery"] = f"127.0.0.1:{discovery_port}"
        self.path.write_text(json.dumps(self._document))

    def truncate(self) -> None:
        """Truncate the file to its first half, as if a write were in progress."""
        text = self.path.read_text()
        self.path.write_text(text[: len(text) // 2])
