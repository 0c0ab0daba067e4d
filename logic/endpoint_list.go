package logic

// Entries of the endpoint list, and bans by operators. An entry adds or changes an endpoint or removes
// it; a removed endpoint keeps its state for a while. A new endpoint of a destination that is down or
// recovering is treated like the others there. A ban ends only by an unban, after which the endpoint
// counts as recovering.

// applyEntry applies one entry of the endpoint list.
func (s *Sender) applyEntry(entry Entry) {
	e := s.endpoints[entry.Endpoint]
	if entry.State == Removed {
		if e != nil {
			s.removeEndpoint(e)
		}
		return
	}
	d := s.destinationFor(entry.Destination)
	d.kind = int32(entry.Kind)
	if e == nil || e.destination != d {
		if e != nil {
			s.removeEndpoint(e)
		}
		e = newEndpoint(entry.Endpoint, d)
		e.state = Removed
		if s.kindOf(d).SeparateRoutes {
			e.limiter = s.newLimiter()
		}
		s.endpoints[e.id] = e
		// An endpoint that joins a destination during an outage is recovering like the others: they share
		// the load that would overload it.
		for i := len(d.endpoints) - 1; i >= 0 && d.hadOutage && !e.recovering; i-- {
			if sibling := d.endpoints[i]; sibling.recovering && e.limiter == sibling.limiter {
				e.recovering, e.suspected, e.ejected, e.returnedAt, e.nextTrialAt, e.lastFailureAt =
					true, sibling.suspected, sibling.ejected, sibling.returnedAt, sibling.nextTrialAt,
					sibling.lastFailureAt
			}
		}
	}
	if e.state == Removed {
		d.endpoints = append(d.endpoints, e)
		if len(d.endpoints) > 1 {
			d.nextEndpoint = s.rng.IntN(len(d.endpoints))
		}
	}
	e.zone, e.state = int32(entry.Zone), entry.State
	if s.settings.Weights != WeightsOff && entry.Nominal > 0 && entry.Nominal <= maxRateRPS &&
		!e.limiter.limitReported {
		e.limiter.limit = max(entry.Nominal, minRateRPS)
	}
}

// banEndpoint bans an endpoint. Only unbanEndpoint ends the ban: list updates and answers of the endpoint
// do not.
func (s *Sender) banEndpoint(id EndpointID) {
	if s.banned[id] {
		return
	}
	s.banned[id] = true
	s.log("endpoint %d taken out by an operator", id)
	s.emit(Release{id})
}

// unbanEndpoint ends a ban. The endpoint's process may have been restarted meanwhile, so its record of
// failures starts over and it is recovering, as after an outage. If it is ejected, it first gets a trial
// call, at once.
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
		e.suspected, e.returnedAt, e.nextTrialAt, e.trialInterval = false, s.now, s.now, 0
	}
}
