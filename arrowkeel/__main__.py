"""The real program: its configuration, read again on SIGHUP, its loop, and its orderly end on SIGTERM."""

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


def load(clock_offset: ClockOffset) -> Config:
    path = os.environ.get("LB_CONFIG", "")
    if not path:
        raise ConfigError("LB_CONFIG: not set")
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"LB_CONFIG: {error}") from None
    return read_config(text, clock_offset, os.environ)


def reload(controller: Controller) -> None:
    """Guards the calls that are open: a file that cannot be used, or the signal itself, must not end them."""
    try:
        config = load(controller.config.clock_offset)
    except ConfigError as error:
        structlog.get_logger().error("configuration not taken, the old one stays", reason=str(error))
    else:
        controller.reload(config)


async def serve(config: Config) -> None:
    log = structlog.get_logger()
    service = Service(config)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, service.stop)
    loop.add_signal_handler(signal.SIGHUP, reload, service.controller)
    await service.start()
    log.info("started", name=config.name, listen=service.listening, operator=service.operator_api.listening)
    await service.finished
    await service.shut_down()
    log.info("stopped")


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is a controller that can reload
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
        uvloop.run(serve(load(ClockOffset.measure())))
    except ConfigError as error:
        print(f"arrowkeel cannot start: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
