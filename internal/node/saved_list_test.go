package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"crossdeal/internal/discovery"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(b)
}

func (l *logBuffer) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buffer.String(), s)
}

// startNodeWithLog starts a sender and collects its log.
func startNodeWithLog(t *testing.T, cfg *Config, dir string) (*testNode, *logBuffer) {
	t.Helper()
	cfg.StateDir = dir
	log := &logBuffer{}
	n, err := New(cfg, slog.New(slog.NewTextHandler(log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &testNode{Node: n, stop: stop, done: make(chan error, 1)}
	go func() { running.done <- n.Run(ctx) }()
	running.addr = await(t, n.ready, "ready sender").String()
	t.Cleanup(stop)
	return running, log
}

func parseTestConfig(t *testing.T, p *testPlatform, known discovery.List) *Config {
	t.Helper()
	cfg, err := ParseConfig(configText(p, known))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// clearListRequests drops the requests for the list recorded so far.
func (p *testPlatform) clearListRequests() {
	for len(p.listRequests) > 0 {
		<-p.listRequests
	}
}

// readSavedList reads the saved list of a folder as the next process would. It reads a copy, since the sender uses the
// file.
func readSavedList(t *testing.T, dir string) (discovery.SavedInfo, map[string]discovery.Instance, error) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, "list"))
	if err != nil {
		return discovery.SavedInfo{}, nil, err
	}
	copyDir := t.TempDir()
	if err := os.WriteFile(filepath.Join(copyDir, "list"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	list := map[string]discovery.Instance{}
	saved, err := discovery.OpenStore(copyDir, 1<<30, slog.New(slog.DiscardHandler)).Load(func(rows []discovery.Instance) error {
		for _, in := range rows {
			if list[in.ID] = in; in.Lifecycle == "removed" {
				delete(list, in.ID)
			}
		}
		return nil
	})
	return saved, list, err
}

// A killed process has saved the last list that it received: the next process starts from it, although the configured
// list is old and discovery does not respond.
func TestSavedListSurvivesCrash(t *testing.T) {
	p, old, e, dir := newTestPlatform(t), newTestEndpoint(t), newTestEndpoint(t), t.TempDir()
	known := discovery.List{Generation: 2, Reset: true, Instances: instancesOf(old)}
	p.list = discovery.List{Generation: 5, Reset: true, Instances: instancesOf(old, old)}
	x := startProcess(t, p, dir, known)
	awaitSavedList(t, dir, 5)
	changed := instancesOf(e, e)[:1] // s-0 has another address, s-1 is removed
	changed = append(changed, discovery.Instance{ID: "s-1", Destination: 1, Lifecycle: "removed"})
	p.update(func() { p.list = discovery.List{Generation: 6, Instances: changed} })
	awaitSavedList(t, dir, 6)
	x.kill()
	p.update(func() { p.unresponsive = true })
	p.clearListRequests()
	x = startProcess(t, p, dir, known)
	if q := await(t, p.listRequests, "list request"); !strings.HasPrefix(q, "from=6&") {
		t.Errorf("requested %q, want changes since generation 6", q)
	}
	dialClient(t, x.addr).put("a", "safe", "+OK")
	await(t, e.calls, "call to an endpoint of the saved list").reply(200)
	old.expectNoCall(t)
	x.kill()
}

// With a torn or corrupt saved list the sender logs a line and starts with the part before the damage, or with the
// configured list. It then requests the changes since, and saves a valid list again.
func TestCorruptSavedListIsReplaced(t *testing.T) {
	e, old := newTestEndpoint(t), newTestEndpoint(t)
	const unused, cut = `"the saved list is not used"`, `"saved list: cut behind the last whole update"`
	for name, x := range map[string]struct {
		corrupt func(text []byte, snapshot int) []byte
		known   discovery.List
		query   string // prefix of the first request's query
		line    string
	}{
		"torn update":                 {func(b []byte, _ int) []byte { return b[:len(b)-1] }, discovery.List{Generation: 3, Reset: true, Instances: instancesOf(old)}, "from=5&", cut},
		"bad update":                  {func(b []byte, n int) []byte { b[n+20] ^= 1; return b }, discovery.List{Generation: 3, Reset: true, Instances: instancesOf(old)}, "from=5&", cut},
		"zeros behind":                {func(b []byte, _ int) []byte { return append(b, make([]byte, 700)...) }, discovery.List{}, "from=6&", cut},
		"bad snapshot":                {func(b []byte, n int) []byte { b[n/2] ^= 1; return b }, discovery.List{Generation: 3, Reset: true, Instances: instancesOf(old)}, "from=3&", unused},
		"cut snapshot":                {func(b []byte, n int) []byte { return b[:n-1] }, discovery.List{Generation: 3, Reset: true, Instances: instancesOf(old)}, "from=3&", unused},
		"cut snapshot, no known list": {func(b []byte, n int) []byte { return b[:n/2] }, discovery.List{}, "", unused},
		"cut before all":              {func([]byte, int) []byte { return nil }, discovery.List{}, "", unused},
		"another file":                {func([]byte, int) []byte { return []byte(`{"instances":[]}`) }, discovery.List{Generation: 3, Reset: true, Instances: instancesOf(old)}, "from=3&", unused},
	} {
		t.Run(name, func(t *testing.T) {
			p, dir := newTestPlatform(t), t.TempDir()
			cfg := parseTestConfig(t, p, x.known)
			s := discovery.OpenStore(dir, 1<<20, slog.New(slog.DiscardHandler))
			if err := s.Replace(cfg.DiscoveryAddr, 5, slices.Values(instancesOf(e, old))); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(dir, "list")
			snapshot, err := os.Stat(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := s.Append(6, instancesOf(e, e)[1:]); err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, x.corrupt(text, int(snapshot.Size())), 0o600); err != nil {
				t.Fatal(err)
			}
			p.list = discovery.List{Generation: 9, Reset: true, Instances: instancesOf(e)}
			n, log := startNodeWithLog(t, cfg, dir)
			if q := await(t, p.listRequests, "list request"); !strings.HasPrefix(q, x.query) || x.query == "" && q != "" {
				t.Errorf("requested %q, want %q", q, x.query)
			}
			if got := log.count(x.line); got != 1 {
				t.Errorf("%d log lines with %s, want 1", got, x.line)
			}
			awaitSavedList(t, dir, 9)
			stopNode(t, n)
			if saved, list, err := readSavedList(t, dir); err != nil || saved.Origin != cfg.DiscoveryAddr || len(list) != 1 || list["s-0"] != instancesOf(e)[0] {
				t.Errorf("saved list afterwards: %+v, %v, %v", saved, list, err)
			}
		})
	}
}

// A saved list that is older than the configured one is not used, and no update is appended to it: the result would be
// a list that never existed.
func TestOlderSavedListIsNotUsed(t *testing.T) {
	p, e, dir := newTestPlatform(t), newTestEndpoint(t), t.TempDir()
	known := discovery.List{Generation: 7, Reset: true, Instances: instancesOf(e, e)}
	cfg := parseTestConfig(t, p, known)
	stale := instancesOf(e, e, e, e) // two of them were removed since
	if err := discovery.OpenStore(dir, 1<<20, slog.New(slog.DiscardHandler)).Replace(cfg.DiscoveryAddr, 5, slices.Values(stale)); err != nil {
		t.Fatal(err)
	}
	p.unresponsive = true
	n, _ := startNodeWithLog(t, cfg, dir)
	if q := await(t, p.listRequests, "list request"); !strings.HasPrefix(q, "from=7&") {
		t.Errorf("requested %q, want changes since generation 7", q)
	}
	more := instancesOf(e, e, e, e, e)[4:]
	p.update(func() { p.unresponsive, p.list = false, discovery.List{Generation: 8, Instances: more} })
	awaitSavedList(t, dir, 8)
	stopNode(t, n)
	want := map[string]discovery.Instance{"s-0": stale[0], "s-1": stale[1], "s-4": more[0]}
	if _, list, err := readSavedList(t, dir); err != nil || fmt.Sprint(list) != fmt.Sprint(want) {
		t.Errorf("saved list %v, %v", list, err)
	}
}

// The state folder stays within the disk limit through all changes of the list and of messages. A list that does not
// fit is not saved, which is logged once, and the sender keeps running.
func TestStateFolderStaysWithinDiskLimit(t *testing.T) {
	const steps = 40
	for name, x := range map[string]struct {
		disk    float64 // MB
		entries int
		kept    bool
		lines   int // log lines that the list is not saved
	}{
		"room":             {0.6, 300, true, 0},
		"no room for it":   {0.6, 4000, false, 1},
		"no room for list": {0.1, 300, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p, e, dir := newTestPlatform(t), newTestEndpoint(t), t.TempDir()
			cfg := parseTestConfig(t, p, discovery.List{})
			cfg.Limits.DiskMB = x.disk
			entry := func(i, step int) discovery.Instance {
				return discovery.Instance{ID: fmt.Sprint("x-", i), HostPort: fmt.Sprintf("127.%d.%d.%d:%d", i*7%250, i*31%250, i%250, 2000+step),
					Zone: "a", Kind: "std", Destination: int64(100 + i), Lifecycle: "up", Weight: 100}
			}
			want := map[string]discovery.Instance{"s-0": instancesOf(e)[0]}
			whole := instancesOf(e)
			for i := range x.entries {
				whole = append(whole, entry(i, 0))
				want[whole[i+1].ID] = whole[i+1]
			}
			p.list = discovery.List{Generation: 1, Reset: true, Instances: whole}
			n, log := startNodeWithLog(t, cfg, dir)
			limit := int64(x.disk * 1e6)
			check := func(when string) {
				t.Helper()
				if sum := diskUse(t, dir); sum > limit {
					t.Fatalf("%s: %d bytes of %d", when, sum, limit)
				}
			}
			awaitGeneration := func(generation int) { // waits for a request for changes since generation
				t.Helper()
				for q := ""; !strings.HasPrefix(q, fmt.Sprintf("from=%d&", generation)); {
					q = await(t, p.listRequests, "list request")
					check("after " + q)
				}
			}
			awaitGeneration(1)
			c := dialClient(t, n.addr)
			body := strings.Repeat("b", 6000)
			for step := 1; step <= steps; step++ {
				if x.kept {
					awaitSavedList(t, dir, int64(step))
				}
				check(fmt.Sprint("step ", step))
				var rows []discovery.Instance
				for i := range 20 {
					in := entry((step*20+i)%x.entries, step)
					rows = append(rows, in)
					want[in.ID] = in
				}
				p.update(func() { p.list = discovery.List{Generation: int64(1 + step), Instances: rows} })
				for i := range 3 {
					id := fmt.Sprint("m-", step, "-", i)
					if got := c.do("MSG.PUT", "0000", id, "c=safe,t=acme,d=10000,k=key-"+id+",dest=1", body); got != "+OK" {
						t.Fatalf("put: %s", got)
					}
					check(fmt.Sprint("put ", id))
					await(t, e.calls, "call").reply(200)
					check(fmt.Sprint("call of ", id))
				}
				awaitGeneration(1 + step)
			}
			last := int64(1 + steps)
			if x.kept {
				awaitSavedList(t, dir, last)
			} else if _, _, err := readSavedList(t, dir); !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("list that does not fit is saved, or %v", err)
			}
			if x.lines > 0 { // the list fits once it is shorter
				var rows []discovery.Instance
				for i := 300; i < x.entries; i++ {
					rows = append(rows, discovery.Instance{ID: fmt.Sprint("x-", i), Lifecycle: "removed"})
					delete(want, fmt.Sprint("x-", i))
				}
				last++
				p.update(func() { p.list = discovery.List{Generation: last, Instances: rows} })
				awaitSavedList(t, dir, last)
				check("shorter")
			}
			stopNode(t, n)
			check("at the end")
			if logged := log.count(`"the list is not kept for the next start"`); logged != x.lines {
				t.Errorf("%d log lines that the list is not kept", logged)
			}
			if saved, list, err := readSavedList(t, dir); x.kept || x.lines > 0 {
				if err != nil || saved.Generation != last || fmt.Sprint(list) != fmt.Sprint(want) {
					t.Errorf("saved list %+v with %d entries, want %d, %v", saved, len(list), len(want), err)
				}
			} else if !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("saved list %+v with %d entries, want none, %v", saved, len(list), err)
			}
		})
	}
}
