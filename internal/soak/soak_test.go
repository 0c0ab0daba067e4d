package soak

import (
	"flag"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	seeds   = flag.Int("soak.seeds", 1, "how many seeds each case is played with")
	first   = flag.Uint64("soak.first", 1, "the first of them")
	senders = flag.Int("soak.senders", 6, "real processes of each")
	lasting = flag.Duration("soak.span", 8*time.Second, "for which faults begin")
)

// Real senders under random faults that overlap in time break no rule of the protocol: where an agent has the list and
// where it comes on request, with few senders in the settings and with many.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "cometrack")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/cometrack").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, x := range []struct {
		name   string
		pushed bool
		named  int
	}{{"pushed, few", true, 0}, {"pushed, many", true, 40}, {"on request, many", false, 40}} {
		for i := range *seeds {
			seed := *first + uint64(i)
			t.Run(fmt.Sprintf("%s/%d", x.name, seed), func(t *testing.T) {
				t.Parallel()
				report, err := Run(t.Context(), Config{Seed: seed, Program: program, Dir: t.TempDir(), Senders: *senders,
					Named: x.named, Pushed: x.pushed, Span: *lasting, Log: t.Logf})
				if err != nil {
					t.Fatal(err)
				}
				t.Log(report)
				for _, v := range report.Violations {
					t.Error(v)
				}
				if report.Delivered < report.Requests/3 { // or the run says nothing
					t.Errorf("%d of %d delivered", report.Delivered, report.Requests)
				}
			})
		}
	}
}

// The judge finds each kind of breach: it is worth what it would find.
func TestJudgeFindsBreaches(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	request := func(class, answer string) *Request {
		return &Request{ID: "m0.0-1", Class: class, Sent: at(0), Time: 2 * time.Second, Answer: answer, Answered: at(0.01)}
	}
	closed := func(wasRead bool) *Request {
		q := request(classSafe, "")
		q.Answered, q.Closed, q.WasRead = time.Time{}, at(0.3), wasRead
		return q
	}
	call := func(from, to float64, mayRun, done bool) Call {
		c := Call{ID: "m0.0-1", Endpoint: "s-1", Body: "body of m0.0-1", First: at(from), Whole: at(from), MayRun: mayRun, Done: done}
		if to > 0 {
			c.End = at(to)
		}
		return c
	}
	for name, x := range map[string]struct {
		m    *message
		want string
	}{
		"fine":             {&message{request(classSafe, "+OK\r\n"), []Call{call(0.1, 0.2, true, true)}, nil}, ""},
		"no end":           {&message{request(classSafe, "+OK\r\n"), nil, nil}, "lost"},
		"late end":         {&message{request(classSafe, "+OK\r\n"), []Call{call(0.1, 0.2, true, false)}, []Notice{{"m0.0-1", "failed", at(3.2)}}}, "lost"},
		"unsafe again":     {&message{request(classUnsafe, "+OK\r\n"), []Call{call(0.1, 0.2, true, false), call(0.5, 0.6, true, true)}, nil}, "repeat"},
		"after its window": {&message{request(classKeyed, "+OK\r\n"), []Call{call(0.1, 0.2, true, false), call(3.5, 3.6, true, true)}, []Notice{{"m0.0-1", "failed", at(3.7)}}}, "repeat"},
		"two at a time":    {&message{request(classSafe, "+OK\r\n"), []Call{call(0.1, 1, true, false), call(0.5, 0.6, true, true)}, nil}, "overlap"},
		"after its time":   {&message{request(classSafe, "+OK\r\n"), []Call{call(2.3, 2.35, true, true)}, nil}, "deadline"},
		"refused and sent": {&message{request(classSafe, "-BUSY\r\n"), []Call{call(0.1, 0.2, true, true)}, nil}, "refused"},
		"ran and returned": {&message{request(classUnsafe, "+OK\r\n"), []Call{call(0.1, 0.2, true, false)}, []Notice{{"m0.0-1", "returned", at(1)}}}, "returned"},
		"failed and sent":  {&message{request(classSafe, "-ERR failed\r\n"), []Call{call(0.1, 0.2, true, true)}, nil}, "refused"},
		"no such answer":   {&message{request(classSafe, "-OK\r\n"), nil, nil}, "answer"},
		"half an answer":   {&message{request(classSafe, "+O"), []Call{call(0.1, 0.2, true, true)}, nil}, "answer"},
		"read, no answer":  {&message{closed(true), nil, nil}, "answer"},
		"taken, no answer": {&message{closed(false), []Call{call(0.1, 0.2, true, true)}, nil}, "answer"},
		"crossed":          {&message{closed(false), nil, nil}, ""},
		"sent after end":   {&message{request(classSafe, "+OK\r\n"), []Call{call(1, 1.1, true, true)}, []Notice{{"m0.0-1", "returned", at(0.5)}}}, "ended"},
		"elsewhere":        {&message{request(classSafe, "+OK\r\n"), []Call{{Dest: 1, Body: "body of m0.0-1", First: at(0.1), Whole: at(0.1), End: at(0.2), MayRun: true, Done: true}}, nil}, "destination"},
		"another body":     {&message{request(classSafe, "+OK\r\n"), []Call{{First: at(0.1), Whole: at(0.1), End: at(0.2), MayRun: true, Done: true}}, nil}, "body"},
		"drains":           {&message{request(classSafe, "+OK\r\n"), []Call{{ID: "m0.0-1", Endpoint: "s-2", Body: "body of m0.0-1", First: at(1.9), Whole: at(1.9), End: at(1.95), MayRun: true, Done: true}}, nil}, "drain"},
	} {
		w := &World{cfg: Config{Pushed: true}, grace: time.Second, senders: []*process{{name: "n0", lives: []*Life{{Started: at(-1), Ready: at(-0.5)}},
			agent: &agent{changes: []Change{{"s-2", "draining", at(0.5)}}}}}}
		if x.m.Class == classKeyed {
			x.m.Time = 6 * time.Second
		}
		r := &Report{}
		w.judgeDrain(r, x.m)
		judgeCalls(r, x.m)
		judgeRepeats(r, x.m)
		w.judgeAnswer(r, x.m)
		w.judgeEnd(r, x.m)
		found := ""
		if len(r.Violations) > 0 {
			found = r.Violations[0][:len(x.want)]
		}
		if found != x.want || x.want == "" && len(r.Violations) > 0 || x.want != "" && len(r.Violations) != 1 {
			t.Errorf("%s: found %q, want %q", name, r.Violations, x.want)
		}
	}
}
