"""The common errors of this package. Each message says what is wrong, and with which field and value."""

MAX_SHOWN_CHARACTERS = 100  # long values are cut, so that the error message stays a readable line


class QuotaGatewayError(Exception):
    """Base class of the common errors of this package."""


class ConfigError(QuotaGatewayError, ValueError):
    """The environment, the configuration file or the settings are malformed; a start or reload fails."""


class InvalidFieldError(ConfigError):
    """A field of the configuration has a value that is not allowed.

    Attributes:
        field: Path of the key that the operator wrote, such as ``config.limits.sockets``.
        value: Value of the field.
        reason: What is wrong with the value, as the end of a sentence, such as ``is not a number``.
    """

    def __init__(self, field: str, value: object, reason: str) -> None:
        shown = repr(value)
        if len(shown) > MAX_SHOWN_CHARACTERS:
            shown = f"{shown[:MAX_SHOWN_CHARACTERS]}..."
        super().__init__(f"{field}: {shown} {reason}")
        self.field = field
        self.value = value
        self.reason = reason


class MissingFieldError(ConfigError):
    """A required field of the configuration is missing.

    Attributes:
        field: Path of the key, such as ``config.limits.sockets``.
    """

    def __init__(self, field: str) -> None:
        super().__init__(f"{field}: is missing")
        self.field = field


class ProtocolError(QuotaGatewayError, ValueError):
    """Input from a client, an upstream server or the simulator does not follow its protocol."""


class CommandError(QuotaGatewayError, ValueError):
    """A client's command can't be carried out; the reply is an error and the connection stays open."""


class DiscoveryError(QuotaGatewayError, ValueError):
    """A document from discovery is malformed; the known endpoints are kept."""


class HandoverError(QuotaGatewayError, ValueError):
    """A message from the peer process of this gateway is malformed."""


class StateError(QuotaGatewayError, ValueError):
    """A state snapshot is malformed; no part of it is restored."""
