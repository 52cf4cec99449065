"""The log lines that the policy writes."""

from quota_gateway.model.actions import Action, LogMessage

MAX_REMEMBERED_LINES = 100  # the maximum bounds the memory for lines that are logged once


class DecisionLog:
    """Writes log lines, either always or only once in the lifetime of the engine."""

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
