"""Parts of the OpenAPI document that Litestar can't derive from the handlers.

The handlers parse bodies, headers and query strings themselves, so that each invalid
one gets a result code. The classes here declare them for the document.
"""

from __future__ import annotations

import dataclasses

from litestar.openapi import spec

JSON = "application/json"


def _parameter(
    name: str, location: str, description: str, required: bool
) -> spec.Parameter:
    return spec.Parameter(
        name=name,
        param_in=location,
        description=description,
        required=required,
        schema=spec.Schema(type=spec.OpenAPIType.STRING),
    )


def _schema(**type_by_field: spec.Schema | spec.OpenAPIType) -> spec.Schema:
    return spec.Schema(
        type=spec.OpenAPIType.OBJECT,
        properties={
            name.rstrip("_"): kind
            if isinstance(kind, spec.Schema)
            else spec.Schema(type=kind)
            for name, kind in type_by_field.items()
        },
    )


@dataclasses.dataclass
class SubmitOperation(spec.Operation):
    """Declares the body and the parameters, which the handler parses itself."""

    def __post_init__(self) -> None:
        types = spec.OpenAPIType
        task = _schema(
            payload=spec.Schema(description="any JSON"),
            expected_ms=types.NUMBER,
            cores=types.NUMBER,
            memory_mb=types.INTEGER,
            accelerators=types.INTEGER,
        )
        task.required = ["payload"]
        body = _schema(
            guest=types.STRING,
            service=types.STRING,
            class_=types.STRING,
            repeatable=types.BOOLEAN,
            deadline_ms=types.INTEGER,
            tasks=spec.Schema(type=types.ARRAY, items=task),
        )
        body.required = ["guest", "service", "tasks"]
        self.request_body = spec.RequestBody(
            {JSON: spec.OpenAPIMediaType(schema=body)}, required=True
        )
        self.parameters = [
            _parameter(
                "Idempotency-Key", "header", "1 to 128 visible ASCII characters", True
            ),
            _parameter("wait", "query", '"true" (default) or "false"', False),
        ]


@dataclasses.dataclass
class FetchOperation(spec.Operation):
    """Declares the query parameter, which the handler parses itself."""

    def __post_init__(self) -> None:
        description = "how long to wait for a pending job, in seconds (default 0)"
        self.parameters = [
            *(self.parameters or []),
            _parameter("wait_s", "query", description, False),
        ]


@dataclasses.dataclass
class DrainOperation(spec.Operation):
    """Declares the query parameter, which the handler parses itself."""

    def __post_init__(self) -> None:
        self.parameters = [
            *(self.parameters or []),
            _parameter("active", "query", '"true" (default) or "false"', False),
        ]
