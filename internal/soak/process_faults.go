package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"
)

// processFault is what is done to a sender's process.
type processFault struct {
	description string
	duration    time.Duration // for which the process is busy with it, about
	run         func(w *Harness, s *managedSender, rng *rand.Rand) error
}

const (
	maxSuspension       = 20 * time.Millisecond // one hold-up of a series
	maxSuspensionGap    = 3 * time.Millisecond  // between two of them, at most
	startupTime         = 60 * time.Millisecond // within which a start is under way
	connectionCloseTime = 450 * time.Millisecond
	exitTime            = 2700 * time.Millisecond
)

// The faults of a process.
var (
	killed = processFault{"SIGKILL and start", 2 * time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		s.kill()
		time.Sleep(restartDelay)
		return s.startWithSuspensions(rng)
	}}
	terminated = processFault{"SIGTERM and start", stopTimeout + 2*time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		s.stopWithSuspensions(rng)
		time.Sleep(restartDelay)
		return s.startWithSuspensions(rng)
	}}
	terminatedTwice = processFault{"SIGTERM twice and start", stopTimeout + 2*time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		again := time.AfterFunc(time.Duration(rng.Int64N(int64(stopTimeout))), func() { s.signal(syscall.SIGTERM) })
		s.stopWithSuspensions(rng)
		again.Stop()
		time.Sleep(restartDelay)
		return s.startAndWait()
	}}
	terminatedAtStart = processFault{"SIGKILL, SIGTERM in the middle of the start, start", stopTimeout + 2*time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
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
	hangupAroundTerm = processFault{"SIGHUP, SIGTERM, SIGHUP and start", stopTimeout + 2*time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		if err := s.moveDiscovery(rng); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.Int64N(int64(100 * time.Millisecond))))
		again := time.AfterFunc(time.Duration(rng.Int64N(int64(2*time.Second))), func() { s.moveDiscovery(rng) })
		s.stopWithSuspensions(rng)
		again.Stop()
		time.Sleep(restartDelay)
		return s.startAndWait()
	}}
	killedAfterAnswer = processFault{"SIGKILL right behind an answer, and start", 2 * time.Second, func(w *Harness, s *managedSender, rng *rand.Rand) error {
		w.sendAndKill(s, rng)
		time.Sleep(restartDelay)
		return s.startAndWait()
	}}
	killedTwice = processFault{"SIGKILL, start, SIGKILL and start", 3 * time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
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
	suspended = processFault{"held up", time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		s.suspend(time.Duration(rng.Int64N(int64(maxTotalSuspension))))
		return nil
	}}
	upgraded = processFault{"a new version takes over", stopTimeout + time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		go s.suspendRepeatedly(rand.New(rand.NewPCG(rng.Uint64(), 0)), time.Duration(rng.Int64N(int64(startupTime))))
		return s.upgrade(stopTimeout)
	}}
	moved = processFault{"SIGHUP, discovery moves", 2 * time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		return s.moveDiscovery(rng)
	}}
	movedTwice = processFault{"SIGHUP twice within a second, discovery moves", 2 * time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		if err := s.moveDiscovery(rng); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
		return s.moveDiscovery(rng)
	}}
)

// suspendRepeatedly stops the process of the moment in a series of short hold-ups after a while, for freezeMost in all.
func (s *managedSender) suspendRepeatedly(rng *rand.Rand, after time.Duration) {
	time.Sleep(after)
	for total := time.Duration(0); total < maxTotalSuspension; {
		duration := time.Duration(rng.Int64N(int64(maxSuspension)))
		s.suspend(duration)
		total += duration
		time.Sleep(time.Duration(rng.Int64N(int64(maxSuspensionGap))))
	}
}

// stopWithSuspensions ends the process with SIGTERM, held up while it closes its clients' connections or in its last moments.
func (s *managedSender) stopWithSuspensions(rng *rand.Rand) {
	after := connectionCloseTime + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
	if rng.IntN(3) == 0 {
		after = exitTime + time.Duration(rng.Int64N(int64(500*time.Millisecond)))
	}
	go s.suspendRepeatedly(rand.New(rand.NewPCG(rng.Uint64(), 0)), after)
	s.stop(stopTimeout)
}

// startWithSuspensions starts a process and holds it up meanwhile.
func (s *managedSender) startWithSuspensions(rng *rand.Rand) error {
	go s.suspendRepeatedly(rand.New(rand.NewPCG(rng.Uint64(), 0)), time.Duration(rng.Int64N(int64(startupTime))))
	return s.startAndWait()
}

// moveDiscovery has discovery move to another address and tells the process.
func (s *managedSender) moveDiscovery(rng *rand.Rand) error {
	if err := s.agent.moveAddress(1+rng.Int64N(1000), oldAddressLinger); err != nil {
		return err
	}
	return s.reload()
}

// sendAndKill hands a message in and kills the process right behind its answer.
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
