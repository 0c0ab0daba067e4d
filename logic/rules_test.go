package logic

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// settingsVariants returns deployments that differ; each must keep the rules of ruleChecker under random outcomes.
func settingsVariants() map[string]Settings {
	variant := func(change func(*Settings)) Settings { s := baseSettings(); change(&s); return s }
	return map[string]Settings{
		"plain":     baseSettings(),
		"one class": variant(func(s *Settings) { s.Classes = s.Classes[2:] }),
		"tenants": variant(func(s *Settings) {
			s.Tenants = []Tenant{{"x", 2}, {"y", 1},
				{"z", 0}}
			s.OverShareWorth = 0.2
		}),
		"zones": variant(func(s *Settings) { s.Zones, s.Zone = 2, 1; s.Classes[1].ByZone = true }),
		"ordered": variant(func(s *Settings) {
			s.KeyQuiet = Second
			s.Classes[0].KeepOrder, s.Classes[2].KeepOrder = true,
				true
		}),
		"batches": variant(func(s *Settings) { s.Kinds[0].Batch = 10 }),
		"apart": variant(func(s *Settings) {
			s.Kinds = []Kind{{Name: "k", SeparateRoutes: true, Batch: 1}, {Name: "l", Batch: 3}}
		}),
		"weights":    variant(func(s *Settings) { s.Weights = WeightsNominal }),
		"rough":      variant(func(s *Settings) { s.Weights = WeightsRough }),
		"probing":    variant(func(s *Settings) { s.MayProbe, s.WorthHalves = true, true }),
		"on request": variant(func(s *Settings) { s.ListOnRequest = true }),
		"one slot":   variant(func(s *Settings) { s.Slots = 1 }),
		"tiny hold":  variant(func(s *Settings) { s.MaxOpen = 3 }),
		"no advice":  variant(func(s *Settings) { s.AdviseRetry, s.MaxRetryAfter = false, 0 }),
		"no cancel":  variant(func(s *Settings) { s.MayCancel = false }),
		"reports":    variant(func(s *Settings) { s.LimitLeftIndex, s.LimitIndex = 0, 1; s.Senders = 9 }),
		"no limits":  variant(func(s *Settings) { s.MaxOpen, s.MaxTries, s.Slots = 0, 0, 40 }),
		"short tick": variant(func(s *Settings) { s.Tick = 1000; s.DrainGrace = 0 }),
	}
}

func TestRulesUnderRandomOutcomes(t *testing.T) {
	for name, settings := range settingsVariants() {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				newRuleChecker(t, settings, seed).play()
			}
		})
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	for _, name := range []string{"apart", "zones", "reports"} {
		a, b := newRuleChecker(t, settingsVariants()[name], 3), newRuleChecker(t, settingsVariants()[name], 3)
		a.play()
		b.play()
		if !slices.Equal(a.trace, b.trace) {
			t.Errorf("%s: the same events gave different actions", name)
		}
		if len(a.trace) < 100 {
			t.Errorf("%s: got %d actions, want at least 100", name, len(a.trace))
		}
	}
}

func TestNamesDoNotAffectDecisions(t *testing.T) {
	settings := settingsVariants()["tenants"]
	a := newRuleChecker(t, settings, 5)
	a.play()
	for i := range settings.Classes {
		settings.Classes[i].Name = fmt.Sprint("zebra-", i)
	}
	settings.Tenants = []Tenant{{"q", 2}, {"", 1}, {"other", 0}}
	settings.Kinds[0].Name = "renamed"
	b := newRuleChecker(t, settings, 5)
	b.play()
	if !slices.Equal(a.trace, b.trace) {
		t.Error("new names of classes, tenants and kinds changed the actions")
	}
}

func TestNewNamesTheInvalidSetting(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes": func(s *Settings) { s.Classes = nil }, "Senders": func(s *Settings) { s.Senders = 0 },
		"Zone": func(s *Settings) { s.Zone = 4 }, "Slots": func(s *Settings) { s.Slots = -1 },
		"MaxOpen": func(s *Settings) { s.MaxOpen = -1 }, "MaxTries": func(s *Settings) { s.MaxTries = -2 },
		"ColdFrom": func(s *Settings) { s.ColdFrom = 2 }, "Classes[1]": func(s *Settings) { s.Classes[1].Deadline = 0 },
		"Kinds[0]": func(s *Settings) { s.Kinds[0].Batch = -1 }, "Tick": func(s *Settings) { s.Tick = -1 },
	} {
		settings := baseSettings()
		change(&settings)
		if _, err := New(settings, 1); err == nil || err.Error() != "settings: "+want+" makes no sense" {
			t.Errorf("%s: got error %v", want, err)
		}
	}
}

// Settings that are missing or invalid get a safe value and a message, each once. Valid settings stay.
func TestReplaceInvalidTakesSafeValues(t *testing.T) {
	nan, huge := math.NaN(), math.MaxFloat64
	for want, change := range map[string]func(*Settings){
		"Senders of 0 makes no sense, taken for 16":                   func(s *Settings) { s.Senders = 0 },
		"Senders of -3 makes no sense, taken for 16":                  func(s *Settings) { s.Senders = -3 },
		"Senders of 1000000000 makes no sense, taken for 10000":       func(s *Settings) { s.Senders = 1e9 },
		"Slots of 0 makes no sense, taken for 1":                      func(s *Settings) { s.Slots = 0 },
		"MaxOpen of -1 makes no sense, taken for 0":                   func(s *Settings) { s.MaxOpen = -1 },
		"MaxTries of 0 makes no sense, taken for 6":                   func(s *Settings) { s.MaxTries = 0 },
		"ConnPrice of NaN makes no sense, taken for 0":                func(s *Settings) { s.ConnPrice = nan },
		"ConnPrice of -0.1 makes no sense, taken for 0":               func(s *Settings) { s.ConnPrice = -0.1 },
		"ConnIdle of -1 makes no sense, taken for 0":                  func(s *Settings) { s.ConnIdle = -1 },
		"FallMultiple of 0 makes no sense, taken for 2":               func(s *Settings) { s.FallMultiple = 0 },
		"FallWindow of 0 makes no sense, taken for 2000000":           func(s *Settings) { s.FallWindow = 0 },
		"ColdFrom of 2 makes no sense, taken for 0.2":                 func(s *Settings) { s.ColdFrom = 2 },
		"WarmAfter of 0 makes no sense, taken for 14000000":           func(s *Settings) { s.WarmAfter = 0 },
		"Tenants[0] of -2 makes no sense, taken for 0":                func(s *Settings) { s.Tenants = []Tenant{{"t", -2}} },
		"Kinds[0].Batch of -1 makes no sense, taken for 1":            func(s *Settings) { s.Kinds[0].Batch = -1 },
		"Zones of -1 makes no sense, taken for 1":                     func(s *Settings) { s.Zones, s.Zone = -1, 0 },
		"Zone of 9 makes no sense, taken for 0":                       func(s *Settings) { s.Zone = 9 },
		"Zone of -1 makes no sense, taken for 0":                      func(s *Settings) { s.Zone = -1 },
		"Classes[0].Deadline of 0 makes no sense, taken for 20000000": func(s *Settings) { s.Classes[0].Deadline = 0 },
		"Classes[0].Aim of -1 makes no sense, taken for 2000000":      func(s *Settings) { s.Classes[0].Aim = -1 },
		"Classes[0].Worth of NaN makes no sense, taken for 1":         func(s *Settings) { s.Classes[0].Worth = nan },
		"": func(*Settings) {},
		"MaxRetryAfter of 9223372036854775807 makes no sense, taken for 0":      func(s *Settings) { s.MaxRetryAfter = never },
		"OverShareWorth of 1.7976931348623157e+308 makes no sense, taken for 1": func(s *Settings) { s.OverShareWorth = huge },
	} {
		settings := baseSettings()
		settings.ConnCalls = 1
		change(&settings)
		messages := settings.ReplaceInvalid()
		if strings.Join(messages, "; ") != strings.TrimSuffix("settings: "+want, "settings: ") {
			t.Errorf("want message %q, got %q", want, messages)
		}
		if repeated := settings.ReplaceInvalid(); len(repeated) > 0 {
			t.Errorf("%s: second call of ReplaceInvalid: got %q, want no message", want, repeated)
		}
		if _, err := New(settings, 1); err != nil {
			t.Errorf("%s: New: %v", want, err)
		}
	}
	var zero Settings
	zero.Classes = baseSettings().Classes
	zero.ReplaceInvalid()
	if _, err := New(zero, 1); err != nil {
		t.Errorf("settings with classes only: New: %v", err)
	}
}

// Guards against invalid limits and load reports that stop all sends or lift all bounds: calls must go on at a
// reasonable pace, and every message must end in time.
func TestInvalidLoadReportsAndLimits(t *testing.T) {
	for _, load := range [][]float64{{math.NaN(), math.NaN()}, {-1, -1}, {1e300, math.Inf(1)}, {0.5, 0},
		{math.Inf(-1), 1e300}, {0.5}, nil, {1, 1e-300}, {0, 5e-324}} {
		for _, nominal := range []float64{0, -1, 40, 1e-300, 1e308, math.Inf(1), math.NaN()} {
			settings := baseSettings()
			settings.Senders, settings.Weights, settings.LimitLeftIndex, settings.LimitIndex = 80, WeightsRough, 0, 1
			h := newHarness(t, settings)
			list := fullList(1)
			list.Entries[0].Nominal = nominal
			h.step(0, list)
			ended, sent := 0, 0
			for i := range 400 {
				at := 0.1 * float64(i+1)
				evs := []Event{TimerExpired{}}
				if i < 20 {
					evs = append(evs, h.newMessage(0))
				}
				acts := h.step(at, evs...)
				for len(acts) > 0 {
					ended += len(actionsOf[Fail](acts)) + len(actionsOf[Refuse](acts))
					var next []Event
					for _, c := range actionsOf[CallOut](acts) {
						sent++
						result := resultOf(c.ID, 1, 0, Completed)
						result.Load = load
						next, ended = append(next, result), ended+1
					}
					if acts = nil; len(next) > 0 {
						acts = h.step(at, next...)
					}
				}
			}
			tinyLimit := nominal == 1e-300 || len(load) == 2 && load[1] > 0 && load[1] < 1
			if ended != 20 || tinyLimit && sent > 12 || !tinyLimit && sent < 3 {
				t.Errorf("load report %v, limit in the list %v: got %d messages ended and %d calls", load, nominal, ended, sent)
			}
		}
	}
}
