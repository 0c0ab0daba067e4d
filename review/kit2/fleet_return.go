package main

import (
	"fmt"
	"math"
	"path/filepath"
	"sync"
	"time"
)

const (
	fleetSize       = 30
	fleetCapacity   = 20.0 // calls a second of the destination, from all senders together
	fleetClump      = 70   // messages: as many as it takes in 3.5 s
	fleetOutage     = 10 * time.Second
	fleetColdFrom   = 0.2
	fleetWarmAfter  = 14 * time.Second
	fleetFallSpan   = 2 * time.Second // fall_s of the settings
	fleetMultiple   = 2.0             // fall_multiple of the settings
	fleetAfter      = 8 * time.Second
	fleetBackground = 30 * time.Millisecond
	fleetShortTime  = 1200 * time.Millisecond // of the messages during the outage
	fleetCell       = 3
	inClump         = "in the clump" // body
)

// coldDestination is a destination that rejects all calls during an outage, comes back cold, and falls over for good where
// it gets more calls than it may be sent.
type coldDestination struct {
	rec        *record
	mu         sync.Mutex
	out        bool
	returnedAt time.Time // zero before its return
	told       map[string]bool
	calls      []fleetCall // since the return
	fallen     bool
	fall       string // describes the first fall
	fallTold   bool   // over two thirds of the calls came from senders that had been told
}

type fleetCall struct {
	at     time.Time
	sender string
}

// senderOf returns the sender that a message was handed in to: its id begins with the number.
func senderOf(id string) string { return id[:4] }

func (d *coldDestination) answer(call *endpointCall) (status, headers string, wait time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sender := senderOf(call.id)
	switch {
	case d.out:
		d.told[sender] = true
		return "503 Service Unavailable", "", 0
	case d.returnedAt.IsZero():
		return "200 OK", "", 50 * time.Millisecond
	}
	now := call.lastByteAt
	d.calls = append(d.calls, fleetCall{now, sender})
	for len(d.calls) > 0 && now.Sub(d.calls[0].at) >= fleetFallSpan {
		d.calls = d.calls[1:]
	}
	warm := min(1, now.Sub(d.returnedAt).Seconds()/fleetWarmAfter.Seconds())
	n := fleetMultiple * fleetCapacity * (fleetColdFrom + (1-fleetColdFrom)*warm) * fleetFallSpan.Seconds()
	bound := n + 2*math.Sqrt(n) + 2
	if n < 30 {
		bound = n + 3*math.Sqrt(n) + 3
	}
	if !d.fallen && float64(len(d.calls)) > bound {
		told := 0
		for _, c := range d.calls {
			if d.told[c.sender] {
				told++
			}
		}
		d.fallen, d.fallTold = true, 3*told > 2*len(d.calls)
		d.fall = fmt.Sprintf("%.2f s after its return the destination got %d calls within 2 s, where more than %.1f make it fall; %d of them from senders that had been refused in the outage",
			now.Sub(d.returnedAt).Seconds(), len(d.calls), bound, told)
		d.rec.add("cell %d: %s", fleetCell, d.fall)
	}
	if d.fallen {
		return "503 Service Unavailable", "", 0
	}
	return "200 OK", "", 50 * time.Millisecond
}

// playFleetReturn lets a destination of a fleet reject all calls for 10 s. Each sender gets one message for it meanwhile, and a
// clump comes at its return.
func playFleetReturn(rec *record, root, dir string, trouble bool) (broken []string, err error) {
	destination := &coldDestination{rec: rec, told: map[string]bool{}}
	var rows []instance
	var own []*endpoint // of the destination
	for i := range 8 {
		e, err := newEndpoint(rec, fmt.Sprintf("s-%d", i), "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		e.setAnswer(healthy(50 * time.Millisecond))
		e.quiet = i > 1
		cell := fleetCell
		if i < 2 {
			own = append(own, e)
			e.setAnswer(destination.answer)
		} else {
			cell = 10 + i/2
		}
		rows = append(rows, instance{ID: e.name, HostPort: e.addr(), Zone: "recife-1", MachineType: "variados", Cell: cell, Lifecycle: "up",
			Weight: fleetCapacity})
	}
	var senders []*sender
	var started sync.WaitGroup
	errs := make(chan error, fleetSize)
	for i := range fleetSize {
		agent, err := newAgent(rec, 41, rows)
		if err != nil {
			return nil, err
		}
		s, err := newSender(rec, root, filepath.Join(dir, fmt.Sprint(i)), fleetSize)
		if err != nil {
			return nil, err
		}
		defer s.endAll()
		s.settings["me"] = i
		s.seed = fmt.Sprintf("8c1f30d27a5be9%02x", i)
		s.discovery, s.known = agent.addr(), agent.known()
		senders = append(senders, s)
		started.Go(func() {
			_, err := s.startAndWait()
			errs <- err
		})
	}
	started.Wait()
	for range fleetSize {
		if err := <-errs; err != nil {
			return nil, err
		}
	}
	var mu sync.Mutex
	numbers, accepted, clump := 0, 0, map[string]bool{}
	var handedIn sync.WaitGroup
	handIn := func(sender int, d time.Duration, cell int, body string) {
		mu.Lock()
		numbers++
		id := fmt.Sprintf("%04x%012x", sender, numbers)
		mu.Unlock()
		handedIn.Go(func() {
			if put(rec, senders[sender].listen, id, "aviso", d, cell, body) == "+OK" {
				mu.Lock()
				accepted++
				if body == inClump {
					clump[id] = true
				}
				mu.Unlock()
			}
		})
	}
	// The other destinations' traffic goes on all the time.
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(fleetBackground):
				handIn(i%fleetSize, 20*time.Second, 11+i%3, "body")
			}
		}
	}()
	spread := func(over time.Duration, d time.Duration) { // one message for the destination to each sender
		for i := range fleetSize {
			handIn((7*i)%fleetSize, d, fleetCell, "body")
			time.Sleep(over / fleetSize)
		}
	}
	spread(6*time.Second, 20*time.Second)
	time.Sleep(time.Second)
	if trouble {
		destination.mu.Lock()
		destination.out = true
		destination.mu.Unlock()
		rec.add("cell %d rejects all calls", fleetCell)
	}
	outageEnds := time.Now().Add(fleetOutage)
	time.Sleep(500 * time.Millisecond)
	spread(fleetOutage-2*time.Second, fleetShortTime)
	time.Sleep(time.Until(outageEnds))
	destination.mu.Lock()
	if trouble {
		destination.out, destination.returnedAt = false, time.Now()
	}
	rec.add("cell %d answers again; %d of %d senders had been refused there", fleetCell, len(destination.told), fleetSize)
	destination.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	for i := range fleetClump {
		handIn(i%fleetSize, 20*time.Second, fleetCell, inClump)
	}
	time.Sleep(fleetAfter)
	close(stop)
	<-ended
	handedIn.Wait()
	destination.mu.Lock()
	defer destination.mu.Unlock()
	delivered := 0
	for _, e := range own {
		for _, call := range e.snapshot() {
			if clump[call.id] && !call.answeredAt.IsZero() {
				delivered++
			}
		}
	}
	rec.add("%d messages taken on; of the clump %d, of these %d delivered", accepted, len(clump), delivered)
	if destination.fallen && destination.fallTold {
		broken = append(broken, fmt.Sprintf("%s; it stays down, and %d of %d messages of the clump that were taken on are not delivered %v later", destination.fall,
			len(clump)-delivered, len(clump), fleetAfter))
	}
	return broken, nil
}
