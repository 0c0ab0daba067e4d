package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"crossdeal/internal/scale/standin"
)

// Config configures a run.
type Config struct {
	Seed              uint64
	Program           string        // path of the sender's binary
	Dir               string        // for state folders, configurations and logs
	Senders           int           // senders that run as real processes
	ConfiguredSenders int           // number of senders in the settings; 0 for the number of real ones
	FaultPeriod       time.Duration // faults begin within this time from the start
	SystemCallFaults  bool          // senders run under a system call filter that lets calls fail; needs LaunchIfRequested
	ExtraBytes        bool          // endpoints, agents and the platform send more than some good answers
	SlowAgents        bool          // agents answer late at times, beside their other faults
	Pushed            bool          // membership mode: an agent pushes the list; otherwise the sender requests it
	Log               func(format string, args ...any)
}

const (
	classSafe   = "safe"
	classKeyed  = "keyed"
	classUnsafe = "unsafe"

	destinationCount        = 3
	endpointsPerDestination = 3
	clientsPerSender        = 8
	maxAttempts             = 6
	extraBytesShare         = 0.25 // of the good answers
	keyedWindow             = 3 * time.Second
	minMessageTime          = 1500 * time.Millisecond
	maxMessageTime          = 6 * time.Second
	stopTimeout             = 3700 * time.Millisecond // from SIGTERM to SIGKILL at a planned restart
	restartDelay            = 600 * time.Millisecond  // from SIGKILL to the next start
	oldAddressLinger        = 1500 * time.Millisecond // for which discovery's old address keeps its open connections
	rejectRetryAfter        = 700 * time.Millisecond
)

// clientProfile describes one client of each sender.
type clientProfile struct {
	pattern   connectionPattern
	meanPause time.Duration // between two messages or groups of messages
}

// clientProfiles lists the clients of each sender. Some keep their connections idle for long.
var clientProfiles = [clientsPerSender]clientProfile{{patternPlain, 60 * time.Millisecond}, {patternPlain, 40 * time.Millisecond},
	{patternPlain, time.Second}, {patternBusy, 8 * time.Millisecond}, {patternIdle, 100 * time.Millisecond}, {patternIdle, 10 * time.Millisecond},
	{patternSplitWrites, 50 * time.Millisecond}, {patternHalfClose, 80 * time.Millisecond}}

// workload returns the workload of a client with the given mean pause.
func (h *Harness) workload(meanPause time.Duration) workload {
	return workload{[]string{classSafe, classKeyed, classUnsafe}, destinationCount, meanPause, minMessageTime, maxMessageTime}
}

// Harness runs the senders, agents, endpoints and clients of one run.
type Harness struct {
	cfg            Config
	rng            *rand.Rand
	drainGrace     time.Duration
	senders        []*managedSender
	requests       requestLog
	extraBytes     *standin.ExtraBytes // nil for none
	mu             sync.Mutex
	endpoints      []*endpoint // all that were ever started
	upIndexes      []int       // indexes into endpoints of those that are up
	lastEndpointID int
}

// Run executes one run and returns the report of its checks.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	h := &Harness{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	h.drainGrace = time.Duration(h.rng.IntN(3)+1) * 500 * time.Millisecond
	if cfg.ExtraBytes {
		h.extraBytes = standin.NewExtraBytes(extraBytesShare, rand.New(rand.NewPCG(cfg.Seed, 900)))
	}
	defer h.close()
	if err := h.start(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, sender := range h.senders {
		for number := range clientsPerSender {
			profile := clientProfiles[number]
			c := &client{name: fmt.Sprintf("m%d.%d", i, number), sender: i, address: sender.listenAddress, pattern: profile.pattern, workload: h.workload(profile.meanPause),
				requests: &h.requests, stop: stop, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(1000+i*clientsPerSender+number)))}
			clients.Go(c.run)
		}
	}
	failures := h.execute(ctx, newPlan(h))
	close(stop)
	clients.Wait()
	h.finish()
	h.requests.markReadRequests()
	return h.check(failures), nil
}

func (h *Harness) start() error {
	var rows []standin.Row
	for destination := range destinationCount {
		for range endpointsPerDestination {
			row, err := h.addEndpoint(int64(destination))
			if err != nil {
				return err
			}
			rows = append(rows, row)
		}
	}
	for i := range h.cfg.Senders {
		a, err := startAgent(rows, rand.New(rand.NewPCG(h.cfg.Seed, uint64(500+i))), h.extraBytes)
		if err != nil {
			return err
		}
		listen, err := freeAddress(i)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("n%d", i)
		seed := h.rng.Uint64()
		sender := &managedSender{name: name, program: h.cfg.Program, dir: filepath.Join(h.cfg.Dir, name), listenAddress: listen, agent: a}
		if err := os.RemoveAll(sender.dir); err != nil { // an earlier run would be resumed, with the same message ids
			return err
		}
		if h.cfg.SystemCallFaults {
			sender.systemCalls = newSystemCalls(sender.stateDir(), h.cfg.Seed, i)
			sender.systemCalls.stepsClock = h.plansClockStep(sender, i)
		}
		sender.makeConfig = func(discovery string) []byte { return h.configJSON(name, listen, discovery, seed, rows) }
		h.senders = append(h.senders, sender)
	}
	errs := make(chan error, len(h.senders))
	for _, sender := range h.senders {
		go func() { errs <- sender.startAndWait() }()
	}
	for range h.senders {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns a free port on a loopback IP address that only this sender uses.
func freeAddress(senderIndex int) (string, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", senderIndex+1))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// addEndpoint starts an endpoint and returns its list entry.
func (h *Harness) addEndpoint(destination int64) (standin.Row, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastEndpointID++
	e, err := startEndpoint(fmt.Sprintf("s-%d", h.lastEndpointID), destination, rejectRetryAfter, h.extraBytes)
	if err != nil {
		return standin.Row{}, err
	}
	h.upIndexes = append(h.upIndexes, len(h.endpoints))
	h.endpoints = append(h.endpoints, e)
	return h.row(e, "up"), nil
}

func (h *Harness) row(e *endpoint, lifecycle string) standin.Row {
	return standin.Row{ID: e.id, HostPort: e.address(), Zone: "a", MachineType: "std", Destination: e.destination, Lifecycle: lifecycle, Weight: 200}
}

// announce passes a change to every agent.
func (h *Harness) announce(row standin.Row) {
	for _, sender := range h.senders {
		sender.agent.update(row)
	}
}

// configJSON returns the text of a sender's configuration file.
func (h *Harness) configJSON(name, listen, discovery string, seed uint64, rows []standin.Row) []byte {
	senders, mode := h.cfg.ConfiguredSenders, "pushed"
	if senders == 0 {
		senders = h.cfg.Senders
	}
	if !h.cfg.Pushed {
		mode = "on_request"
	}
	class := func(name, idempotency string, window time.Duration) map[string]any {
		return map[string]any{"name": name, "aim_s": 1, "deadline_s": maxMessageTime.Seconds(), "worth": 1, "late_worth": 0.4,
			"idempotency": idempotency, "group": "all", "window_s": window.Seconds()}
	}
	var known []map[string]any
	for _, row := range rows {
		known = append(known, map[string]any{"instanceId": row.ID, "hostPort": row.HostPort, "zone": row.Zone, "machineType": row.MachineType,
			"cell": row.Destination, "lifecycle": row.Lifecycle, "weight": row.Weight, "startedAtMs": 0})
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": discovery,
		"seed":   fmt.Sprintf("%x", seed),
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 256, "disk_mb": 3},
		"known":  map[string]any{"generation": 1, "reset": true, "instances": known},
		"settings": map[string]any{"balancers": senders, "me": 0, "zone": 0, "zones": []string{"a"}, "tick_s": 0.005,
			"membership_mode": mode, "weights": "nominal", "over_share_worth": 0.2, "machine_types": []string{"std"},
			"classes": []any{class(classSafe, "retryable", keyedWindow), class(classKeyed, "dedup", keyedWindow),
				class(classUnsafe, "fragile", keyedWindow)},
			"limits": map[string]any{"conn_idle_s": 5, "connect_timeout_s": 1, "max_attempts": maxAttempts, "max_open": 200,
				"max_retry_after_s": 2, "multiplex": 1, "may_cancel": true, "retry_after": true},
			"load_info": map[string]any{"how": "off", "names": []string{}},
			"rules": map[string]any{"cold_from": 0.2, "drain_grace_s": h.drainGrace.Seconds(), "fall_multiple": 2, "fall_s": 2,
				"warm_after_s": 5},
			"specifics": map[string]any{"batch_by_kind": []int{1}, "call_slots": 18, "late": "halves",
				"separate_routes": []bool{false}}}})
	if err != nil {
		panic(err)
	}
	return text
}

// finish ends all faults, waits until every accepted message must have ended, and stops the senders.
func (h *Harness) finish() {
	for _, e := range h.allEndpoints() {
		e.setBehaviour(Healthy)
	}
	for _, sender := range h.senders {
		sender.agent.endFaults()
		sender.agent.setNoticeFaults(false)
		sender.systemCalls.endFaults()
	}
	time.Sleep(maxMessageTime + endSlack)
	var stopped sync.WaitGroup
	for _, sender := range h.senders {
		stopped.Go(func() { sender.stop(stopTimeout) })
	}
	stopped.Wait()
}

func (h *Harness) allEndpoints() []*endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*endpoint(nil), h.endpoints...)
}

func (h *Harness) close() {
	for _, sender := range h.senders {
		if sender.cmd != nil {
			sender.signal(9)
		}
		sender.agent.close()
	}
	for _, e := range h.allEndpoints() {
		e.close()
	}
}
