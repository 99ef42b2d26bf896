package main

// route returns a route of the configuration in the form of PROTOCOL.md.
func route(name, kind, service string, attempts int, resume bool) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": "shop.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 4000, "goal_ms": 200, "priority": 1,
		"service": service, "attempts": attempts, "public": false, "sticky": kind == "streaming", "can_resume": resume, "gap_goal_ms": 300,
	}
}

// config returns a configuration with the given keys by tenant.
func config(version int, keys map[string][]string) map[string]any {
	tenants := []any{}
	for name, list := range keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": list, "priority": 1})
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("hold", "unsafe", "app", 3, false), route("stock", "safe", "app", 2, false),
			route("chat", "streaming", "lm", 3, true), route("report", "streaming", "lm", 1, false),
		},
		"services": []any{
			map[string]any{"name": "app", "health_path": "/health", "max_conns": 400, "cold_s": 0.0, "cold_per_s": 0.0},
			map[string]any{"name": "lm", "health_path": "/health", "max_conns": 400, "cold_s": 0.5, "cold_per_s": 100.0},
		},
		"limits":  map[string]any{"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}
