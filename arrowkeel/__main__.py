"""The command `python -m arrowkeel`: runs one call controller on real sockets.

LB_CONFIG names the configuration file, which is read again on SIGHUP; SIGTERM and SIGINT begin an orderly
shutdown. ARROWKEEL_LOG=debug logs every call. The exit status is 2 if the configuration cannot be used.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from pathlib import Path

import structlog
import uvloop

from arrowkeel.net.config import ClockOffset, Config, ConfigError, read_config
from arrowkeel.net.controller import Controller
from arrowkeel.net.service import Service


def load_config(clock_offset: ClockOffset) -> Config:
    """Returns the configuration from the file that LB_CONFIG names; raises ConfigError if it is unusable."""
    path = os.environ.get("LB_CONFIG", "")
    if not path:
        raise ConfigError("LB_CONFIG: not set")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"LB_CONFIG: {error}") from None
    return read_config(text, clock_offset, os.environ)


def reload_config(controller: Controller) -> None:
    """Reads the configuration file again and applies it.

    A file that cannot be used is logged and changes nothing: neither it nor the signal may end open calls.
    """
    try:
        config = load_config(controller.config.clock_offset)
    except ConfigError as error:
        structlog.get_logger().error("configuration rejected, keeping the previous one", reason=str(error))
    else:
        controller.reload(config)


async def serve(config: Config) -> None:
    """Runs the service until its orderly shutdown is complete; raises ConfigError if it cannot start."""
    log = structlog.get_logger()
    service = Service(config)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, service.stop)
    loop.add_signal_handler(signal.SIGHUP, reload_config, service.controller)
    await service.start()
    log.info(
        "started",
        name=config.name,
        listen=service.listen_address,
        operator=service.operator_api.listen_address,
    )
    await service.finished
    await service.shut_down()
    log.info("stopped")


def main() -> int:
    """Runs the program and returns its exit status."""
    # By default SIGHUP would end the process; `serve` sets the handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    level = logging.DEBUG if os.environ.get("ARROWKEEL_LOG") == "debug" else logging.INFO
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        cache_logger_on_first_use=True,
    )
    try:
        uvloop.run(serve(load_config(ClockOffset.measure())))
    except ConfigError as error:
        print(f"arrowkeel cannot start: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
