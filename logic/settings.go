package logic

import (
	"cmp"
	"fmt"
	"math"
)

const (
	maxSenders = 10_000 // more than that is no fleet: shares of a limit would come to nothing
	maxSpan    = 3600 * Second
	maxWait    = 24 * maxSpan
	maxRateRPS = 1e12 // calls a second; a limit above it counts as not told
	minRateRPS = 1e-3 // and one below this for this
)

// ReplaceInvalid takes a safe value for each figure that is missing or makes no sense and can be done
// without, and says which. What stays wrong is for [New] to refuse.
func (set *Settings) ReplaceInvalid() (said []string) {
	// Taken for too many, a sender is slow until answers tell what is left of a limit; for too few, it costs the
	// others their calls.
	replaceOutOfRange(&said, "Senders", &set.Senders, 1, math.MaxInt, manySendersAbove)
	replaceOutOfRange(&said, "Senders", &set.Senders, 1, maxSenders, maxSenders)
	replaceOutOfRange(&said, "Zones", &set.Zones, 0, 1<<16, 1)
	replaceOutOfRange(&said, "Zone", &set.Zone, 0, max(set.Zones, 1)-1, 0)
	replaceOutOfRange(&said, "Slots", &set.Slots, 1, 1<<16, 1)
	replaceOutOfRange(&said, "MaxOpen", &set.MaxOpen, 0, 1<<20, 0)
	replaceOutOfRange(&said, "MaxTries", &set.MaxTries, 1, 6, 6)
	replaceOutOfRange(&said, "Tick", &set.Tick, 0, Second, 5000)
	replaceOutOfRange(&said, "ConnIdle", &set.ConnIdle, 0, maxSpan, 0)
	replaceOutOfRange(&said, "ConnCalls", &set.ConnCalls, 1, 1<<16, 1)
	replaceOutOfRange(&said, "ConnPrice", &set.ConnPrice, 0, 1e6, 0)
	replaceOutOfRange(&said, "MaxRetryAfter", &set.MaxRetryAfter, 0, maxSpan, 0)
	replaceOutOfRange(&said, "OverShareWorth", &set.OverShareWorth, 0, 1, 1)
	replaceOutOfRange(&said, "DrainGrace", &set.DrainGrace, 0, maxSpan, 0)
	replaceOutOfRange(&said, "FallMultiple", &set.FallMultiple, 1e-3, 1e6, 2)
	replaceOutOfRange(&said, "FallWindow", &set.FallWindow, 1, maxSpan, 2*Second)
	replaceOutOfRange(&said, "ColdFrom", &set.ColdFrom, 1e-3, 1, 0.2)
	replaceOutOfRange(&said, "WarmAfter", &set.WarmAfter, 1, maxSpan, 14*Second)
	replaceOutOfRange(&said, "KeyQuiet", &set.KeyQuiet, 0, maxSpan, 0)
	for i := range set.Classes { // a message tells its own time; what may not be repeated is not
		c, name := &set.Classes[i], fmt.Sprintf("Classes[%d].", i)
		replaceOutOfRange(&said, name+"Deadline", &c.Deadline, 1, maxSpan, 20*Second)
		replaceOutOfRange(&said, name+"Aim", &c.Aim, 0, maxSpan, min(2*Second, c.Deadline))
		replaceOutOfRange(&said, name+"Window", &c.Window, 0, maxSpan, 0)
		replaceOutOfRange(&said, name+"Worth", &c.Worth, 0, 1e6, 1)
		replaceOutOfRange(&said, name+"LateWorth", &c.LateWorth, 0, 1e6, 0)
	}
	for i := range set.Tenants {
		replaceOutOfRange(&said, fmt.Sprintf("Tenants[%d]", i), &set.Tenants[i].QuotaRPS, 0, 1e9, 0)
	}
	for i := range set.Kinds {
		replaceOutOfRange(&said, fmt.Sprintf("Kinds[%d].Batch", i), &set.Kinds[i].Batch, 0, 1<<16, 1)
	}
	return said
}

// replaceOutOfRange takes the value for one that is not between the bounds.
func replaceOutOfRange[T cmp.Ordered](said *[]string, name string, x *T, least, most, value T) {
	if *x >= least && *x <= most {
		return
	}
	*said = append(*said, fmt.Sprintf("settings: %s of %v makes no sense, taken for %v", name, *x, value))
	*x = value
}

// validate says which setting makes no sense.
func validate(set *Settings) error {
	bad := func(field string) error { return fmt.Errorf("settings: %s makes no sense", field) }
	switch {
	case len(set.Classes) == 0:
		return bad("Classes")
	case set.Senders < 1:
		return bad("Senders")
	case set.Zones < 0 || set.Zone < 0 || set.Zone >= max(set.Zones, 1):
		return bad("Zone")
	case set.Slots < 0:
		return bad("Slots")
	case set.MaxOpen < 0:
		return bad("MaxOpen")
	case set.MaxTries < 0:
		return bad("MaxTries")
	case set.Tick < 0:
		return bad("Tick")
	case set.MaxRetryAfter < 0:
		return bad("MaxRetryAfter")
	case set.DrainGrace < 0 || set.KeyQuiet < 0 || set.FallWindow < 0 || set.WarmAfter < 0:
		return bad("a span of the rules")
	case set.FallMultiple < 0:
		return bad("FallMultiple")
	case set.ColdFrom < 0 || set.ColdFrom > 1:
		return bad("ColdFrom")
	}
	for i, c := range set.Classes {
		if c.Deadline <= 0 || min(c.Aim, c.Window) < 0 || min(c.Worth, c.LateWorth) < 0 ||
			c.Effect < Safe || c.Effect > Unsafe {
			return bad(fmt.Sprintf("Classes[%d]", i))
		}
	}
	for i, t := range set.Tenants {
		if t.QuotaRPS < 0 {
			return bad(fmt.Sprintf("Tenants[%d]", i))
		}
	}
	for i, k := range set.Kinds {
		if k.Batch < 0 {
			return bad(fmt.Sprintf("Kinds[%d]", i))
		}
	}
	return nil
}
