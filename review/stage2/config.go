//go:build review

package main

const (
	modelA   = "model-a"
	hostName = "desk.example"
)

// baseConfig returns a configuration with a route of each kind.
func baseConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "rollout", "host": hostName, "path_prefix": "/roll/", "kind": "rollout", "service": "models", "timeout_ms": 10000,
				"target_latency_ms": 400, "priority": 0, "max_attempts": 3, "deadline_ms": 12000, "item_ttl_s": 40},
			{"name": "stream", "host": hostName, "path_prefix": "/stream/", "kind": "streaming", "service": "chat", "timeout_ms": 10000,
				"target_latency_ms": 400, "priority": 1, "max_attempts": 3},
			{"name": "safe", "host": hostName, "path_prefix": "/look/", "kind": "safe", "service": "desk", "timeout_ms": 2000,
				"target_latency_ms": 150, "priority": 2, "max_attempts": 3},
		},
		"services": []map[string]any{
			{"name": "models", "health_path": "/health", "connection_limit": 140, "engine": map[string]any{"models": []map[string]any{{"name": modelA}}}},
			{"name": "chat", "health_path": "/health", "connection_limit": 140},
			{"name": "desk", "health_path": "/health", "connection_limit": 140},
		},
		"limits": map[string]any{"max_header_bytes": 65536, "max_body_bytes": 33554432, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
	}
}

func (w *world) nameVersion(model string, version int) {
	w.log.addf("trainer names %s version %d", model, version)
	w.store.put("versions", model, map[string]any{"model": model, "version": version})
}
