package soak

import (
	"math/rand/v2"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"crossdeal/internal/syscallfault"
	"golang.org/x/sys/unix"
)

const (
	socketFaultShare = 0.3                    // of the calls that fail during a fault of sockets
	lateWriteShare   = 0.05                   // of the writes that come late during a fault of late writes ...
	maxHoldUp        = 150 * time.Millisecond // ... by this at most ...
	minHoldUpGap     = 500 * time.Millisecond // ... and not sooner than this after the last one, as the terms have it
	maxFolderFault   = 2700 * time.Millisecond
	minFolderFault   = 200 * time.Millisecond
)

// Errors of system calls that pass again.
var (
	acceptErrors  = []syscall.Errno{unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EINTR}
	socketErrors  = []syscall.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM}
	connectErrors = []syscall.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENOBUFS}
	folderErrors  = []syscall.Errno{unix.ENOSPC, unix.EIO, unix.EDQUOT}
	clockSteps    = []time.Duration{-time.Hour, -8 * time.Second, -2 * time.Second, 2 * time.Second, 8 * time.Second, time.Hour}
)

// systemCalls decides on the system calls of a sender's processes. It is safe for concurrent use. The methods of a nil
// pointer do nothing: the processes run without a filter.
type systemCalls struct {
	folder     *syscallfault.Folder
	stepsClock bool // the wall clock is stepped in this run; otherwise reads of the clock are not reported

	mu           sync.Mutex
	rng          *rand.Rand
	socketFaults bool
	lateWrites   bool
	heldUpAt     time.Time     // when a write was last held up
	clockOffset  time.Duration // of the wall clock
}

func newSystemCalls(stateDir string, seed uint64, senderIndex int) *systemCalls {
	return &systemCalls{folder: syscallfault.NewFolder(stateDir), rng: rand.New(rand.NewPCG(seed, uint64(700+senderIndex)))}
}

// start starts a command under the filter. What it needs for that is built in dir. The channel gets why its supervisor
// has ended, nil at the end of the process; it is nil without a filter.
func (s *systemCalls) start(cmd *exec.Cmd, dir string) (supervisorEnded <-chan error, err error) {
	if s == nil {
		return nil, cmd.Start()
	}
	calls := append(syscallfault.FolderCalls(), unix.SYS_ACCEPT4, unix.SYS_SOCKET, unix.SYS_CONNECT)
	if s.stepsClock {
		if err := syscallfault.UseSystemCallClock(cmd, dir); err != nil {
			return nil, err
		}
		calls = append(calls, unix.SYS_CLOCK_GETTIME)
	}
	supervisor, err := syscallfault.Start(cmd, calls, s.decide)
	if err != nil {
		return nil, err
	}
	return supervisor.Ended(), nil
}

// decide is the handler of the processes' calls.
func (s *systemCalls) decide(call syscallfault.Call) syscallfault.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch call.Number {
	case unix.SYS_CLOCK_GETTIME:
		return call.AnswerClock(s.clockOffset)
	case unix.SYS_ACCEPT4:
		return s.socketDecision(acceptErrors)
	case unix.SYS_SOCKET:
		return s.socketDecision(socketErrors)
	case unix.SYS_CONNECT:
		return s.socketDecision(connectErrors)
	}
	decision := s.folder.Decide(call)
	if s.lateWrites && isWrite(call) && time.Since(s.heldUpAt) > minHoldUpGap && s.rng.Float64() < lateWriteShare {
		decision.Delay = time.Duration(s.rng.Int64N(int64(maxHoldUp)))
		s.heldUpAt = time.Now()
	}
	return decision
}

// isWrite reports whether a call writes to a file or a socket, other than the log.
func isWrite(call syscallfault.Call) bool {
	return call.Number == unix.SYS_PWRITE64 || call.Number == unix.SYS_WRITE && call.Args[0] > uint64(syscall.Stderr)
}

// socketDecision fails some calls during a fault of sockets. The caller holds s.mu.
func (s *systemCalls) socketDecision(errors []syscall.Errno) syscallfault.Decision {
	if !s.socketFaults || s.rng.Float64() >= socketFaultShare {
		return syscallfault.Decision{}
	}
	return syscallfault.Decision{Errno: errors[s.rng.IntN(len(errors))]}
}

func (s *systemCalls) setSocketFaults(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.socketFaults = on
}

func (s *systemCalls) setLateWrites(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateWrites = on
}

func (s *systemCalls) stepClock(step time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockOffset += step
}

// endFaults ends all faults but the steps of the clock.
func (s *systemCalls) endFaults() {
	if s == nil {
		return
	}
	s.folder.Set(syscallfault.FolderFault{})
	s.setSocketFaults(false)
	s.setLateWrites(false)
}

// randomFolderFault draws how a folder fails.
func randomFolderFault(rng *rand.Rand) syscallfault.FolderFault {
	fault := syscallfault.FolderFault{Errno: folderErrors[rng.IntN(len(folderErrors))], Truncate: rng.IntN(2) == 0, Create: rng.IntN(2) == 0}
	if rng.IntN(2) == 0 {
		fault.Partial = rng.Float64()
	}
	return fault
}

func randomFolderFaultDuration(rng *rand.Rand) time.Duration {
	return minFolderFault + time.Duration(rng.Int64N(int64(maxFolderFault-minFolderFault)))
}

// Faults of a sender's process together with faults of system calls.
var (
	killedInFolderFault = processFault{"SIGKILL while the folder fails, then start", 4 * time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		return s.restartInFolderFault(rng, s.kill)
	}}
	terminatedInFolderFault = processFault{"SIGTERM while the folder fails, then start", stopTimeout + 3*time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		return s.restartInFolderFault(rng, func() { s.stop(stopTimeout) })
	}}
	clockSteppedInRestart = processFault{"SIGKILL, a step of the wall clock, then start", 2 * time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		s.kill()
		s.systemCalls.stepClock(clockSteps[rng.IntN(len(clockSteps))])
		time.Sleep(restartDelay)
		return s.startAndWait()
	}}
	clockSteppedInUpgrade = processFault{"an upgrade and a step of the wall clock", stopTimeout + time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		timer := time.AfterFunc(time.Duration(rng.Int64N(int64(startupTime))), func() { s.systemCalls.stepClock(clockSteps[rng.IntN(len(clockSteps))]) })
		defer timer.Stop()
		return s.upgrade(stopTimeout)
	}}
	folderFault = processFault{"the folder fails", 2 * time.Second, func(_ *Harness, s *managedSender, rng *rand.Rand) error {
		s.systemCalls.folder.Set(randomFolderFault(rng))
		time.Sleep(randomFolderFaultDuration(rng))
		s.systemCalls.folder.Set(syscallfault.FolderFault{})
		return nil
	}}
)

// stepsClock reports whether a fault steps the wall clock.
func (f processFault) stepsClock() bool {
	return f.description == clockSteppedInRestart.description || f.description == clockSteppedInUpgrade.description
}

// restartInFolderFault ends the process by end while its folder fails, and starts the next one, in whose start the fault
// may last.
func (s *managedSender) restartInFolderFault(rng *rand.Rand, end func()) error {
	folder, duration := s.systemCalls.folder, randomFolderFaultDuration(rng)
	folder.Set(randomFolderFault(rng))
	faultEnd := time.AfterFunc(duration, func() { folder.Set(syscallfault.FolderFault{}) })
	defer folder.Set(syscallfault.FolderFault{})
	defer faultEnd.Stop()
	time.Sleep(time.Duration(rng.Int64N(int64(duration))))
	end()
	time.Sleep(restartDelay)
	return s.startAndWait()
}

// planSystemCallFaults lets calls for sockets fail, writes come late and posts of notices fail, for a while.
func (p *Plan) planSystemCallFaults(h *Harness, sender *managedSender, rng *rand.Rand) {
	for _, fault := range []struct {
		description string
		set         func(on bool)
	}{{"accept, socket and connect fail", sender.systemCalls.setSocketFaults}, {"writes come late", sender.systemCalls.setLateWrites},
		{"posts of notices fail", sender.agent.setNoticeFaults}} {
		for at, length := randomInterval(h, rng); at < h.cfg.FaultPeriod; at += length + time.Duration(rng.Int64N(int64(4*time.Second))) {
			p.add(at, sender.name+": "+fault.description, func() error { fault.set(true); return nil })
			p.add(at+length, sender.name+": no longer: "+fault.description, func() error { fault.set(false); return nil })
		}
	}
}
