"""Lines that the policy writes to the log of the gateway."""

from quota_gateway.model.actions import Action, LogMessage

MAX_REMEMBERED_LINES = 100  # bounds memory: names of classes and plans come from clients


class DecisionLog:
    """Writes lines to the log, where asked to only once for each text."""

    def __init__(self, output: list[Action]) -> None:
        self._output = output
        self._written_once: set[str] = set()

    def log_message(self, text: str) -> None:
        """Write a line."""
        self._output.append(LogMessage(text))

    def log_message_once(self, text: str) -> None:
        """Write a line unless it was written before, or ``MAX_REMEMBERED_LINES`` different ones were."""
        if text not in self._written_once and len(self._written_once) < MAX_REMEMBERED_LINES:
            self._written_once.add(text)
            self.log_message(text)
