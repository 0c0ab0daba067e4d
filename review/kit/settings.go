package kit

// Settings returns settings like those of a small deployment of recife-envio: two classes, pushed lists, few slots.
func Settings() map[string]any {
	class := func(name, idempotency string, deadline, lateWorth float64) map[string]any {
		return map[string]any{"name": name, "idempotency": idempotency, "aim_s": 2.0, "deadline_s": deadline, "worth": 1.0,
			"late_worth": lateWorth, "group": "all", "window_s": 5.0, "stream": false}
	}
	return map[string]any{
		"balancers": 1, "me": 0, "tier": 0, "layers": []string{"parceiros"}, "zone": 0, "zones": []string{"a"}, "tick_s": 0.005,
		"classes":          []any{class("aviso", "retryable", 28, 0.3), class("cobranca", "fragile", 20, 0.4)},
		"tenants":          []any{},
		"over_share_worth": 1.0,
		"membership_mode":  "pushed", "weights": "nominal", "counted_by": "request",
		"machine_types": []string{"variados"},
		"limits": map[string]any{"max_attempts": 6, "max_open": 120, "conn_idle_s": 5.0, "connect_timeout_s": 1.0, "multiplex": 1,
			"max_retry_after_s": 2.0, "may_cancel": true, "probing": false, "retry_after": true, "peers": false, "second_copies": false,
			"cpu_us_per_s": 400000, "cpu_us_per_request": 0},
		"charges":   map[string]any{"handshake": 0.06, "waste": 0.11, "late_fail": 0.035},
		"load_info": map[string]any{"how": "inline", "names": []string{"x0", "x1"}},
		"rules": map[string]any{"drain_grace_s": 1.0, "fall_multiple": 2.0, "fall_s": 2.0, "cold_from": 0.2, "warm_after_s": 14.0,
			"answer_slack_s": 0.0},
		"specifics": map[string]any{"call_slots": 40, "late": "halves", "batch_by_kind": []int{1}, "separate_routes": []bool{false}},
	}
}
