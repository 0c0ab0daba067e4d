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
	what  string
	takes time.Duration // for which the process is busy with it, about
	do    func(w *World, s *process, rng *rand.Rand) error
}

const (
	holdUpMost  = 20 * time.Millisecond // one hold-up of a series
	holdUpPause = 3 * time.Millisecond  // between two of them, at most
	midStart    = 60 * time.Millisecond // within which a start is under way
	closesAt    = 450 * time.Millisecond
	endsAt      = 2700 * time.Millisecond
)

// The faults of a process.
var (
	killed = processFault{"SIGKILL and start", 2 * time.Second, func(_ *World, s *process, rng *rand.Rand) error {
		s.kill()
		time.Sleep(restartPause)
		return s.startHeldUp(rng)
	}}
	terminated = processFault{"SIGTERM and start", terminateAfter + 2*time.Second, func(_ *World, s *process, rng *rand.Rand) error {
		s.stopHeldUp(rng)
		time.Sleep(restartPause)
		return s.startHeldUp(rng)
	}}
	terminatedTwice = processFault{"SIGTERM twice and start", terminateAfter + 2*time.Second, func(_ *World, s *process, rng *rand.Rand) error {
		again := time.AfterFunc(time.Duration(rng.Int64N(int64(terminateAfter))), func() { s.signal(syscall.SIGTERM) })
		s.stopHeldUp(rng)
		again.Stop()
		time.Sleep(restartPause)
		return s.start()
	}}
	terminatedAtStart = processFault{"SIGKILL, SIGTERM in the middle of the start, start", terminateAfter + 2*time.Second, func(_ *World, s *process, rng *rand.Rand) error {
		s.kill()
		time.Sleep(restartPause)
		if _, err := s.begin(); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.Int64N(int64(midStart))))
		s.stop(terminateAfter)
		time.Sleep(restartPause)
		return s.start()
	}}
	hangupAroundTerm = processFault{"SIGHUP, SIGTERM, SIGHUP and start", terminateAfter + 2*time.Second, func(_ *World, s *process, rng *rand.Rand) error {
		if err := s.move(rng); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.Int64N(int64(100 * time.Millisecond))))
		again := time.AfterFunc(time.Duration(rng.Int64N(int64(2*time.Second))), func() { s.move(rng) })
		s.stopHeldUp(rng)
		again.Stop()
		time.Sleep(restartPause)
		return s.start()
	}}
	killedBehindAnswer = processFault{"SIGKILL right behind an answer, and start", 2 * time.Second, func(w *World, s *process, rng *rand.Rand) error {
		w.putAndKill(s, rng)
		time.Sleep(restartPause)
		return s.start()
	}}
	killedTwice = processFault{"SIGKILL, start, SIGKILL and start", 3 * time.Second, func(_ *World, s *process, rng *rand.Rand) error {
		s.kill()
		time.Sleep(restartPause)
		if _, err := s.begin(); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.Int64N(int64(2 * midStart))))
		s.kill()
		time.Sleep(restartPause)
		return s.start()
	}}
	heldUp = processFault{"held up", time.Second, func(_ *World, s *process, rng *rand.Rand) error {
		s.freeze(time.Duration(rng.Int64N(int64(freezeMost))))
		return nil
	}}
	upgraded = processFault{"a new version takes over", terminateAfter + time.Second, func(_ *World, s *process, rng *rand.Rand) error {
		go s.holdUp(rand.New(rand.NewPCG(rng.Uint64(), 0)), time.Duration(rng.Int64N(int64(midStart))))
		return s.upgrade(terminateAfter)
	}}
	moved = processFault{"SIGHUP, discovery moves", 2 * time.Second, func(_ *World, s *process, rng *rand.Rand) error {
		return s.move(rng)
	}}
	movedTwice = processFault{"SIGHUP twice within a second, discovery moves", 2 * time.Second, func(_ *World, s *process, rng *rand.Rand) error {
		if err := s.move(rng); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
		return s.move(rng)
	}}
)

// holdUp stops the process of the moment in a series of short hold-ups after a while, for freezeMost in all.
func (p *process) holdUp(rng *rand.Rand, after time.Duration) {
	time.Sleep(after)
	for held := time.Duration(0); held < freezeMost; {
		span := time.Duration(rng.Int64N(int64(holdUpMost)))
		p.freeze(span)
		held += span
		time.Sleep(time.Duration(rng.Int64N(int64(holdUpPause))))
	}
}

// stopHeldUp ends the process with SIGTERM, held up while it closes its clients' connections or in its last moments.
func (p *process) stopHeldUp(rng *rand.Rand) {
	after := closesAt + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
	if rng.IntN(3) == 0 {
		after = endsAt + time.Duration(rng.Int64N(int64(500*time.Millisecond)))
	}
	go p.holdUp(rand.New(rand.NewPCG(rng.Uint64(), 0)), after)
	p.stop(terminateAfter)
}

// startHeldUp starts a process and holds it up meanwhile.
func (p *process) startHeldUp(rng *rand.Rand) error {
	go p.holdUp(rand.New(rand.NewPCG(rng.Uint64(), 0)), time.Duration(rng.Int64N(int64(midStart))))
	return p.start()
}

// move has discovery move to another address and tells the process.
func (p *process) move(rng *rand.Rand) error {
	if err := p.agent.move(1+rng.Int64N(1000), moveLinger); err != nil {
		return err
	}
	return p.reload()
}

// putAndKill hands a message in and kills the process right behind its answer.
func (w *World) putAndKill(s *process, rng *rand.Rand) {
	sender := slices.Index(w.senders, s)
	c := &client{name: fmt.Sprintf("m%d.k%d", sender, rng.Uint32()), sender: sender, addr: s.listen, rng: rng, out: &w.requests, load: w.load(0)}
	if c.dial() {
		c.conn.(*net.TCPConn).SetNoDelay(true)
		c.put(1)
	}
	s.kill()
	c.hangUp()
}
