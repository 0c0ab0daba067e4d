package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"time"

	"crossdeal/internal/scale/standin"
)

// Config says how a run is made.
type Config struct {
	Seed    uint64
	Program string        // path of the sender
	Dir     string        // for folders, configurations and logs
	Senders int           // real processes
	Named   int           // senders that the settings name; 0 for as many as there are
	Span    time.Duration // of the faults
	Pushed  bool          // an agent has the list; else it comes on request
	Log     func(format string, args ...any)
}

const (
	classSafe   = "safe"
	classKeyed  = "keyed"
	classUnsafe = "unsafe"

	dests          = 3
	endpointsEach  = 3
	clientsEach    = 8
	maxAttempts    = 6
	keyedWindow    = 3 * time.Second
	messageLeast   = 1500 * time.Millisecond
	messageMost    = 6 * time.Second
	terminateAfter = 3700 * time.Millisecond // from SIGTERM to SIGKILL at a planned restart
	restartPause   = 600 * time.Millisecond  // from SIGKILL to the next start
	moveLinger     = 1500 * time.Millisecond // for which an old address of discovery keeps its connections
	rejectWait     = 700 * time.Millisecond
)

// clientKind is how one client of each sender behaves.
type clientKind struct {
	habit habit
	pause time.Duration // mean, between two messages
}

// clientKinds are the clients of a sender: some rest for long on their connections.
var clientKinds = [clientsEach]clientKind{{habitPlain, 60 * time.Millisecond}, {habitPlain, 40 * time.Millisecond},
	{habitPlain, time.Second}, {habitBusy, 8 * time.Millisecond}, {habitRest, 100 * time.Millisecond}, {habitRest, 10 * time.Millisecond},
	{habitSplit, 50 * time.Millisecond}, {habitHalfEnd, 80 * time.Millisecond}}

// load is what a client with a pause hands in.
func (w *World) load(pause time.Duration) load {
	return load{[]string{classSafe, classKeyed, classUnsafe}, dests, pause, messageLeast, messageMost}
}

// World is one run: senders, their agents, endpoints and clients.
type World struct {
	cfg       Config
	rng       *rand.Rand
	grace     time.Duration
	senders   []*process
	requests  requests
	mu        sync.Mutex
	endpoints []*endpoint // all that ever were
	listed    []int       // places in endpoints of those that are up
	nextID    int
}

// Run plays a run and returns what the judge found.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	w := &World{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	w.grace = time.Duration(w.rng.IntN(3)+1) * 500 * time.Millisecond
	defer w.close()
	if err := w.begin(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, s := range w.senders {
		for k := range clientsEach {
			kind := clientKinds[k]
			c := &client{name: fmt.Sprintf("m%d.%d", i, k), sender: i, addr: s.listen, habit: kind.habit, load: w.load(kind.pause),
				out: &w.requests, stop: stop, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(1000+i*clientsEach+k)))}
			clients.Go(c.run)
		}
	}
	failures := w.play(ctx, newPlan(w))
	close(stop)
	clients.Wait()
	w.settle()
	w.requests.findRead()
	return w.judge(failures), nil
}

func (w *World) begin() error {
	var rows []standin.Row
	for dest := range dests {
		for range endpointsEach {
			row, err := w.addEndpoint(int64(dest))
			if err != nil {
				return err
			}
			rows = append(rows, row)
		}
	}
	for i := range w.cfg.Senders {
		a, err := startAgent(rows)
		if err != nil {
			return err
		}
		listen, err := freeAddress(i)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("n%d", i)
		seed := w.rng.Uint64()
		p := &process{name: name, program: w.cfg.Program, dir: filepath.Join(w.cfg.Dir, name), listen: listen, agent: a}
		p.config = func(discovery string) []byte { return w.configText(name, listen, discovery, seed, rows) }
		w.senders = append(w.senders, p)
	}
	errs := make(chan error, len(w.senders))
	for _, p := range w.senders {
		go func() { errs <- p.start() }()
	}
	for range w.senders {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// freeAddress is an address of a host of the sender's own, on a port that is free.
func freeAddress(sender int) (string, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", sender+1))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// addEndpoint starts an endpoint and returns its entry.
func (w *World) addEndpoint(dest int64) (standin.Row, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	e, err := startEndpoint(fmt.Sprintf("s-%d", w.nextID), dest, rejectWait)
	if err != nil {
		return standin.Row{}, err
	}
	w.listed = append(w.listed, len(w.endpoints))
	w.endpoints = append(w.endpoints, e)
	return w.row(e, "up"), nil
}

func (w *World) row(e *endpoint, lifecycle string) standin.Row {
	return standin.Row{ID: e.id, HostPort: e.addr(), Zone: "a", Kind: "std", Dest: e.dest, Lifecycle: lifecycle, Weight: 200}
}

// tell has every agent learn a change.
func (w *World) tell(row standin.Row) {
	for _, s := range w.senders {
		s.agent.learn(row)
	}
}

// configText is a sender's configuration file.
func (w *World) configText(name, listen, discovery string, seed uint64, rows []standin.Row) []byte {
	named, mode := w.cfg.Named, "pushed"
	if named == 0 {
		named = w.cfg.Senders
	}
	if !w.cfg.Pushed {
		mode = "on_request"
	}
	class := func(name, effect string, window time.Duration) map[string]any {
		return map[string]any{"name": name, "aim_s": 1, "deadline_s": messageMost.Seconds(), "worth": 1, "late_worth": 0.4,
			"idempotency": effect, "group": "all", "window_s": window.Seconds()}
	}
	var known []map[string]any
	for _, r := range rows {
		known = append(known, map[string]any{"instanceId": r.ID, "hostPort": r.HostPort, "zone": r.Zone, "machineType": r.Kind,
			"cell": r.Dest, "lifecycle": r.Lifecycle, "weight": r.Weight, "startedAtMs": 0})
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": listen, "discovery": discovery,
		"seed":   fmt.Sprintf("%x", seed),
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 256, "disk_mb": 3},
		"known":  map[string]any{"generation": 1, "reset": true, "instances": known},
		"settings": map[string]any{"balancers": named, "me": 0, "zone": 0, "zones": []string{"a"}, "tick_s": 0.005,
			"membership_mode": mode, "weights": "nominal", "over_share_worth": 0.2, "machine_types": []string{"std"},
			"classes": []any{class(classSafe, "retryable", keyedWindow), class(classKeyed, "dedup", keyedWindow),
				class(classUnsafe, "fragile", keyedWindow)},
			"limits": map[string]any{"conn_idle_s": 5, "connect_timeout_s": 1, "max_attempts": maxAttempts, "max_open": 200,
				"max_retry_after_s": 2, "multiplex": 1, "may_cancel": true, "retry_after": true},
			"load_info": map[string]any{"how": "off", "names": []string{}},
			"rules": map[string]any{"cold_from": 0.2, "drain_grace_s": w.grace.Seconds(), "fall_multiple": 2, "fall_s": 2,
				"warm_after_s": 5},
			"specifics": map[string]any{"batch_by_kind": []int{1}, "call_slots": 18, "late": "halves",
				"separate_routes": []bool{false}}}})
	if err != nil {
		panic(err)
	}
	return text
}

// settle ends all faults, lets what is owed end, and stops the senders.
func (w *World) settle() {
	for _, e := range w.allEndpoints() {
		e.set(Healthy)
	}
	for _, s := range w.senders {
		s.agent.heal()
	}
	time.Sleep(messageMost + endSlack)
	var stopped sync.WaitGroup
	for _, s := range w.senders {
		stopped.Go(func() { s.stop(terminateAfter) })
	}
	stopped.Wait()
}

func (w *World) allEndpoints() []*endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*endpoint(nil), w.endpoints...)
}

func (w *World) close() {
	for _, s := range w.senders {
		if s.cmd != nil {
			s.signal(9)
		}
		s.agent.close()
	}
	for _, e := range w.allEndpoints() {
		e.close()
	}
}
