"""The platform's configuration: a JSON file and environment variables. Errors name the offending key."""

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


class ConfigurationError(ValueError):
    """The configuration is invalid; the text says what is wrong."""


class ConfigurationFileError(ConfigurationError):
    """The platform's configuration file is invalid or cannot be read."""


@dataclass(frozen=True, slots=True)
class Configuration:
    """The dispatcher's configuration at start; `raw` is the parsed file, unchanged."""

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
    raw: dict[str, Any] = field(default_factory=dict)


def read_configuration(environ: Mapping[str, str]) -> Configuration:
    """Read the file named by `ROUTER_CONFIG` and the environment variables, which take precedence.

    `discovery` is the exception: the file takes precedence, since it can be replaced while the process runs,
    and its value must still hold after a restart. Raises `ConfigurationError`."""
    for name in ("ROUTER_CONFIG", "ROUTER_STATE"):
        if not environ.get(name):
            raise ConfigurationError(f"{name} is not set")
    path = environ["ROUTER_CONFIG"]
    try:
        raw = json.loads(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigurationFileError(f"ROUTER_CONFIG: {path}: {error}") from None
    return parse_configuration(raw, environ, path)


def parse_configuration(raw: Any, environ: Mapping[str, str], path: str) -> Configuration:
    """Check the file's content and combine it with the variables; `path` is for error messages only."""
    if not isinstance(raw, dict):
        raise ConfigurationFileError(f"ROUTER_CONFIG: {path}: not an object")
    try:
        deployment = read_deployment(environ)
    except DeploymentError as error:
        raise ConfigurationError(str(error)) from None
    state = Path(environ["ROUTER_STATE"])
    if not state.is_dir():
        raise ConfigurationError(f"ROUTER_STATE: {state} is not a folder")

    def get(read: Callable[[Any], Any], *keys: str, variable: str = "") -> Any:
        value: Any = raw
        try:
            for key in keys:
                value = value[key]
        except (KeyError, TypeError):
            value = None
        value = environ.get(variable) or value
        if value is None:
            raise ConfigurationFileError(f"ROUTER_CONFIG: {path}: {'.'.join(keys)} is missing")
        try:
            return read(value)
        except (ValueError, TypeError, AttributeError, KeyError) as error:
            raise ConfigurationFileError(f"ROUTER_CONFIG: {path}: {'.'.join(keys)}: {error}") from None

    def megabytes(raw: Any) -> float:
        return float(raw) * 1e6

    return Configuration(
        get(str, "name", variable="ROUTER_NAME"),
        get(parse_address, "listen", variable="ROUTER_LISTEN"),
        get(parse_address, "discovery", variable="" if "discovery" in raw else "ROUTER_DISCOVERY"),
        state,
        get(lambda text: int(text, 16), "seed"),
        get(int, "limits", "sockets"),
        get(megabytes, "limits", "disk_mb"),
        get(megabytes, "limits", "memory_mb"),
        get(parse_known_endpoints, "known"),
        get(lambda raw: parse_settings(json.dumps(raw).encode()), "settings"),
        deployment,
        get(parse_address, "control", variable="ROUTER_CONTROL")
        if raw.get("control") or environ.get("ROUTER_CONTROL")
        else None,
        raw,
    )


def parse_known_endpoints(raw: Any) -> dict[str, Any]:
    """The endpoint list that this dispatcher last had, in the format of discovery."""
    if not isinstance(raw, dict) or not isinstance(raw.get("servers"), list):
        raise ValueError("not a list in discovery's form")
    return {"version": int(raw.get("version", 0)), "full": True, "servers": raw["servers"]}
