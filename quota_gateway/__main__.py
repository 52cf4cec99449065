"""Entry point of a gateway process: blocks signals, configures the log and returns the exit code."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys

import uvloop

from quota_gateway.config import Config, load_config
from quota_gateway.errors import ConfigError
from quota_gateway.log_rate_limiter import LogRateLimiter
from quota_gateway.server import HANDLED_SIGNALS, GatewayServer

log = logging.getLogger("quota_gateway")

EXIT_OK = 0
EXIT_INVALID_CONFIGURATION = 2
LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def _configure_logging() -> None:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format=LOG_FORMAT)
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateLimiter())


async def _serve(config: Config) -> None:
    await GatewayServer(config).run()


def main() -> int:
    """Run the gateway until SIGTERM or SIGINT.

    Signals are blocked until their handlers are installed, as the default action of a signal that comes
    while the gateway starts would end the process.

    Returns:
        0 after SIGTERM or SIGINT, 2 if the configuration is malformed; one line in the log then says why.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    _configure_logging()
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        log.critical('configuration invalid error="%s"', error)
        return EXIT_INVALID_CONFIGURATION
    gc.freeze()
    uvloop.run(_serve(config))
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
