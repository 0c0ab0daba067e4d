package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"crossdeal/internal/scale/standin"
)

// step is one fault, or the end of one, at a time after the begin.
type step struct {
	at   time.Duration
	what string
	do   func() error
}

// Plan is the faults of a run, drawn from its seed. They overlap: each is drawn without regard to the others, but what is
// done to one sender's process is done one after the other.
type Plan struct {
	steps []step
}

const (
	faultLeast = 300 * time.Millisecond
	faultMost  = 4 * time.Second
	freezeMost = 150 * time.Millisecond // for which a sender may be held up
)

func newPlan(w *World) *Plan {
	p := &Plan{}
	p.planEndpoints(w)
	p.planMembership(w)
	for i, s := range w.senders {
		rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(100+i)))
		p.planDiscovery(w, s, rng)
		p.planProcess(w, s, rng)
		p.planClients(w, s, rng)
		p.planCrowds(w, s, rng)
	}
	return p
}

func (p *Plan) add(at time.Duration, what string, do func() error) {
	p.steps = append(p.steps, step{at, what, do})
}

// span draws a time within the run and how long something lasts from then on.
func span(w *World, rng *rand.Rand) (at, length time.Duration) {
	return time.Duration(rng.Int64N(int64(w.cfg.Span))), faultLeast + time.Duration(rng.Int64N(int64(faultMost-faultLeast)))
}

// planEndpoints has endpoints misbehave, some of them several at once.
func (p *Plan) planEndpoints(w *World) {
	for range int(w.cfg.Span/time.Second) + 2 {
		at, length := span(w, w.rng)
		b := Behaviour(1 + w.rng.IntN(int(behaviours)-1))
		part, seed := w.rng.Float64()*0.5, w.rng.Uint64()
		choose := func() []*endpoint {
			rng := rand.New(rand.NewPCG(seed, 0))
			var some []*endpoint
			for _, e := range w.allEndpoints() {
				if rng.Float64() < part {
					some = append(some, e)
				}
			}
			return some
		}
		p.add(at, fmt.Sprintf("%.0f%% of the endpoints: %v", 100*part, b), func() error {
			for _, e := range choose() {
				e.set(b)
			}
			return nil
		})
		p.add(at+length, "they are healthy again", func() error {
			for _, e := range choose() {
				e.set(Healthy)
			}
			return nil
		})
	}
	for range int(w.cfg.Span / (2 * time.Second)) {
		at, _ := span(w, w.rng)
		place := w.rng.IntN(dests * endpointsEach)
		p.add(at, "an endpoint breaks its connections", func() error {
			all := w.allEndpoints()
			all[place%len(all)].resetAll()
			return nil
		})
	}
}

// planMembership replaces endpoints: a new one comes up, an old one drains and is removed.
func (p *Plan) planMembership(w *World) {
	for at := time.Duration(0); at < w.cfg.Span; at += 200*time.Millisecond + time.Duration(w.rng.Int64N(int64(2*time.Second))) {
		pick := w.rng.IntN(1 << 20)
		remove := w.grace + time.Duration(w.rng.Int64N(int64(2*time.Second)))
		p.add(at, "an endpoint is replaced", func() error { return w.replace(pick, remove) })
	}
}

// replace starts an endpoint in place of one that is up, which drains and is removed after a while.
func (w *World) replace(pick int, remove time.Duration) error {
	w.mu.Lock()
	place := pick % len(w.listed)
	old := w.endpoints[w.listed[place]]
	w.listed = append(w.listed[:place], w.listed[place+1:]...)
	w.mu.Unlock()
	row, err := w.addEndpoint(old.dest)
	if err != nil {
		return err
	}
	w.tell(row)
	w.tell(w.row(old, "draining"))
	time.AfterFunc(remove, func() { w.tell(w.row(old, "removed")) })
	return nil
}

// planDiscovery has calls for the list go wrong at one sender's agent, and its watches fall silent.
func (p *Plan) planDiscovery(w *World, s *process, rng *rand.Rand) {
	kinds := []standin.Trouble{standin.Silent, standin.Nonsense, standin.Cut, standin.Overload, standin.Older, standin.Reset,
		standin.Endless}
	for at := time.Duration(rng.Int64N(int64(5 * time.Second))); at < w.cfg.Span; {
		length := faultLeast + time.Duration(rng.Int64N(int64(faultMost-faultLeast)))
		kind := kinds[rng.IntN(len(kinds))]
		p.add(at, fmt.Sprintf("%s: discovery %v", s.name, kind), func() error { s.agent.spoil(kind); return nil })
		p.add(at+length, fmt.Sprintf("%s: discovery is well", s.name), func() error { s.agent.heal(); return nil })
		at += length + time.Duration(rng.Int64N(int64(6*time.Second)))
	}
	if rng.IntN(2) == 0 {
		at, _ := span(w, rng)
		p.add(at, s.name+": open watches fall silent", func() error { s.agent.loseWatches(); return nil })
	}
}

// planProcess restarts a sender, planned or not, with signals in series and hold-ups in its starts and ends, holds it up
// at rest, and moves its discovery.
func (p *Plan) planProcess(w *World, s *process, rng *rand.Rand) {
	kinds := []processFault{killed, terminated, terminated, terminatedTwice, terminatedAtStart, hangupAroundTerm, killedBehindAnswer,
		killedTwice, heldUp, upgraded, upgraded, moved, movedTwice}
	for at := 1500*time.Millisecond + time.Duration(rng.Int64N(int64(6*time.Second))); at < w.cfg.Span; {
		fault := kinds[rng.IntN(len(kinds))]
		seed := rng.Uint64()
		p.add(at, fmt.Sprintf("%s: %s", s.name, fault.what), func() error {
			s.steps.Lock()
			defer s.steps.Unlock()
			return fault.do(w, s, rand.New(rand.NewPCG(seed, 0)))
		})
		at += fault.takes + time.Duration(rng.Int64N(int64(4*time.Second)))
	}
}

// planClients has bad clients come.
func (p *Plan) planClients(w *World, s *process, rng *rand.Rand) {
	for range 2 * int(w.cfg.Span/time.Second) {
		at, _ := span(w, rng)
		seed := rng.Uint64()
		p.add(at, "", func() error { badClient(s.listen, rand.New(rand.NewPCG(seed, 0))); return nil })
	}
}

// planCrowds has idle connections come at once, on some senders more than their tables hold.
func (p *Plan) planCrowds(w *World, s *process, rng *rand.Rand) {
	for range 1 + rng.IntN(2) {
		at, length := span(w, rng)
		size := crowdLeast + rng.IntN(crowdMost-crowdLeast)
		p.add(at, fmt.Sprintf("%s: a crowd of %d idle clients", s.name, size), func() error { crowd(s.listen, size, length); return nil })
	}
}

// play does each step at its time and returns the errors.
func (w *World) play(ctx context.Context, p *Plan) (failures []string) {
	begun := time.Now()
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, s := range p.steps {
		running.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(s.at - time.Since(begun)):
			}
			if s.what != "" {
				w.cfg.Log("%6.3f %s", time.Since(begun).Seconds(), s.what)
			}
			if err := s.do(); err != nil {
				mu.Lock()
				failures = append(failures, fmt.Sprintf("%.3f %s: %v", time.Since(begun).Seconds(), s.what, err))
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return failures
}
