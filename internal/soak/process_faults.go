package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"
)

// processFault is a fault of a sender's process.
type processFault struct {
	description string
	duration    time.Duration // about how long the process is busy with it
	run         func(h *Harness, s *managedSender, rng *rand.Rand) error
}

const (
	maxSuspension       = 20 * time.Millisecond   // one suspension of a series
	maxSuspensionGap    = 3 * time.Millisecond    // between two suspensions of a series
	startupTime         = 60 * time.Millisecond   // within which a process is still starting
	connectionCloseTime = 450 * time.Millisecond  // from SIGTERM until about when the process closes its clients' connections
	exitTime            = 2700 * time.Millisecond // from SIGTERM until shortly before the process exits
)

// Faults of a sender's process.
var (
	killed = processFault{"SIGKILL, then start", 2 * time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		s.kill()
		time.Sleep(restartDelay)
		return s.startWithSuspensions(rng)
	}}
	terminated = processFault{"SIGTERM, then start", stopTimeout + 2*time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		s.stopWithSuspensions(rng)
		time.Sleep(restartDelay)
		return s.startWithSuspensions(rng)
	}}
	terminatedTwice = processFault{"SIGTERM twice, then start", stopTimeout + 2*time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		timer := time.AfterFunc(time.Duration(rng.Int64N(int64(stopTimeout))), func() { s.signal(syscall.SIGTERM) })
		s.stopWithSuspensions(rng)
		timer.Stop()
		time.Sleep(restartDelay)
		return s.startAndWait()
	}}
	terminatedAtStart = processFault{"SIGKILL, start, SIGTERM during the start, then start", stopTimeout + 2*time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		s.kill()
		time.Sleep(restartDelay)
		if _, err := s.launch(); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.Int64N(int64(startupTime))))
		s.stop(stopTimeout)
		time.Sleep(restartDelay)
		return s.startAndWait()
	}}
	hangupAroundTerm = processFault{"SIGHUP, SIGTERM, SIGHUP, then start", stopTimeout + 2*time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		if err := s.moveDiscovery(rng); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.Int64N(int64(100 * time.Millisecond))))
		timer := time.AfterFunc(time.Duration(rng.Int64N(int64(2*time.Second))), func() { s.moveDiscovery(rng) })
		s.stopWithSuspensions(rng)
		timer.Stop()
		time.Sleep(restartDelay)
		return s.startAndWait()
	}}
	killedAfterAnswer = processFault{"SIGKILL right after an answer, then start", 2 * time.Second, func(h *Harness, s *managedSender, rng *rand.Rand) error {
		h.sendAndKill(s, rng)
		time.Sleep(restartDelay)
		return s.startAndWait()
	}}
	killedTwice = processFault{"SIGKILL, start, SIGKILL, then start", 3 * time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		s.kill()
		time.Sleep(restartDelay)
		if _, err := s.launch(); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * startupTime))))
		s.kill()
		time.Sleep(restartDelay)
		return s.startAndWait()
	}}
	suspended = processFault{"suspended for a short time", time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		s.suspend(time.Duration(rng.Int64N(int64(maxTotalSuspension))))
		return nil
	}}
	upgraded = processFault{"upgrade: a new process takes over", stopTimeout + time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		go s.suspendRepeatedly(rand.New(rand.NewPCG(rng.Uint64(), 0)), time.Duration(rng.Int64N(int64(startupTime))))
		return s.upgrade(stopTimeout)
	}}
	moved = processFault{"SIGHUP, discovery has a new address", 2 * time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		return s.moveDiscovery(rng)
	}}
	movedTwice = processFault{"SIGHUP twice within a second, each time with a new address of discovery", 2 * time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		if err := s.moveDiscovery(rng); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
		return s.moveDiscovery(rng)
	}}
)

// suspendRepeatedly waits for a delay, and then suspends the current process in a series of short suspensions, until
// these add up to maxTotalSuspension.
func (s *managedSender) suspendRepeatedly(rng *rand.Rand, delay time.Duration) {
	time.Sleep(delay)
	for total := time.Duration(0); total < maxTotalSuspension; {
		duration := time.Duration(rng.Int64N(int64(maxSuspension)))
		s.suspend(duration)
		total += duration
		time.Sleep(time.Duration(rng.Int64N(int64(maxSuspensionGap))))
	}
}

// stopWithSuspensions stops the process, and suspends it repeatedly while it closes its clients' connections or shortly
// before it exits.
func (s *managedSender) stopWithSuspensions(rng *rand.Rand) {
	delay := connectionCloseTime + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
	if rng.IntN(3) == 0 {
		delay = exitTime + time.Duration(rng.Int64N(int64(500*time.Millisecond)))
	}
	go s.suspendRepeatedly(rand.New(rand.NewPCG(rng.Uint64(), 0)), delay)
	s.stop(stopTimeout)
}

// startWithSuspensions starts a process and suspends it repeatedly during its start.
func (s *managedSender) startWithSuspensions(rng *rand.Rand) error {
	go s.suspendRepeatedly(rand.New(rand.NewPCG(rng.Uint64(), 0)), time.Duration(rng.Int64N(int64(startupTime))))
	return s.startAndWait()
}

// moveDiscovery moves discovery to another address and makes the process reload its configuration.
func (s *managedSender) moveDiscovery(rng *rand.Rand) error {
	if err := s.agent.moveAddress(1+rng.Int64N(1000), oldAddressLinger); err != nil {
		return err
	}
	return s.reload()
}

// sendAndKill sends a message and kills the process right after the answer.
func (h *Harness) sendAndKill(sender *managedSender, rng *rand.Rand) {
	number := slices.Index(h.senders, sender)
	c := &client{name: fmt.Sprintf("m%d.k%d", number, rng.Uint32()), sender: number, address: sender.listenAddress, rng: rng, requests: &h.requests, workload: h.workload(0)}
	if c.dial() {
		c.conn.(*net.TCPConn).SetNoDelay(true)
		c.send(1)
	}
	sender.kill()
	c.disconnect()
}
