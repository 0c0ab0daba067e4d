package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	restartGap     = 600 * time.Millisecond // from SIGKILL to the next start
	overbooked     = 500 * time.Millisecond // delay of discovery's answers around the restart
	clumpSize      = 12
	rejectedSpan   = 4 * time.Second // no sender may reject all that it gets for so long, with no attempt in between
	minRejected    = 15              // if it gets so many
	afterRestart   = 15 * time.Second
	restartedEvery = 100 * time.Millisecond
)

// playRestartSlots kills a sender that holds a clump of messages for a cell that told it to wait, while discovery is
// overbooked, and starts it again. Then messages for that cell go on coming, and its endpoint is healthy.
func playRestartSlots(rec *record, root, dir string, trouble bool) (broken []string, err error) {
	server, err := newEndpoint(rec, "s-1", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	agent, err := newAgent(rec, 41, []instance{{ID: "s-1", HostPort: server.addr(), Zone: "recife-1", MachineType: "variados", Cell: 3,
		Lifecycle: "up", Weight: 100}})
	if err != nil {
		return nil, err
	}
	s, err := newSender(rec, root, dir, 8)
	if err != nil {
		return nil, err
	}
	defer s.endAll()
	s.settings["membership_mode"] = "on_request"
	s.discovery, s.known = agent.addr(), agent.known()
	p, err := s.startAndWait()
	if err != nil {
		return nil, err
	}
	for i := range 20 {
		put(rec, s.listen, fmt.Sprintf("%016x", 0xb000+i), "aviso", 5*time.Second, 3, "before")
		time.Sleep(100 * time.Millisecond)
	}
	server.setAnswer(func(*endpointCall) (string, string, time.Duration) {
		return "429 Too Many Requests", "X-Come-Back-Ms: 2000\r\n", 0
	})
	put(rec, s.listen, "000000000000c000", "aviso", 5*time.Second, 3, "is told to wait")
	time.Sleep(50 * time.Millisecond)
	for i := range clumpSize {
		put(rec, s.listen, fmt.Sprintf("%016x", 0xc001+i), "aviso", time.Duration(850+30*i)*time.Millisecond, 3, "in the clump")
	}
	if trouble {
		agent.setDelay(overbooked)
		s.signal(p, syscall.SIGKILL)
		<-p.ended
	}
	time.Sleep(restartGap)
	server.setAnswer(healthy(20 * time.Millisecond))
	if trouble {
		if p, err = s.startAndWait(); err != nil {
			return nil, err
		}
	}
	begun := time.Now()
	time.AfterFunc(2*time.Second, func() { agent.setDelay(0) })
	type handedIn struct {
		id string
		at time.Time
	}
	var accepted []handedIn
	for i := 0; time.Since(begun) < afterRestart; i++ {
		at, id := time.Now(), fmt.Sprintf("%016x", 0xd000+i)
		if answer := put(rec, s.listen, id, []string{"aviso", "cobranca"}[i%2], 3*time.Second, 3, "after"); answer != "" {
			accepted = append(accepted, handedIn{id, at})
		}
		time.Sleep(restartedEvery)
	}
	time.Sleep(4 * time.Second)
	if p.hasEnded() {
		return nil, fmt.Errorf("the sender has ended: %s", p.state)
	}
	// The messages between two calls, or between the last call and the end, that all ended without an attempt.
	called := map[string]bool{}
	for _, call := range server.snapshot() {
		called[call.id] = true
	}
	run, longest, longestCount := 0, time.Duration(0), 0
	var runBegan time.Time
	for _, m := range accepted {
		if called[m.id] {
			run = 0
			continue
		}
		if run++; run == 1 {
			runBegan = m.at
		}
		if span := m.at.Sub(runBegan); span > longest {
			longest, longestCount = span, run
		}
	}
	rec.add("handed in after the restart: %d, longest span without an attempt: %d messages, %v", len(accepted), longestCount, longest)
	if longest >= rejectedSpan && longestCount >= minRejected {
		broken = append(broken, fmt.Sprintf("%d messages handed in over %v got no attempt, %d calls reached the endpoint after the restart", longestCount,
			longest.Round(time.Millisecond), countCallsAfter(server, begun)))
	}
	return broken, nil
}

func countCallsAfter(e *endpoint, at time.Time) (count int) {
	for _, call := range e.snapshot() {
		if call.firstByteAt.After(at) {
			count++
		}
	}
	return count
}
