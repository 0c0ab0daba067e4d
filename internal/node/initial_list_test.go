package node

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"crossdeal/internal/discovery"
)

// awaitSavedList waits until a folder has a saved list of a generation.
func awaitSavedList(t *testing.T, dir string, generation int64) {
	t.Helper()
	for stop := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		text, err := os.ReadFile(filepath.Join(dir, "list"))
		if err == nil { // read a copy, since the sender uses the file
			copyDir := t.TempDir()
			if err := os.WriteFile(filepath.Join(copyDir, "list"), text, 0o600); err != nil {
				t.Fatal(err)
			}
			if saved, err := discovery.OpenStore(copyDir, 1<<20, slog.New(slog.DiscardHandler)).Peek(); err == nil && saved.Generation == generation {
				return
			}
		}
		if time.Now().After(stop) {
			t.Fatalf("timed out waiting for a saved list of generation %d", generation)
		}
	}
}

func stopNode(t *testing.T, n *testNode) {
	t.Helper()
	n.stop()
	if err := await(t, n.done, "end"); err != nil {
		t.Fatal(err)
	}
}

// A restarted sender starts from its saved list and requests only changes since, although discovery does not respond
// and the configuration has an older list or none.
func TestRestartStartsFromSavedList(t *testing.T) {
	for _, known := range []discovery.List{{}, {Generation: 1, Reset: true, Instances: []discovery.Instance{}}} {
		p, e, dir := newTestPlatform(t), newTestEndpoint(t), t.TempDir()
		p.list = discovery.List{Generation: 5, Reset: true, Instances: instancesOf(e, e)}
		n := startNode(t, p, dir, known)
		awaitSavedList(t, dir, 5)
		p.update(func() {
			p.list = discovery.List{Generation: 6, Instances: []discovery.Instance{{ID: "s-1", Destination: 1, Lifecycle: "removed"}}}
		})
		awaitSavedList(t, dir, 6)
		stopNode(t, n)
		p.update(func() { p.unresponsive = true })
		for len(p.listRequests) > 0 {
			<-p.listRequests
		}
		n = startNode(t, p, dir, known)
		if q := await(t, p.listRequests, "list request"); !strings.HasPrefix(q, "from=6&") {
			t.Errorf("requested %q, want changes since generation 6", q)
		}
		if n.directory.Len() != 1 {
			t.Errorf("%d entries, want 1", n.directory.Len())
		}
		c := dialClient(t, n.addr)
		c.put("a", "safe", "+OK")
		await(t, e.calls, "call to an endpoint of the saved list").reply(200)
		stopNode(t, n)
	}
}

// The saved list is used only if it is newer than the configured one and comes from the configured address of
// discovery. A list of another address is used only without a configured one, until the whole list of the present
// address arrives.
func TestInitialListSelection(t *testing.T) {
	e, other := newTestEndpoint(t), newTestEndpoint(t)
	row := func(e *testEndpoint) []discovery.Instance { return instancesOf(e) }
	for name, x := range map[string]struct {
		origin     string // of the saved list; empty for the configured address
		saved      int64
		known      discovery.List
		corrupt    bool
		generation int64
		addr       string
	}{
		"saved is newer":         {"", 7, discovery.List{Generation: 6, Reset: true, Instances: row(other)}, false, 7, e.addr()},
		"known is newer":         {"", 7, discovery.List{Generation: 8, Reset: true, Instances: row(other)}, false, 8, other.addr()},
		"no known":               {"", 7, discovery.List{}, false, 7, e.addr()},
		"of another address":     {"127.0.0.1:1", 7, discovery.List{}, false, -1, e.addr()},
		"of another, and known":  {"127.0.0.1:1", 7, discovery.List{Generation: 6, Reset: true, Instances: row(other)}, false, 6, other.addr()},
		"torn":                   {"", 7, discovery.List{Generation: 6, Reset: true, Instances: row(other)}, true, 6, other.addr()},
		"torn, and no known one": {"", 7, discovery.List{}, true, -1, ""},
	} {
		cfg, err := ParseConfig(configText(newTestPlatform(t), x.known))
		if err != nil {
			t.Fatal(err)
		}
		cfg.StateDir = t.TempDir()
		if x.origin == "" {
			x.origin = cfg.DiscoveryAddr
		}
		s := discovery.OpenStore(cfg.StateDir, 1<<20, slog.New(slog.DiscardHandler))
		if err := s.Replace(x.origin, x.saved, func(yield func(discovery.Instance) bool) { yield(row(e)[0]) }); err != nil {
			t.Fatal(err)
		}
		if x.corrupt {
			path := filepath.Join(cfg.StateDir, "list")
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			text[len(text)/2]++
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		unused := make(chan bool, 1)
		n, err := New(cfg, slog.New(notifyOnLogLine("the saved list is not used", unused)))
		if err != nil {
			t.Fatal(err)
		}
		start := recordWatchStart(n)
		n.resumeFromJournal()
		id, _ := n.directory.LookupID("s-0")
		if start.generation != x.generation || n.target(id).Address != x.addr || len(unused) != 0 != x.corrupt || n.listGeneration != max(x.generation, 0) {
			t.Errorf("%s: starts with generation %d and address %q, saved list unused %v", name, start.generation, n.target(id).Address, len(unused) != 0)
		}
		n.close()
	}
}

// The journal and the saved list together stay within the disk limit, counted in whole blocks, even while both are
// rewritten. With too little disk no list is saved.
func TestJournalAndSavedListShareDisk(t *testing.T) {
	block := func(n int64) int64 { return (n + 511) / 512 * 512 }
	for _, x := range []struct {
		disk     float64
		listKept bool
	}{{0.01, false}, {0.1, false}, {0.5, true}, {3, true}, {64, true}, {1000, true}} {
		l := Limits{MemoryMB: 192, DiskMB: x.disk}
		disk, list := l.diskBytes(), l.listStoreBytes()
		if used := 2*block(journalFileLimit(disk)) + list; used+4096 > disk && list > 0 || list > 0 != x.listKept || list < 0 {
			t.Errorf("%v MB: %d of %d bytes, %d of them for the list", x.disk, used, disk, list)
		}
	}
	if list := (Limits{MemoryMB: 256}).listStoreBytes(); list != 64<<20 {
		t.Errorf("no disk limit: %d bytes", list)
	}
}

// A process that takes over learns the endpoint states from the saved list, if it has the generation that was handed
// over.
func TestTakeoverUsesMatchingSavedList(t *testing.T) {
	for generation, want := range map[int64]bool{7: true, 8: false} {
		cfg, err := ParseConfig(configText(newTestPlatform(t), discovery.List{}))
		if err != nil {
			t.Fatal(err)
		}
		cfg.StateDir = t.TempDir()
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		rows := instancesOf(newTestEndpoint(t), newTestEndpoint(t))
		rows[1].Lifecycle = "draining"
		if err := n.listStore.Replace(cfg.DiscoveryAddr, 7, func(yield func(discovery.Instance) bool) {
			_ = yield(rows[0]) && yield(rows[1])
		}); err != nil {
			t.Fatal(err)
		}
		for i, name := range []string{"s-0", "s-1", "gone"} {
			n.directory.Adopt(name, 10+n.directory.AssignID("")+1, discovery.Target{Address: rows[i%2].HostPort, Destination: 1})
		}
		n.loadSavedStates("http://"+cfg.DiscoveryAddr, generation)
		if got := n.directory.AllStatesKnown() && n.directory.Len() == 2; got != want {
			t.Errorf("generation %d: all states known %v, %d entries", generation, n.directory.AllStatesKnown(), n.directory.Len())
		}
		n.close()
	}
}
