"""What the OpenAPI page says beyond the handlers' signatures.

The handlers read bodies, headers and queries by themselves, so that each mistake
gets a result code; these classes declare them for the page.
"""

from __future__ import annotations

import dataclasses

from litestar.openapi import spec

JSON = "application/json"


def _parameter(name: str, place: str, text: str, required: bool) -> spec.Parameter:
    return spec.Parameter(
        name=name,
        param_in=place,
        description=text,
        required=required,
        schema=spec.Schema(type=spec.OpenAPIType.STRING),
    )


def _schema(**kind_by_field: spec.Schema | spec.OpenAPIType) -> spec.Schema:
    return spec.Schema(
        type=spec.OpenAPIType.OBJECT,
        properties={
            name.rstrip("_"): kind
            if isinstance(kind, spec.Schema)
            else spec.Schema(type=kind)
            for name, kind in kind_by_field.items()
        },
    )


@dataclasses.dataclass
class SubmitOperation(spec.Operation):
    """Adds the body and the parameters, which the handler reads by itself."""

    def __post_init__(self) -> None:
        kinds = spec.OpenAPIType
        task = _schema(
            payload=spec.Schema(description="any JSON"),
            expected_ms=kinds.NUMBER,
            cores=kinds.NUMBER,
            memory_mb=kinds.INTEGER,
            accelerators=kinds.INTEGER,
        )
        task.required = ["payload"]
        body = _schema(
            guest=kinds.STRING,
            service=kinds.STRING,
            class_=kinds.STRING,
            repeatable=kinds.BOOLEAN,
            deadline_ms=kinds.INTEGER,
            tasks=spec.Schema(type=kinds.ARRAY, items=task),
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
    """Adds the parameter of the query, which the handler reads by itself."""

    def __post_init__(self) -> None:
        text = "how long to wait for a pending job, in seconds (default 0)"
        self.parameters = [
            *(self.parameters or []),
            _parameter("wait_s", "query", text, False),
        ]


@dataclasses.dataclass
class DrainOperation(spec.Operation):
    """Adds the parameter of the query, which the handler reads by itself."""

    def __post_init__(self) -> None:
        self.parameters = [
            *(self.parameters or []),
            _parameter("active", "query", '"true" (default) or "false"', False),
        ]
