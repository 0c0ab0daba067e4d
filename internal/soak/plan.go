package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"crossdeal/internal/scale/standin"
)

// timedAction begins or ends a fault at an offset from the start of the run.
type timedAction struct {
	offset      time.Duration
	description string
	run         func() error
}

// Plan holds the faults of a run, drawn from its seed. Faults are drawn independently and so overlap, but those of one
// sender's process run one after the other.
type Plan struct {
	actions    []timedAction
	stepsClock bool // a fault steps a wall clock
}

const (
	minFaultDuration   = 300 * time.Millisecond
	maxFaultDuration   = 4 * time.Second
	maxAnswerDelay     = 500 * time.Millisecond // of a slow agent: what it has counts as known, and the grace is 1 s
	maxTotalSuspension = 150 * time.Millisecond // of a sender, in one piece or as a series
)

func newPlan(h *Harness) *Plan {
	p := &Plan{}
	p.planEndpointFaults(h)
	p.planReplacements(h)
	for i, sender := range h.senders {
		rng := senderPlanRNG(h, i)
		p.planDiscoveryFaults(h, sender, rng)
		p.planProcessFaults(h, sender, rng)
		if h.cfg.SlowAgents {
			p.planSlowAgent(h, sender, rand.New(rand.NewPCG(h.cfg.Seed, uint64(500+i))))
		}
		if sender.systemCalls != nil {
			p.planSystemCallFaults(h, sender, rand.New(rand.NewPCG(h.cfg.Seed, uint64(300+i))))
		}
		p.planBadClients(h, sender, rng)
		p.planIdleBursts(h, sender, rng)
	}
	return p
}

func senderPlanRNG(h *Harness, senderIndex int) *rand.Rand {
	return rand.New(rand.NewPCG(h.cfg.Seed, uint64(100+senderIndex)))
}

// plansClockStep reports whether the plan of the run steps a sender's wall clock.
func (h *Harness) plansClockStep(sender *managedSender, senderIndex int) bool {
	p, rng := &Plan{}, senderPlanRNG(h, senderIndex)
	p.planDiscoveryFaults(h, sender, rng)
	p.planProcessFaults(h, sender, rng)
	return p.stepsClock
}

func (p *Plan) add(offset time.Duration, description string, run func() error) {
	p.actions = append(p.actions, timedAction{offset, description, run})
}

// randomInterval draws a start within the fault period and the length of a fault.
func randomInterval(h *Harness, rng *rand.Rand) (start, length time.Duration) {
	return time.Duration(rng.Int64N(int64(h.cfg.FaultPeriod))), minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
}

// planEndpointFaults makes random sets of endpoints misbehave for a while, and single endpoints reset their connections.
func (p *Plan) planEndpointFaults(h *Harness) {
	for range int(h.cfg.FaultPeriod/time.Second) + 2 {
		at, length := randomInterval(h, h.rng)
		behaviour := Behaviour(1 + h.rng.IntN(int(behaviourCount)-1))
		fraction, seed := h.rng.Float64()*0.5, h.rng.Uint64()
		choose := func() []*endpoint {
			rng := rand.New(rand.NewPCG(seed, 0))
			var chosen []*endpoint
			for _, e := range h.allEndpoints() {
				if rng.Float64() < fraction {
					chosen = append(chosen, e)
				}
			}
			return chosen
		}
		p.add(at, fmt.Sprintf("%.0f%% of the endpoints: %v", 100*fraction, behaviour), func() error {
			for _, e := range choose() {
				e.setBehaviour(behaviour)
			}
			return nil
		})
		p.add(at+length, "the affected endpoints are healthy again", func() error {
			for _, e := range choose() {
				e.setBehaviour(Healthy)
			}
			return nil
		})
	}
	for range int(h.cfg.FaultPeriod / (2 * time.Second)) {
		at, _ := randomInterval(h, h.rng)
		random := h.rng.IntN(destinationCount * endpointsPerDestination)
		p.add(at, "an endpoint resets its connections", func() error {
			all := h.allEndpoints()
			all[random%len(all)].resetConnections()
			return nil
		})
	}
}

// planReplacements replaces endpoints: a new one starts, and an old one drains and is removed.
func (p *Plan) planReplacements(h *Harness) {
	for at := time.Duration(0); at < h.cfg.FaultPeriod; at += 200*time.Millisecond + time.Duration(h.rng.Int64N(int64(2*time.Second))) {
		random := h.rng.IntN(1 << 20)
		removeAfter := h.drainGrace + time.Duration(h.rng.Int64N(int64(2*time.Second)))
		p.add(at, "an endpoint is replaced", func() error { return h.replaceEndpoint(random, removeAfter) })
	}
}

// replaceEndpoint starts a new endpoint and announces it. The endpoint that it replaces is announced as draining, and as
// removed after removeAfter.
func (h *Harness) replaceEndpoint(random int, removeAfter time.Duration) error {
	h.mu.Lock()
	i := random % len(h.upIndexes)
	old := h.endpoints[h.upIndexes[i]]
	h.upIndexes = append(h.upIndexes[:i], h.upIndexes[i+1:]...)
	h.mu.Unlock()
	row, err := h.addEndpoint(old.destination)
	if err != nil {
		return err
	}
	h.announce(row)
	h.announce(h.row(old, "draining"))
	time.AfterFunc(removeAfter, func() { h.announce(h.row(old, "removed")) })
	return nil
}

// planDiscoveryFaults makes calls for the list fail at one sender's agent, and may make its open watches unresponsive.
func (p *Plan) planDiscoveryFaults(h *Harness, sender *managedSender, rng *rand.Rand) {
	kinds := []standin.FaultKind{standin.Unresponsive, standin.InvalidList, standin.TruncatedList, standin.Overload, standin.OlderList, standin.Reset,
		standin.EndlessList}
	for at := time.Duration(rng.Int64N(int64(5 * time.Second))); at < h.cfg.FaultPeriod; {
		length := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		kind := kinds[rng.IntN(len(kinds))]
		p.add(at, fmt.Sprintf("%s: discovery %v", sender.name, kind), func() error { sender.agent.beginFault(kind); return nil })
		p.add(at+length, fmt.Sprintf("%s: discovery is healthy again", sender.name), func() error { sender.agent.endFaults(); return nil })
		at += length + time.Duration(rng.Int64N(int64(6*time.Second)))
	}
	if rng.IntN(2) == 0 {
		at, _ := randomInterval(h, rng)
		p.add(at, sender.name+": open watches become unresponsive", func() error { sender.agent.stallWatches(); return nil })
	}
}

// planSlowAgent makes one sender's agent answer late, again and again and beside its other faults.
func (p *Plan) planSlowAgent(h *Harness, sender *managedSender, rng *rand.Rand) {
	for at := time.Duration(rng.Int64N(int64(3 * time.Second))); at < h.cfg.FaultPeriod; {
		length := minFaultDuration + time.Duration(rng.Int64N(int64(2*maxFaultDuration)))
		delay := time.Duration(rng.Int64N(int64(maxAnswerDelay)))
		p.add(at, fmt.Sprintf("%s: the agent answers %v late", sender.name, delay), func() error { sender.agent.setAnswerDelay(delay); return nil })
		p.add(at+length, fmt.Sprintf("%s: the agent answers at once again", sender.name), func() error { sender.agent.setAnswerDelay(0); return nil })
		at += length + time.Duration(rng.Int64N(int64(3*time.Second)))
	}
}

// planProcessFaults restarts a sender by SIGTERM and SIGKILL, with repeated signals and with suspensions while it starts
// and stops. It also suspends the running process, upgrades it, and moves discovery to another address.
func (p *Plan) planProcessFaults(h *Harness, sender *managedSender, rng *rand.Rand) {
	kinds := []processFault{killed, terminated, terminated, terminatedTwice, terminatedAtStart, hangupAroundTerm, killedAfterAnswer,
		killedTwice, suspended, upgraded, upgraded, moved, movedTwice}
	if sender.systemCalls != nil {
		kinds = append(kinds, killedInFolderFault, killedInFolderFault, terminatedInFolderFault, clockSteppedInRestart, clockSteppedInUpgrade, folderFault)
	}
	for at := 1500*time.Millisecond + time.Duration(rng.Int64N(int64(6*time.Second))); at < h.cfg.FaultPeriod; {
		fault := kinds[rng.IntN(len(kinds))]
		p.stepsClock = p.stepsClock || fault.stepsClock()
		seed := rng.Uint64()
		p.add(at, fmt.Sprintf("%s: %s", sender.name, fault.description), func() error {
			sender.faultMu.Lock()
			defer sender.faultMu.Unlock()
			return fault.run(h, sender, rand.New(rand.NewPCG(seed, 0)))
		})
		at += fault.duration + time.Duration(rng.Int64N(int64(4*time.Second)))
	}
}

// planBadClients connects clients that send malformed requests or none.
func (p *Plan) planBadClients(h *Harness, sender *managedSender, rng *rand.Rand) {
	for range 2 * int(h.cfg.FaultPeriod/time.Second) {
		at, _ := randomInterval(h, rng)
		seed := rng.Uint64()
		p.add(at, "", func() error { runBadClient(sender.listenAddress, rand.New(rand.NewPCG(seed, 0))); return nil })
	}
}

// planIdleBursts opens many idle connections at once, to some senders more than their connection tables hold.
func (p *Plan) planIdleBursts(h *Harness, sender *managedSender, rng *rand.Rand) {
	for range 1 + rng.IntN(2) {
		at, length := randomInterval(h, rng)
		size := minIdleBurst + rng.IntN(maxIdleBurst-minIdleBurst)
		p.add(at, fmt.Sprintf("%s: a burst of %d idle connections", sender.name, size), func() error { holdIdleConnections(sender.listenAddress, size, length); return nil })
	}
}

// execute runs each action at its offset and returns the errors, one line each.
func (h *Harness) execute(ctx context.Context, p *Plan) (failures []string) {
	begun := time.Now()
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, action := range p.actions {
		running.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(action.offset - time.Since(begun)):
			}
			if action.description != "" {
				h.cfg.Log("%6.3f %s", time.Since(begun).Seconds(), action.description)
			}
			if err := action.run(); err != nil {
				mu.Lock()
				failures = append(failures, fmt.Sprintf("%.3f %s: %v", time.Since(begun).Seconds(), action.description, err))
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return failures
}
