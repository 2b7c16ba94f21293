"""Configuration of the log output."""

import json
import re
import sys
import typing

import loguru

__all__ = ["configure", "redact"]

_SECRETS = re.compile(
    r"(?i)(bearer\s+|(?:secret|operator[_-]key|api[_-]key)"
    r"['\"]?\s*[=:]\s*['\"]?)[^\s'\",}]+"
)


def configure(
    log_format: str, log_level: str, stream: typing.TextIO | None = None
) -> None:
    """Sends log messages to `stream` and nowhere else.

    Variables of stack frames are never printed, since they may contain keys.

    Args:
        log_format: `text`, or `json` for one JSON object per line.
        log_level: lowest level that is logged.
        stream: output; standard error if None.
    """
    output = sys.stderr if stream is None else stream
    render = _render_json if log_format == "json" else _render_text

    def _write(message: typing.Any) -> None:
        output.write(render(message.record) + "\n")

    loguru.logger.remove()
    loguru.logger.add(
        _write,
        level=log_level,
        format="{message}",
        backtrace=False,
        diagnose=False,
    )


def redact(text: str) -> str:
    """Returns `text` with the values of keys and secrets masked.

    Example:
        >>> redact("Authorization: Bearer abc")
        'Authorization: Bearer ***'
    """
    return _SECRETS.sub(r"\1***", text)


def _render_json(record: typing.Any) -> str:
    fields = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "module": record["name"],
        "message": redact(record["message"]),
    }
    for key, value in record["extra"].items():
        fields.setdefault(key, redact(str(value)))
    if record["exception"] is not None:
        fields["exception"] = _render_exception(record["exception"])
    return json.dumps(fields)


def _render_text(record: typing.Any) -> str:
    extra = "".join(f" {k}={v}" for k, v in record["extra"].items())
    text = f"{record['time'].isoformat()} {record['level'].name}"
    text += f" {record['name']}: {record['message']}{extra}"
    if record["exception"] is not None:
        text += " " + _render_exception(record["exception"])
    return redact(text)


def _render_exception(exception: typing.Any) -> str:
    return redact(f"{exception.type.__name__}: {exception.value}")
