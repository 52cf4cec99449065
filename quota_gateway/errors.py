"""The errors of this package. Each message says what was wrong, where, and which field and value."""


class QuotaGatewayError(Exception):
    """Base of all errors that this package raises on purpose."""


class ConfigError(QuotaGatewayError, ValueError):
    """The environment, the configuration file or the settings are malformed; the gateway does not start."""


class ProtocolError(QuotaGatewayError, ValueError):
    """Bytes from a client or an upstream server are not of the form that the protocol has."""


class CommandError(QuotaGatewayError, ValueError):
    """A client's command can't be carried out; it is answered with an error and the connection lives on."""


class DiscoveryError(QuotaGatewayError, ValueError):
    """A document from discovery is malformed; what is known stays."""


class HandoverError(QuotaGatewayError, ValueError):
    """A message from the other process of this gateway is malformed."""


class StateError(QuotaGatewayError, ValueError):
    """A state snapshot is malformed; none of it is taken over."""
