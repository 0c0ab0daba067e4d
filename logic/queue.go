package logic

// Which message is sent first, and which messages are given up when the queue is nearly full. The order
// is by the worth that a message would lose by waiting, for each second that its call takes, so that
// short calls of valuable and urgent messages go first. When the messages held come near to
// Settings.MaxOpen, those that the pace cannot send in time end first, and then the least urgent ones.

import (
	"cmp"
	"math"
	"slices"
)

const (
	// Weight of samples from which on a histogram is used.
	minSamples = 4.0
	// Half-life of the weight of messages in a tenant's rate.
	quotaHalfLife = 5 * Second
	// Urgency is the worth that is lost by waiting for this long.
	lossHorizon = Second
	// Share of MaxOpen above which messages end that the pace cannot send in time.
	queueTightShare = 0.7
	// Share of MaxOpen above which the least urgent message is given up.
	queueFullShare = 0.9
)

// urgency returns the priority of a message: the worth that it would lose by waiting for lossHorizon,
// with 2 % of its worth added, per time that a call takes. It is lower the more calls its destination has
// in flight.
func (s *Sender) urgency(m *message) float64 {
	latency := max(s.usualLatency(m), 10_000)
	worth := s.worthAt(m, s.now+latency)
	loss := worth - s.worthAt(m, s.now+latency+lossHorizon)
	return m.worthShare * (loss + 0.02*worth) / (float64(latency) * float64(1+m.destination.limiter.inflight))
}

// tenantWorthShare counts a new message of a tenant and returns the share of its worth that it keeps:
// all, or OverShareWorth while the tenant sends more here than this sender's even share of its quota.
func (s *Sender) tenantWorthShare(tenant int) float64 {
	if tenant < 0 || tenant >= len(s.settings.Tenants) || s.settings.Tenants[tenant].QuotaRPS <= 0 {
		return 1
	}
	usage := &s.tenantUsage[tenant]
	usage.messages = usage.messages*math.Exp2(-seconds(s.now-usage.updatedAt)/seconds(quotaHalfLife)) + 1
	usage.updatedAt = s.now
	if usage.messages*math.Ln2/seconds(quotaHalfLife) >
		s.settings.Tenants[tenant].QuotaRPS/float64(s.settings.Senders) {
		return s.settings.OverShareWorth
	}
	return 1
}

// usualLatency returns the median latency of m's destination, else of its class; 0 if neither is known.
func (s *Sender) usualLatency(m *message) Micros {
	if m.destination.histogram.answeredWeight >= minSamples {
		return m.destination.histogram.median
	}
	if h := &s.classHistograms[m.classIndex]; h.answeredWeight >= minSamples {
		return h.median
	}
	return 0
}

// dispatch sends the messages that may be sent now, the most urgent first, and gives up messages where
// the queue is nearly full.
func (s *Sender) dispatch() {
	var queue []*message
	for _, m := range s.openMessages {
		if m.attempt == nil && !m.ended {
			if m.priority = s.urgency(m); s.atLastChance(m) {
				m.priority = math.Inf(1)
			}
			m.destination.queuedAhead = 0
			queue = append(queue, m)
		}
	}
	slices.SortStableFunc(queue, func(a, b *message) int { return cmp.Compare(b.priority, a.priority) })
	leastUrgent := len(queue) - 1
	for leastUrgent >= 0 && queue[leastUrgent].untriedAtRestart {
		leastUrgent--
	}
	for i, m := range queue {
		if s.trySend(m) {
			continue
		}
		m.destination.queuedAhead++
		// If there is little room, a message that the pace cannot send in time ends at once. With enough
		// room it stays, as paces and limits recover.
		pace := s.destinationPace(m.destination)
		tooLate := pace > 0 && m.destination.queuedAhead/pace > seconds(m.deadline-s.now-s.usualLatency(m))
		if tooLate && s.openShare() > queueTightShare && !m.untriedAtRestart {
			s.endMessage(m)
			continue
		}
		// A nearly full queue gives up its least urgent message rather than rejecting new ones without looking
		// at them.
		if s.openShare() > queueFullShare && i == leastUrgent && !m.mayHaveRun {
			s.endMessage(m)
		}
	}
}
