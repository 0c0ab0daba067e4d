package logic

// Entries of the endpoint list, and endpoints that an operator has taken out.

func (s *Sender) applyEntry(row Entry) {
	e := s.endpoints[row.Endpoint]
	if row.State == Removed {
		if e != nil {
			s.removeEndpoint(e)
		}
		return
	}
	d := s.destinationFor(row.Destination)
	d.kind = int32(row.Kind)
	if e == nil || e.destination != d {
		if e != nil {
			s.removeEndpoint(e)
		}
		e = newEndpoint(row.Endpoint, d)
		e.state = Removed
		if s.kindOf(d).SeparateRoutes {
			e.limiter = s.newLimiter()
		}
		s.endpoints[e.id] = e
		// A machine that joins a destination in trouble is as cold as the others: what topples it is shared.
		for i := len(d.endpoints) - 1; i >= 0 && d.hadOutage && !e.recovering; i-- {
			if x := d.endpoints[i]; x.recovering && e.limiter == x.limiter {
				e.recovering, e.ejected, e.returnedAt, e.nextTrialAt, e.lastFailureAt =
					true, x.ejected, x.returnedAt, x.nextTrialAt, x.lastFailureAt
			}
		}
	}
	if e.state == Removed {
		d.endpoints = append(d.endpoints, e)
		if len(d.endpoints) > 1 {
			d.nextEndpoint = s.rng.IntN(len(d.endpoints))
		}
	}
	e.zone, e.state = int32(row.Zone), row.State
	if s.settings.Weights != WeightsOff && row.Nominal > 0 && row.Nominal <= maxRateRPS &&
		!e.limiter.limitReported {
		e.limiter.limit = max(row.Nominal, minRateRPS)
	}
}

// banEndpoint takes an endpoint out at an operator's word. Only unban lifts it: no list, no return of the
// endpoint.
func (s *Sender) banEndpoint(id EndpointID) {
	if s.banned[id] {
		return
	}
	s.banned[id] = true
	s.log("endpoint %d taken out by an operator", id)
	s.emit(Release{id})
}

// unbanEndpoint puts it back. Its process may have been restarted meanwhile: it starts over, as cold as after
// an outage. One that seems out still gets its single trial first, at once.
func (s *Sender) unbanEndpoint(id EndpointID) {
	if !s.banned[id] {
		return
	}
	delete(s.banned, id)
	s.log("endpoint %d put back by an operator", id)
	if e := s.endpoints[id]; e != nil {
		e.consecutiveFailures, e.consecutiveRejections, e.failureRate, e.smoothedLatency =
			0, 0, min(e.failureRate, s.chanceFailureRate), 0
		s.markRecovering(e)
		e.returnedAt, e.nextTrialAt, e.trialInterval = s.now, s.now, 0
	}
}
