//! The OpenAPI document of the administration API, built from the routes and the wire schemas.

use lavendergauge_wire::SCHEMAS;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::api_route::ROUTES;
use crate::api_route::Route;

/// Builds the document.
///
/// ```
/// use lavendergauge_daemon::api_document;
/// assert_eq!(api_document::build()["openapi"], "3.0.3");
/// ```
pub fn build() -> Value {
    let mut paths = Map::new();
    for route in ROUTES {
        let path = paths.entry(route.path).or_insert_with(|| json!({}));
        path[route.method.as_str().to_ascii_lowercase()] = operation(route);
    }
    json!({
        "openapi": "3.0.3",
        "info": {"title": "lavendergauge administration API", "version": "v1"},
        "paths": paths,
        "components": {
            "schemas": schemas(),
            "securitySchemes": {"key": {"type": "http", "scheme": "bearer",
                "description": "<id>.<secret> of an operator's or client account's key"}},
        },
        "security": [{"key": []}],
    })
}

fn operation(route: &Route) -> Value {
    let mut operation = json!({
        "operationId": format!("{:?}", route.operation),
        "summary": route.summary,
        "parameters": parameters(route),
        "responses": {
            "2XX": {"description": "Done", "content": content("application/json", route.answer)},
            "default": {"description": "Refused; `outcome` tells whether the call took effect",
                "content": content("application/problem+json", "problem.Detail")},
        },
    });
    if !route.request.is_empty() {
        operation["requestBody"] =
            json!({"required": true, "content": content("application/json", route.request)});
    }
    operation
}

fn parameters(route: &Route) -> Vec<Value> {
    let text = json!({"type": "string"});
    let mut parameters: Vec<Value> = route
        .path
        .split('/')
        .filter_map(|part| part.strip_prefix('{')?.strip_suffix('}'))
        .map(|name| json!({"name": name, "in": "path", "required": true, "schema": text}))
        .collect();
    if route.answer.starts_with("[]") {
        parameters.push(json!({"name": "after", "in": "query", "schema": text,
            "description": "last item of the previous page"}));
        parameters.push(json!({"name": "limit", "in": "query", "schema": {"type": "integer"}}));
    }
    if route.answer == "config.Document" && route.request != "config.Change" && is_change(route) {
        parameters.push(json!({"name": "If-Match", "in": "header", "required": true,
            "schema": text, "description": "revision that the change is based on, or `*`"}));
        parameters.push(json!({"name": "dry_run", "in": "query", "schema": {"type": "boolean"},
            "description": "answer with api.Preview and change nothing"}));
    }
    if is_change(route) {
        parameters.push(json!({"name": "Idempotency-Key", "in": "header", "schema": text,
            "description": "identifier of the change or job; a repeat has no further effect"}));
    }
    parameters
}

fn is_change(route: &Route) -> bool {
    route.method != hyper::Method::GET
}

fn content(media: &str, schema: &str) -> Value {
    let schema = match schema.strip_prefix("[]") {
        Some(item) => json!({"type": "array", "items": reference(item)}),
        None if schema.is_empty() => json!({"type": "object"}),
        None => reference(schema),
    };
    json!({media: {"schema": schema}})
}

fn reference(schema: &str) -> Value {
    json!({"$ref": format!("#/components/schemas/{schema}")})
}

/// Returns the definitions of the wire schemas, each as `module.Name`.
fn schemas() -> Map<String, Value> {
    let mut schemas = Map::new();
    for (module, text) in SCHEMAS {
        let text = text.replace("#/definitions/", &format!("#/components/schemas/{module}."));
        let schema: Value = serde_json::from_str(&text).unwrap_or_default();
        for (name, definition) in schema["definitions"].as_object().into_iter().flatten() {
            schemas.insert(format!("{module}.{name}"), definition.clone());
        }
    }
    schemas
}
