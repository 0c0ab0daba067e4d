package main

import (
	"fmt"
	"time"
)

const (
	slowAnswer   = 500 * time.Millisecond // delay of each answer with a list while discovery is slow
	toldAtLatest = 6 * time.Second        // a change counts as told then, whatever call has failed
	drainGrace   = time.Second            // drain_grace_s of the settings
	limitSlack   = 50 * time.Millisecond  // each time limit is so much longer on sockets
	foreignAfter = 9 * time.Second        // from the change until the old address serves another destination
	slowFor      = 16 * time.Second       // discovery is slow for so long
	afterwards   = 2 * time.Second        // the case goes on for so long once discovery is quick again
	messageEvery = 100 * time.Millisecond
)

// playSlowDiscovery replaces the endpoint of a cell while discovery is slow. Later the old endpoint's address serves another
// cell.
func playSlowDiscovery(rec *record, root, dir string, trouble bool) (broken []string, err error) {
	old, err := newEndpoint(rec, "s-1", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	next, err := newEndpoint(rec, "s-2", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	row := func(id, addr string, cell int, lifecycle string) instance {
		return instance{ID: id, HostPort: addr, Zone: "recife-1", MachineType: "variados", Cell: cell, Lifecycle: lifecycle, Weight: 100}
	}
	agent, err := newAgent(rec, 41, []instance{row("s-1", old.addr(), 3, "up")})
	if err != nil {
		return nil, err
	}
	s, err := newSender(rec, root, dir, 1)
	if err != nil {
		return nil, err
	}
	defer s.endAll()
	s.discovery, s.known = agent.addr(), agent.known()
	p, err := s.startAndWait()
	if err != nil {
		return nil, err
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(messageEvery):
			}
			put(rec, s.listen, fmt.Sprintf("%016x", 0xa000+i), []string{"aviso", "cobranca"}[i%2], 5*time.Second, 3, "for cell 3")
		}
	}()
	time.Sleep(2 * time.Second)
	slowAt := time.Now()
	if trouble {
		agent.setDelay(slowAnswer)
	}
	time.Sleep(time.Second)
	addr := old.addr()
	agent.set(row("s-2", next.addr(), 3, "up"))
	agent.set(row("s-1", addr, 3, "draining"))
	changedAt := time.Now()
	time.Sleep(2 * time.Second)
	agent.set(row("s-1", addr, 3, "removed"))
	time.Sleep(time.Until(changedAt.Add(foreignAfter)))
	old.close()
	foreign, err := newEndpoint(rec, "s-3", addr)
	if err != nil {
		return nil, err
	}
	agent.set(row("s-3", addr, 5, "up"))
	time.Sleep(time.Until(slowAt.Add(slowFor)))
	agent.setDelay(0)
	time.Sleep(afterwards)
	close(stop)
	<-ended
	if p.hasEnded() {
		return nil, fmt.Errorf("the sender has ended: %s", p.state)
	}
	limit := changedAt.Add(toldAtLatest + drainGrace + limitSlack)
	late := 0
	for _, call := range old.snapshot() {
		if call.firstByteAt.After(limit) {
			late++
		}
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("%d calls to s-1 later than %v after it began to drain", late, toldAtLatest+drainGrace+limitSlack))
	}
	if calls := foreign.snapshot(); len(calls) > 0 {
		broken = append(broken, fmt.Sprintf("%d messages for cell 3 went to s-3 of cell 5, first %s with body %q", len(calls), calls[0].id, calls[0].body))
	}
	rec.add("calls: s-1 %d, s-2 %d, s-3 %d; answers with a list %d", len(old.snapshot()), len(next.snapshot()), len(foreign.snapshot()), agent.lists)
	return broken, nil
}
