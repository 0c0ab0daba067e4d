package logic

// Which message goes first, and what a nearly full queue gives up.

import (
	"cmp"
	"math"
	"slices"
)

const (
	minSamples    = 4.0        // ours: samples before a histogram is believed
	quotaHalfLife = 5 * Second // ours: half-life of a tenant's rate
	lossHorizon   = Second     // ours: loss of worth within this sets who goes first
	// ours: share of the hold above which messages that the pace cannot send in time end
	queueTightShare = 0.7
	queueFullShare  = 0.9 // ours: share of the hold above which the least worthy are refused
)

// urgency orders the queue: the worth that waiting a little longer would lose, for each second of a slot.
func (s *Sender) urgency(m *message) float64 {
	u := max(s.usualLatency(m), 10_000)
	soon := s.worthAt(m, s.now+u)
	loss := soon - s.worthAt(m, s.now+u+lossHorizon)
	return m.worthShare * (loss + 0.02*soon) / (float64(u) * float64(1+m.destination.limiter.inflight))
}

// tenantWorthShare is the part of its worth that a new message keeps: less while its tenant sends past its
// quota here, taking an even part of the quota for this sender.
func (s *Sender) tenantWorthShare(tenant int) float64 {
	if tenant < 0 || tenant >= len(s.settings.Tenants) || s.settings.Tenants[tenant].QuotaRPS <= 0 {
		return 1
	}
	u := &s.tenantUsage[tenant]
	u.messages = u.messages*math.Exp2(-seconds(s.now-u.updatedAt)/seconds(quotaHalfLife)) + 1
	u.updatedAt = s.now
	if u.messages*math.Ln2/seconds(quotaHalfLife) >
		s.settings.Tenants[tenant].QuotaRPS/float64(s.settings.Senders) {
		return s.settings.OverShareWorth
	}
	return 1
}

// usualLatency is the median served latency of m's destination, else of its class; 0 if neither is known.
func (s *Sender) usualLatency(m *message) Micros {
	if m.destination.histogram.total >= minSamples {
		return m.destination.histogram.median
	}
	if h := &s.classHistograms[m.classIndex]; h.total >= minSamples {
		return h.median
	}
	return 0
}

// dispatch sends what the gate lets through, the most urgent first.
func (s *Sender) dispatch() {
	var q []*message
	for _, m := range s.openMessages {
		if m.attempt == nil && !m.ended {
			if m.priority = s.urgency(m); s.atLastChance(m) {
				m.priority = math.Inf(1)
			}
			m.destination.queuedAhead = 0
			q = append(q, m)
		}
	}
	slices.SortStableFunc(q, func(a, b *message) int { return cmp.Compare(b.priority, a.priority) })
	least := len(q) - 1
	for least >= 0 && q[least].untried {
		least--
	}
	for i, m := range q {
		if s.trySend(m) {
			continue
		}
		m.destination.queuedAhead++
		// What the pace cannot send in time ends now, if the hold has little room: paces and limits come back.
		p := s.destinationPace(m.destination)
		late := p > 0 && m.destination.queuedAhead/p > seconds(m.deadline-s.now-s.usualLatency(m))
		if late && s.openShare() > queueTightShare && !m.untried {
			s.endMessage(m)
			continue
		}
		// A nearly full hold gives up its least worthy rather than turning new messages away unseen.
		if s.openShare() > queueFullShare && i == least && !m.mayHaveRun {
			s.endMessage(m)
		}
	}
}
