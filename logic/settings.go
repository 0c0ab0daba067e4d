package logic

// Checks of the Settings. ReplaceInvalid replaces figures that are out of range by safe values, so that a
// sender with a faulty configuration can still start. What it leaves invalid makes New fail with an error
// that names the setting.

import (
	"cmp"
	"fmt"
	"math"
)

const (
	// With more senders, shares of a limit would be close to nothing.
	maxSenders = 10_000
	// Longest span that a setting may have.
	maxSpan = 3600 * Second
	// Longest computed wait, see clampMicros.
	maxWait = 24 * maxSpan
	// Calls a second. A limit above this counts as not known.
	maxRateRPS = 1e12
	// Calls a second. A limit below this is raised to it.
	minRateRPS = 1e-3
)

// ReplaceInvalid replaces figures that are missing or out of range by safe values, where there is one,
// and returns a line about each. What is still invalid afterwards makes [New] fail.
func (s *Settings) ReplaceInvalid() (notes []string) {
	// If the number of senders is too high, this one is slow until load reports say how much of a limit
	// is left. If it is too low, this one uses up the others' share.
	replaceOutOfRange(&notes, "Senders", &s.Senders, 1, math.MaxInt, manySendersAbove)
	replaceOutOfRange(&notes, "Senders", &s.Senders, 1, maxSenders, maxSenders)
	replaceOutOfRange(&notes, "Zones", &s.Zones, 0, 1<<16, 1)
	replaceOutOfRange(&notes, "Zone", &s.Zone, 0, max(s.Zones, 1)-1, 0)
	replaceOutOfRange(&notes, "Slots", &s.Slots, 1, 1<<16, 1)
	replaceOutOfRange(&notes, "MaxOpen", &s.MaxOpen, 0, 1<<20, 0)
	replaceOutOfRange(&notes, "MaxTries", &s.MaxTries, 1, 6, 6)
	replaceOutOfRange(&notes, "Tick", &s.Tick, 0, Second, 5000)
	replaceOutOfRange(&notes, "ConnIdle", &s.ConnIdle, 0, maxSpan, 0)
	replaceOutOfRange(&notes, "ConnCalls", &s.ConnCalls, 1, 1<<16, 1)
	replaceOutOfRange(&notes, "ConnPrice", &s.ConnPrice, 0, 1e6, 0)
	replaceOutOfRange(&notes, "MaxRetryAfter", &s.MaxRetryAfter, 0, maxSpan, 0)
	replaceOutOfRange(&notes, "OverShareWorth", &s.OverShareWorth, 0, 1, 1)
	replaceOutOfRange(&notes, "DrainGrace", &s.DrainGrace, 0, maxSpan, 0)
	replaceOutOfRange(&notes, "FallMultiple", &s.FallMultiple, 1e-3, 1e6, 2)
	replaceOutOfRange(&notes, "FallWindow", &s.FallWindow, 1, maxSpan, 2*Second)
	replaceOutOfRange(&notes, "ColdFrom", &s.ColdFrom, 1e-3, 1, 0.2)
	replaceOutOfRange(&notes, "WarmAfter", &s.WarmAfter, 1, maxSpan, 14*Second)
	replaceOutOfRange(&notes, "KeyQuiet", &s.KeyQuiet, 0, maxSpan, 0)
	for i := range s.Classes { // safe, as each message has a TimeLeft and is not repeated without a Window
		class, name := &s.Classes[i], fmt.Sprintf("Classes[%d].", i)
		replaceOutOfRange(&notes, name+"Deadline", &class.Deadline, 1, maxSpan, 20*Second)
		replaceOutOfRange(&notes, name+"Aim", &class.Aim, 0, maxSpan, min(2*Second, class.Deadline))
		replaceOutOfRange(&notes, name+"Window", &class.Window, 0, maxSpan, 0)
		replaceOutOfRange(&notes, name+"Worth", &class.Worth, 0, 1e6, 1)
		replaceOutOfRange(&notes, name+"LateWorth", &class.LateWorth, 0, 1e6, 0)
	}
	for i := range s.Tenants {
		replaceOutOfRange(&notes, fmt.Sprintf("Tenants[%d]", i), &s.Tenants[i].QuotaRPS, 0, 1e9, 0)
	}
	for i := range s.Kinds {
		replaceOutOfRange(&notes, fmt.Sprintf("Kinds[%d].Batch", i), &s.Kinds[i].Batch, 0, 1<<16, 1)
	}
	return notes
}

// replaceOutOfRange sets x to the replacement and adds a line to notes if x is not between least and
// most.
func replaceOutOfRange[T cmp.Ordered](notes *[]string, name string, x *T, least, most, replacement T) {
	if *x >= least && *x <= most {
		return
	}
	*notes = append(*notes, fmt.Sprintf("settings: %s of %v makes no sense, taken for %v",
		name, *x, replacement))
	*x = replacement
}

// validate returns an error that names the first setting that is not valid.
func validate(settings *Settings) error {
	invalid := func(field string) error { return fmt.Errorf("settings: %s makes no sense", field) }
	switch {
	case len(settings.Classes) == 0:
		return invalid("Classes")
	case settings.Senders < 1:
		return invalid("Senders")
	case settings.Zones < 0 || settings.Zone < 0 || settings.Zone >= max(settings.Zones, 1):
		return invalid("Zone")
	case settings.Slots < 0:
		return invalid("Slots")
	case settings.MaxOpen < 0:
		return invalid("MaxOpen")
	case settings.MaxTries < 0:
		return invalid("MaxTries")
	case settings.Tick < 0:
		return invalid("Tick")
	case settings.MaxRetryAfter < 0:
		return invalid("MaxRetryAfter")
	case settings.DrainGrace < 0 || settings.KeyQuiet < 0 || settings.FallWindow < 0 || settings.WarmAfter < 0:
		return invalid("DrainGrace, KeyQuiet, FallWindow or WarmAfter")
	case settings.FallMultiple < 0:
		return invalid("FallMultiple")
	case settings.ColdFrom < 0 || settings.ColdFrom > 1:
		return invalid("ColdFrom")
	}
	for i, class := range settings.Classes {
		if class.Deadline <= 0 || min(class.Aim, class.Window) < 0 || min(class.Worth, class.LateWorth) < 0 ||
			class.Effect < Safe || class.Effect > Unsafe {
			return invalid(fmt.Sprintf("Classes[%d]", i))
		}
	}
	for i, tenant := range settings.Tenants {
		if tenant.QuotaRPS < 0 {
			return invalid(fmt.Sprintf("Tenants[%d]", i))
		}
	}
	for i, kind := range settings.Kinds {
		if kind.Batch < 0 {
			return invalid(fmt.Sprintf("Kinds[%d]", i))
		}
	}
	return nil
}
