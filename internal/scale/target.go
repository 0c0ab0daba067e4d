package scale

import "crossdeal/logic"

// The target load and the limits of cost, for the whole fleet and for one sender of it. "Control" stands for receiving
// the endpoint list and keeping the state of its endpoints, as opposed to handling messages.
const (
	TargetSenders         = 540
	TargetEventRate       = 1.1e6 // events a second, all senders together
	TargetDestinations    = 100_000
	TargetEntries         = 200_000                              // entries of the list, at most
	TargetDownShare       = 0.017                                // share of the destinations that are down at any time
	TargetChangesPerDay   = 1400                                 // changes of configuration a day
	TargetInForceSeconds  = 17                                   // seconds until a change is in force at all senders
	DestinationRate       = TargetEventRate / TargetDestinations // 11 events a second at an average destination
	SenderRate            = TargetEventRate / TargetSenders      // 2,037 events a second
	SenderRateZoneLost    = SenderRate * 6 / 5                   // 2,444 events a second, with one of six zones lost
	SenderRateRegionLost  = SenderRate * 2                       // 4,074 events a second, with one of two regions lost
	ControlCoreShare      = 0.02                                 // share of a core that control may take at a sender
	ControlMemoryBytes    = 256e6                                // bytes of memory that control may take at a sender
	ControlBytesPerSecond = 9e3                                  // bytes a second of control traffic at a sender
	SenderBacklog         = 9.3e9 / TargetSenders                // 17.2 million events
	// SenderDestinationRate is the events a second that one sender has for an average destination: 0.02.
	SenderDestinationRate = DestinationRate / TargetSenders
)

// Settings returns the settings of a sender in a fleet of this size, for the deployment that the measurements assume:
// three classes with deadlines of 10 to 14 s, one of them ordered by key; answers that report what is left of a rate
// limit; slow start over 14 s from a fifth of the capacity; and as many slots as the busiest second needs.
func Settings(senders int) logic.Settings {
	const s = logic.Second
	return logic.Settings{Senders: senders, Zones: 6, Slots: 16_384, MaxOpen: 65_536, MaxTries: 6, Tick: 5000,
		MayCancel: true, AdviseRetry: true, Weights: logic.WeightsNominal, LimitLeftIndex: 0, LimitIndex: 1,
		Classes: []logic.Class{
			{Name: "safe", Aim: s, Deadline: 10 * s, Worth: 1, LateWorth: 0.5, KeepOrder: true},
			{Name: "keyed", Aim: 2 * s, Deadline: 12 * s, Worth: 2, LateWorth: 0.4, Effect: logic.Keyed, Window: 8 * s},
			{Name: "unsafe", Aim: 2 * s, Deadline: 14 * s, Worth: 4, LateWorth: 0.3, Effect: logic.Unsafe}},
		Kinds: []logic.Kind{{Name: "plain", Batch: 1}}, ConnIdle: 5 * s, ConnCalls: 8, ConnPrice: 0.06,
		MaxRetryAfter: 2 * s, DrainGrace: s, FallMultiple: 2, FallWindow: 2 * s, ColdFrom: 0.2, WarmAfter: 14 * s}
}
