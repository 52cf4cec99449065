"""Lines that the policy writes to the log of the gateway."""

from quota_gateway.model.actions import Action, LogMessage

MAX_REMEMBERED_LINES = 100  # bounds the memory for them


class DecisionLog:
    """Writes log lines; of those that repeat, each once in the life of the engine."""

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
