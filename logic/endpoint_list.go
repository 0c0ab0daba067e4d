package logic

// Entries of the endpoint list, and endpoints that an operator has taken out.

func (s *Sender) entry(row Entry) {
	e := s.eps[row.Endpoint]
	if row.State == Gone {
		if e != nil {
			s.unlist(e)
		}
		return
	}
	d := s.dest(row.Dest)
	d.kind = int32(row.Kind)
	if e == nil || e.dest != d {
		if e != nil {
			s.unlist(e)
		}
		e = newEndpoint(row.Endpoint, d)
		e.state = Gone
		if s.kind(d).Apart {
			e.lane = s.newLane()
		}
		s.eps[e.id] = e
		// A machine that joins a destination in trouble is as cold as the others: what topples it is shared.
		for i := len(d.eps) - 1; i >= 0 && d.hurt && !e.cold; i-- {
			if x := d.eps[i]; x.cold && e.lane == x.lane {
				e.cold, e.suspect, e.backAt, e.trialAt, e.lastBad = true, x.suspect, x.backAt, x.trialAt, x.lastBad
			}
		}
	}
	if e.state == Gone {
		d.eps = append(d.eps, e)
		if len(d.eps) > 1 {
			d.next = s.rng.IntN(len(d.eps))
		}
	}
	e.zone, e.state = int32(row.Zone), row.State
	if s.set.Weights != WeightsOff && row.Nominal > 0 && row.Nominal <= mostRate && !e.lane.told {
		e.lane.limit = max(row.Nominal, leastRate)
	}
}

// ban takes an endpoint out at an operator's word. Only unban lifts it: no list, no return of the endpoint.
func (s *Sender) ban(id EndpointID) {
	if s.banned[id] {
		return
	}
	s.banned[id] = true
	s.log("endpoint %d taken out by an operator", id)
	s.do(Release{id})
}

// unban puts it back. Its process may have been restarted meanwhile: it starts over, as cold as after an
// outage. One that seems out still gets its single trial first, at once.
func (s *Sender) unban(id EndpointID) {
	if !s.banned[id] {
		return
	}
	delete(s.banned, id)
	s.log("endpoint %d put back by an operator", id)
	if e := s.eps[id]; e != nil {
		e.fails, e.fulls, e.bad, e.slow = 0, 0, min(e.bad, s.stray), 0
		s.chill(e)
		e.backAt, e.trialAt, e.trialGap = s.now, s.now, 0
	}
}
