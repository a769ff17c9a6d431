"""The platform's configuration: JSON in a file and variables, checked, with errors that name the place."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from crowpier.benchlink import parse_settings
from crowpier.interface import Settings
from rushhitch.config.deployment import DeploymentError, DeploymentSettings, read_deployment
from rushhitch.connection import parse_address


class BadConfiguration(ValueError):
    """The configuration makes no sense; the text says what is wrong."""


class BadFile(BadConfiguration):
    """The platform's file makes no sense, or cannot be read."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """What the dispatcher is told at its start; `told` is the file as it stands."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: Path
    seed: int
    sockets: int
    disk_bytes: float
    memory_bytes: float
    known: dict[str, Any]
    settings: Settings
    deployment: DeploymentSettings
    control: tuple[str, int] | None = None
    told: dict[str, Any] = field(default_factory=dict)


def read_configuration(environ: Mapping[str, str]) -> Configuration:
    """From the variables and the file that `ROUTER_CONFIG` names. The variables go first, but for `discovery`
    the file does: it can be replaced while the process runs, and what it says holds after a restart too."""
    for name in ("ROUTER_CONFIG", "ROUTER_STATE"):
        if not environ.get(name):
            raise BadConfiguration(f"{name} is not set")
    path = environ["ROUTER_CONFIG"]
    try:
        told = json.loads(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise BadFile(f"ROUTER_CONFIG: {path}: {error}") from None
    return configuration_of(told, environ, path)


def configuration_of(told: Any, environ: Mapping[str, str], path: str) -> Configuration:
    """What the file's content says, beside the variables."""
    if not isinstance(told, dict):
        raise BadFile(f"ROUTER_CONFIG: {path}: not an object")
    try:
        deployment = read_deployment(environ)
    except DeploymentError as error:
        raise BadConfiguration(str(error)) from None
    state = Path(environ["ROUTER_STATE"])
    if not state.is_dir():
        raise BadConfiguration(f"ROUTER_STATE: {state} is not a folder")

    def get(read: Callable[[Any], Any], *keys: str, variable: str = "") -> Any:
        value: Any = told
        try:
            for key in keys:
                value = value[key]
        except (KeyError, TypeError):
            value = None
        value = environ.get(variable) or value
        if value is None:
            raise BadFile(f"ROUTER_CONFIG: {path}: {'.'.join(keys)} is missing")
        try:
            return read(value)
        except (ValueError, TypeError, AttributeError, KeyError) as error:
            raise BadFile(f"ROUTER_CONFIG: {path}: {'.'.join(keys)}: {error}") from None

    def megabytes(told: Any) -> float:
        return float(told) * 1e6

    return Configuration(
        get(str, "name", variable="ROUTER_NAME"),
        get(parse_address, "listen", variable="ROUTER_LISTEN"),
        get(parse_address, "discovery", variable="" if "discovery" in told else "ROUTER_DISCOVERY"),
        state,
        get(lambda text: int(text, 16), "seed"),
        get(int, "limits", "sockets"),
        get(megabytes, "limits", "disk_mb"),
        get(megabytes, "limits", "memory_mb"),
        get(known_list, "known"),
        get(lambda told: parse_settings(json.dumps(told).encode()), "settings"),
        deployment,
        get(parse_address, "control", variable="ROUTER_CONTROL")
        if told.get("control") or environ.get("ROUTER_CONTROL")
        else None,
        told,
    )


def known_list(told: Any) -> dict[str, Any]:
    """The list as this dispatcher last had it, in discovery's form."""
    if not isinstance(told, dict) or not isinstance(told.get("servers"), list):
        raise ValueError("not a list in discovery's form")
    return {"version": int(told.get("version", 0)), "full": True, "servers": told["servers"]}
