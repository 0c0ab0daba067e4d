package node

import (
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"crossdeal/internal/discovery"
)

// slowAgent is how an agent answers requests for the list.
type slowAgent struct {
	name       string
	answerTime time.Duration
	pieces     int
	rejects    bool
}

func (a *slowAgent) apply(p *testPlatform) {
	p.update(func() { p.answerTime, p.answerPieces, p.down = a.answerTime, a.pieces, a.rejects })
}

// situations in which a slow agent is asked, besides a process that has run for a while.
const (
	whileRunning = "running"
	atStart      = "start"
	afterHangup  = "SIGHUP"
	inUpgrade    = "upgrade"
)

// Guards against a slow agent that is taken for a silent one: calls went on to an endpoint that drained, and then to the
// endpoint of another destination at the same address. A change counts as known 6 s after discovery had it at the
// latest, and an agent that sends the list late or in pieces is heard by then.
func TestDrainIsHeardFromASlowAgent(t *testing.T) {
	agents := []slowAgent{{name: "late", answerTime: 500 * time.Millisecond}, {name: "pieces", answerTime: 500 * time.Millisecond, pieces: 5},
		{name: "503", rejects: true}}
	for _, mode := range []string{"pushed", "on_request"} {
		for _, agent := range agents {
			for _, situation := range []string{whileRunning, atStart, afterHangup, inUpgrade} {
				t.Run(mode+"/"+agent.name+"/"+situation, func(t *testing.T) {
					t.Parallel()
					playSlowAgent(t, mode, agent, situation)
				})
			}
		}
	}
}

// discardNotices reads the notices until the test ends.
func (p *testPlatform) discardNotices(t *testing.T) {
	go func() {
		for {
			select {
			case <-p.notices:
			case <-t.Context().Done():
				return
			}
		}
	}()
}

// playSlowAgent replaces the endpoint of a destination while the agent is slow.
func playSlowAgent(t *testing.T, mode string, agent slowAgent, situation string) {
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	drains, next := newTestEndpoint(t), newTestEndpoint(t)
	drainArrivals, nextArrivals := drains.answerAll(), next.answerAll()
	known := discovery.List{Generation: 1, Reset: true, Instances: instancesOf(drains)}
	replaced := discovery.List{Generation: 2, Reset: true, Instances: instancesOf(drains, next)}
	replaced.Instances[0].Lifecycle = "draining"
	p, dir := newTestPlatform(t), t.TempDir()
	p.list = known
	p.discardNotices(t)
	configOf := func(p *testPlatform) []byte {
		return []byte(strings.Replace(string(pushedConfigText(p, known, 1, 1)), `"pushed"`, `"`+mode+`"`, 1))
	}
	if situation == atStart {
		agent.apply(p)
	}
	x := startProcessWithConfig(t, p, dir, configOf(p), "127.0.0.1:0", exec.Command(path))
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { sendMessagesUntil(x.addr, "m", stop, t) })
	time.Sleep(time.Second)
	if situation == afterHangup {
		moved := newTestPlatform(t)
		moved.list = known
		moved.discardNotices(t)
		if err := os.WriteFile(x.configPath, configOf(moved), 0o600); err != nil {
			t.Fatal(err)
		}
		agent.apply(moved)
		x.cmd.Process.Signal(syscall.SIGHUP)
		p = moved
	}
	agent.apply(p)
	time.Sleep(500 * time.Millisecond)
	p.update(func() { p.list = replaced })
	knownAt := time.Now().Add(knownAtLatest)
	if situation == inUpgrade {
		startProcessWithConfig(t, p, dir, configOf(p), x.addr, exec.Command(path))
		x.terminate()
	}
	time.Sleep(time.Until(knownAt.Add(drainGrace + callsAfterwards)))
	close(stop)
	clients.Wait()
	if count, delay := drainArrivals.countAfter(knownAt.Add(drainGrace + drainSlack + testSlack)); count > 0 {
		t.Errorf("%d calls to a draining endpoint after grace and slack, the latest %v after them", count, delay)
	}
	if count, _ := nextArrivals.countAfter(time.Time{}); count == 0 && !agent.rejects {
		t.Error("no call to the endpoint that the slow agent had on its list")
	}
}

const (
	knownAtLatest   = 6 * time.Second // a change counts as known so long after discovery had it
	callsAfterwards = 6 * time.Second // how long calls are watched for after that
)
