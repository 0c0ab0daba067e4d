package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"crossdeal/logic"
)

// setup is the JSON object that an instance gets at its start. Unknown keys are ignored.
type setup struct {
	Balancers      int      `json:"balancers"`
	Zone           int      `json:"zone"`
	Zones          []string `json:"zones"`
	Tick           float64  `json:"tick_s"`
	MembershipMode string   `json:"membership_mode"`
	Sender         int      `json:"me"`
	Weights        string   `json:"weights"`
	OverShareWorth float64  `json:"over_share_worth"`
	Classes        []struct {
		Name        string  `json:"name"`
		Aim         float64 `json:"aim_s"`
		Deadline    float64 `json:"deadline_s"`
		Worth       float64 `json:"worth"`
		LateWorth   float64 `json:"late_worth"`
		Idempotency string  `json:"idempotency"`
		Group       string  `json:"group"`
		Window      float64 `json:"window_s"`
		KeepOrder   bool    `json:"keep_order"`
	} `json:"classes"`
	Tenants []struct {
		Name     string  `json:"name"`
		QuotaRPS float64 `json:"quota_rps"`
	} `json:"tenants"`
	MachineTypes []string `json:"machine_types"`
	Limits       struct {
		MaxAttempts    int     `json:"max_attempts"`
		MaxOpen        int     `json:"max_open"`
		ConnIdle       float64 `json:"conn_idle_s"`
		ConnectTimeout float64 `json:"connect_timeout_s"`
		Multiplex      int     `json:"multiplex"`
		MaxRetryAfter  float64 `json:"max_retry_after_s"`
		MayCancel      bool    `json:"may_cancel"`
		Probing        bool    `json:"probing"`
		RetryAfter     bool    `json:"retry_after"`
	} `json:"limits"`
	Charges struct {
		Handshake float64 `json:"handshake"`
	} `json:"charges"`
	LoadInfo struct {
		How   string   `json:"how"`
		Names []string `json:"names"`
	} `json:"load_info"`
	Rules struct {
		DrainGrace   float64 `json:"drain_grace_s"`
		FallMultiple float64 `json:"fall_multiple"`
		FallWindow   float64 `json:"fall_s"`
		ColdFrom     float64 `json:"cold_from"`
		WarmAfter    float64 `json:"warm_after_s"`
		KeyQuiet     float64 `json:"key_quiet_s"`
	} `json:"rules"`
	Specifics struct {
		CallSlots      int    `json:"call_slots"`
		Late           string `json:"late"`
		BatchByKind    []int  `json:"batch_by_kind"`
		SeparateRoutes []bool `json:"separate_routes"`
	} `json:"specifics"`
}

var effects = map[string]logic.Effect{"retryable": logic.Safe, "dedup": logic.Keyed, "fragile": logic.Unsafe}

var weightModes = map[string]logic.WeightsMode{"": logic.WeightsOff, "off": logic.WeightsOff,
	"nominal": logic.WeightsNominal, "rough": logic.WeightsRough, "live": logic.WeightsRough}

// secondsToMicros converts seconds of the JSON text to whole microseconds. It limits them to ±1e9 s, so that the conversion cannot
// overflow and values out of bounds stay out of bounds.
func secondsToMicros(seconds float64) logic.Micros {
	return logic.Micros(math.Round(max(-1e9, min(seconds, 1e9)) * float64(logic.Second)))
}

// Deployment holds what the JSON object states: the settings of the decision logic, and values that only the program
// around it uses.
type Deployment struct {
	Settings       logic.Settings
	SenderIndex    int      // number of this sender
	Zones          []string // names, in the order of the zone numbers of list entries
	ConnectTimeout logic.Micros
	InvalidValues  error // values that cannot be read, which count as missing, and unknown words, which count as a default
}

// ParseSettings reads the settings of the decision logic from the JSON object of a create event. It does not check
// whether the values make sense: the decision logic does so when an instance is created.
func ParseSettings(text []byte) (logic.Settings, error) {
	deployment, err := ParseDeployment(text)
	return deployment.Settings, errors.Join(err, deployment.InvalidValues)
}

// ParseDeployment reads the whole JSON object.
func ParseDeployment(text []byte) (Deployment, error) {
	var object setup
	err := json.Unmarshal(text, &object)
	typeError := new(json.UnmarshalTypeError) // Unmarshal reads the other fields all the same
	if err != nil && !errors.As(err, &typeError) {
		return Deployment{}, err
	}
	settings, invalid := object.settings()
	return Deployment{Settings: settings, SenderIndex: object.Sender, Zones: object.Zones, ConnectTimeout: secondsToMicros(object.Limits.ConnectTimeout),
		InvalidValues: errors.Join(err, invalid)}, nil
}

// settings converts the object to the settings of the decision logic. An unknown value of weights or idempotency counts
// as the most cautious one, and the error names it.
func (s *setup) settings() (logic.Settings, error) {
	var invalid []error
	settings := logic.Settings{Senders: s.Balancers, Zone: s.Zone, Zones: len(s.Zones), Slots: s.Specifics.CallSlots,
		ConnIdle: secondsToMicros(s.Limits.ConnIdle), ConnCalls: s.Limits.Multiplex, ConnPrice: s.Charges.Handshake,
		MaxOpen: s.Limits.MaxOpen, MaxTries: s.Limits.MaxAttempts, Tick: secondsToMicros(s.Tick),
		ListOnRequest: s.MembershipMode == "on_request", MayProbe: s.Limits.Probing, MayCancel: s.Limits.MayCancel,
		AdviseRetry: s.Limits.RetryAfter, WorthHalves: s.Specifics.Late == "halves",
		MaxRetryAfter: secondsToMicros(s.Limits.MaxRetryAfter), OverShareWorth: s.OverShareWorth,
		DrainGrace: secondsToMicros(s.Rules.DrainGrace), FallMultiple: s.Rules.FallMultiple,
		FallWindow: secondsToMicros(s.Rules.FallWindow), ColdFrom: s.Rules.ColdFrom, WarmAfter: secondsToMicros(s.Rules.WarmAfter),
		KeyQuiet: secondsToMicros(s.Rules.KeyQuiet), LimitLeftIndex: -1, LimitIndex: -1}
	weights, ok := weightModes[s.Weights]
	if !ok {
		invalid = append(invalid, fmt.Errorf("weights: unknown value %q, treated as off", s.Weights))
	}
	settings.Weights = weights
	for i, class := range s.Classes {
		effect, ok := effects[class.Idempotency]
		if !ok {
			effect = logic.Unsafe
			invalid = append(invalid, fmt.Errorf("classes[%d].idempotency: unknown value %q, treated as fragile", i, class.Idempotency))
		}
		settings.Classes = append(settings.Classes, logic.Class{Name: class.Name, Aim: secondsToMicros(class.Aim), Deadline: secondsToMicros(class.Deadline),
			Worth: class.Worth, LateWorth: class.LateWorth, Effect: effect, ByZone: class.Group != "all" && class.Group != "",
			Window: secondsToMicros(class.Window), KeepOrder: class.KeepOrder})
	}
	for _, tenant := range s.Tenants {
		settings.Tenants = append(settings.Tenants, logic.Tenant{Name: tenant.Name, QuotaRPS: tenant.QuotaRPS})
	}
	for i, name := range s.MachineTypes {
		kind := logic.Kind{Name: name, Batch: 1}
		if i < len(s.Specifics.BatchByKind) {
			kind.Batch = s.Specifics.BatchByKind[i]
		}
		if i < len(s.Specifics.SeparateRoutes) {
			kind.SeparateRoutes = s.Specifics.SeparateRoutes[i]
		}
		settings.Kinds = append(settings.Kinds, kind)
	}
	if s.LoadInfo.How != "off" {
		for i, name := range s.LoadInfo.Names {
			switch name {
			case "x0":
				settings.LimitLeftIndex = i
			case "x1":
				settings.LimitIndex = i
			}
		}
	}
	return settings, errors.Join(invalid...)
}
