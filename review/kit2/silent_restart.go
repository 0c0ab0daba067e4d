//go:build review2

package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	silentFor        = 8 * time.Second        // discovery is down for so long
	restartReuse     = 6 * time.Second        // from the start until the old address serves another cell
	silentAfterKill  = 400 * time.Millisecond // discovery goes down so long after the kill
	replaceAfterKill = 100 * time.Millisecond // the endpoint begins to drain so long after the kill
	removeAfterKill  = 350 * time.Millisecond // and is removed
)

// playSilentRestart kills a sender. The endpoint of a cell is replaced while no process of it runs, then its agent falls silent
// for 8 s, and it starts.
func playSilentRestart(rec *record, root, dir string, trouble bool) (broken []string, err error) {
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
	number := 0
	handInUntil := func(end time.Time) {
		for ; time.Now().Before(end); time.Sleep(messageEvery) {
			number++
			put(rec, s.listen, fmt.Sprintf("%016x", 0xa000+number), []string{"aviso", "cobranca"}[number%2], 4*time.Second, 3, "for cell 3")
		}
	}
	handInUntil(time.Now().Add(2 * time.Second))
	addr := old.addr()
	if trouble {
		s.signal(p, syscall.SIGKILL)
		<-p.ended
	}
	killedAt := time.Now()
	time.Sleep(replaceAfterKill)
	agent.set(row("s-2", next.addr(), 3, "up"))
	agent.set(row("s-1", addr, 3, "draining"))
	changedAt := time.Now()
	time.Sleep(time.Until(killedAt.Add(removeAfterKill)))
	agent.set(row("s-1", addr, 3, "removed"))
	time.Sleep(time.Until(killedAt.Add(silentAfterKill)))
	if trouble {
		agent.setSilent(true)
	}
	silentEnd := time.Now().Add(silentFor)
	time.Sleep(time.Until(killedAt.Add(restartGap)))
	startedAt := time.Now()
	if trouble {
		if p, err = s.startAndWait(); err != nil {
			return nil, err
		}
	}
	handInUntil(startedAt.Add(restartReuse))
	old.close()
	foreign, err := newEndpoint(rec, "s-3", addr)
	if err != nil {
		return nil, err
	}
	handInUntil(silentEnd)
	agent.setSilent(false)
	agent.set(row("s-3", addr, 5, "up"))
	handInUntil(silentEnd.Add(afterwards))
	if p.hasEnded() {
		return nil, fmt.Errorf("the sender has ended: %s", p.state)
	}
	limit := startedAt // told from the first moment of the new process
	if !trouble {
		limit = changedAt
	}
	limit = limit.Add(drainGrace + limitSlack)
	late := 0
	for _, call := range old.snapshot() {
		if call.firstByteAt.After(limit) {
			late++
		}
	}
	if late > 0 {
		broken = append(broken, fmt.Sprintf("%d calls to s-1 later than %v after the start of a process whose agent knew that it was gone", late, drainGrace+limitSlack))
	}
	if calls := foreign.snapshot(); len(calls) > 0 {
		broken = append(broken, fmt.Sprintf("%d messages for cell 3 went to s-3 of cell 5, first %s with body %q", len(calls), calls[0].id, calls[0].body))
	}
	rec.add("calls: s-1 %d, s-2 %d, s-3 %d", len(old.snapshot()), len(next.snapshot()), len(foreign.snapshot()))
	return broken, nil
}
